"""Teams of a soak: their keys and quotas, and checks of what servers saw."""

from __future__ import annotations

import collections
import pathlib
from collections.abc import Iterable, Mapping
from typing import Any

__all__ = ["KEYS_BY_TEAM", "LIMITED_TEAM", "configuration", "find_violations"]

KEYS_BY_TEAM = {
    "north": "key-of-north-4c1f",
    "south": "key-of-south-9a20",
    "hot": "key-of-hot-77be",
}
# The only team with a quota: requests per second, and its burst. Its clients
# send several times as much.
LIMITED_TEAM = "hot"
RATE = 6.0
BURST = 6.0
# Length in seconds of the windows in which a team's requests are counted, and
# the most that are allowed beyond its quota: a share of it, and a number.
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20.0


def configuration() -> list[dict[str, Any]]:
    """Returns the teams as operators write them."""
    return [
        {
            "name": team,
            "api-keys": [key],
            **(
                {"rate-per-s": RATE, "burst": BURST}
                if team == LIMITED_TEAM
                else {}
            ),
        }
        for team, key in KEYS_BY_TEAM.items()
    ]


def find_violations(
    rows: Iterable[dict[str, Any]],
    team_by_request: Mapping[str, str],
    item_ids: set[str],
    logs: Iterable[pathlib.Path],
) -> list[str]:
    """Returns violations of keys and quotas, one line each.

    Args:
        rows: Requests and items that the servers executed, in order of time.
        team_by_request: Team that sent each request or item.
        item_ids: Items of batch jobs, which no quota limits.
        logs: Logs of gateways and workers.
    """
    errors = []
    times_by_team: dict[str, list[float]] = collections.defaultdict(list)
    for row in rows:
        request_id, team = row["run"], row.get("team", "")
        if row.get("has_key"):
            errors.append(f"UNASKED: a server got the key of {request_id}")
        expected = team_by_request.get(request_id)
        if expected is not None and team != expected:
            errors.append(
                f"UNASKED: {request_id} of team {expected} ran for {team!r}"
            )
        if request_id not in item_ids:
            times_by_team[team].append(row["at"])
    times = times_by_team[LIMITED_TEAM]
    most = max(
        (
            sum(start <= at < start + WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )
    allowed = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
    if most > allowed:
        errors.append(
            f"QUOTA: {most} requests of a team ran in {WINDOW_S} s, over "
            f"{allowed:.0f}"
        )
    for path in logs:
        text = path.read_text(errors="replace")
        errors += [
            f"a key of team {team} is in the log {path.name}"
            for team, key in KEYS_BY_TEAM.items()
            if key in text
        ]
    return errors

"""Division of batch capacity between two teams, on real processes.

Each team submits one long job with a distant deadline; the second team submits
its job while the first team's job runs. Their shares are 3 and 1. The items
that each team completes over a period in which both have work are printed as
one JSON line. Run with `python -m bench.batch_teams`.
"""

from __future__ import annotations

import json
import time
from typing import Any

from absl import app, flags

from plumvane.fleet.document import token_digest
from standins.launcher import TEAM, Fleet
from tests.batches import item_lines
from tests.fleets import running_fleet

__all__ = ["main"]

_SECONDS = flags.DEFINE_float(
    "seconds", 40.0, "Length of the measurement, in seconds."
)
_ENGINES = flags.DEFINE_integer("engines", 2, "Engines.")

ITEMS = 20_000
ITEM_TOKENS = 8
DEADLINE_S = 86_400.0
# Time for the item rates to be measured and the first ranges of both jobs to
# end.
SETTLE_S = 15.0
SHARE_BY_TEAM = {TEAM: 3, "second": 1}


def _document() -> dict[str, Any]:
    document = Fleet.default_document()
    document["teams"] = {
        team: {"token_sha256": [token_digest(f"{team}-token")], "share": share}
        for team, share in SHARE_BY_TEAM.items()
    }
    return document


def _headers(team: str) -> dict[str, str]:
    return {"authorization": f"Bearer {team}-token"}


def _submit(fleet: Fleet, team: str) -> str:
    """Submits the job of a team and returns its id."""
    lines = item_lines(
        [f"{team} item {number}" for number in range(ITEMS)],
        max_tokens=ITEM_TOKENS,
    )
    headers = {
        **_headers(team),
        "idempotency-key": f"job-{team}",
        "plumvane-deadline": str(time.time() + DEADLINE_S),
    }
    url = f"{fleet['entry-0'].url}/v1/batches"
    _, answer = fleet.call_raw("POST", url, lines, headers)
    return str(json.loads(answer)["id"])


def _items_done(fleet: Fleet, team: str, job_id: str) -> int:
    url = f"{fleet['entry-0'].url}/v1/batches/{job_id}"
    _, answer = fleet.call("GET", url, None, _headers(team))
    return int(json.loads(answer)["done"])


def _measure() -> dict[str, Any]:
    document = _document()
    with running_fleet(
        bulks=2, engines=_ENGINES.value, document=document
    ) as fleet:
        job_id_by_team = {}
        for team in SHARE_BY_TEAM:
            job_id_by_team[team] = _submit(fleet, team)
            time.sleep(SETTLE_S)
        before = {
            t: _items_done(fleet, t, i) for t, i in job_id_by_team.items()
        }
        time.sleep(_SECONDS.value)
        after = {t: _items_done(fleet, t, i) for t, i in job_id_by_team.items()}
    done_by_team = {team: after[team] - before[team] for team in after}
    return {
        "seconds": _SECONDS.value,
        "share_by_team": SHARE_BY_TEAM,
        "done_by_team": done_by_team,
        "left_by_team": {team: ITEMS - done for team, done in after.items()},
        "ratio": round(done_by_team[TEAM] / max(1, done_by_team["second"]), 2),
    }


def main(argv: list[str]) -> None:
    """Runs the measurement once."""
    del argv
    print(json.dumps(_measure()), flush=True)


if __name__ == "__main__":
    app.run(main)

"""Faults of several kinds at once: kills, freezes and cut connections."""

from __future__ import annotations

import json
import random
import signal
import time
from collections.abc import Callable
from typing import Any

import httpcore

from standins.launcher import Fleet, Process
from tests.fleets import TEAM, wait_for

__all__ = ["ENTRIES", "MixedFaults", "executions", "post", "restart_all"]

ENTRIES = ("entry-0", "entry-1", "entry-2")
ANSWER_TIMEOUT_S = 10.0
OUTER_DEADLINE_S = 120.0
OWNERS = "owners/instance/"


class MixedFaults:
    """Strikes an entry, a sidecar and connections at the same time.

    The fleet stands behind the fault proxy and has three entries.

    Attributes:
        injected: What was done so far, for the messages of failed checks.
    """

    def __init__(
        self, fleet: Fleet, sidecars: tuple[str, ...], seed: int
    ) -> None:
        self._fleet = fleet
        self._sidecars = sidecars
        self._source = random.Random(seed)
        self.injected: list[str] = []

    def inject_at(
        self, done: Callable[[], int], goals: range, what: str
    ) -> None:
        """Strikes once at each goal that a count reaches."""
        for goal in goals:
            wait_for(
                lambda goal=goal: done() >= goal,
                f"{goal} {what} after {self.injected}",
                OUTER_DEADLINE_S,
            )
            self.inject()

    def inject(self) -> None:
        """Strikes once and has everything back afterwards.

        An owner is killed or frozen; until its lease has lapsed, one sidecar
        is frozen and the connections to another program are cut, which may
        be the same sidecar. Every other strike kills a sidecar too.
        """
        fleet, source = self._fleet, self._source
        entry = source.choice(wait_for(self._owners, "an owner"))
        sidecar = source.choice(self._sidecars)
        cut = source.choice((*ENTRIES, *self._sidecars))
        is_killed = source.random() < 0.5
        self.injected.append(
            f"{'killed' if is_killed else 'froze'} {entry}, "
            f"froze {sidecar}, cut {cut}"
        )
        fleet.peer_faults(cut, mode="cut")
        fleet[sidecar].signal(signal.SIGSTOP)
        if is_killed:
            fleet[entry].kill()
        else:
            fleet[entry].signal(signal.SIGSTOP)
        wait_for(lambda: entry not in self._owners(), "the lease's lapse")
        fleet[sidecar].signal(signal.SIGCONT)
        fleet.peer_faults(cut, mode="pass")
        if is_killed:
            fleet.restart(entry)
        else:
            fleet[entry].signal(signal.SIGCONT)
        if len(self.injected) % 2:
            other = source.choice(self._sidecars)
            self.injected.append(f"killed {other}")
            fleet[other].kill()
            fleet.restart(other)

    def _owners(self) -> list[str]:
        """Returns the entries that hold an owner's lease."""
        url = f"{self._fleet['store'].url}/list?prefix={OWNERS}"
        records = json.loads(self._fleet.call("GET", url)[1])["records"]
        return sorted(record["key"].removeprefix(OWNERS) for record in records)


def restart_all(fleet: Fleet, names: tuple[str, ...]) -> None:
    """Kills processes and starts them again, one after the other."""
    for name in names:
        fleet[name].kill()
        fleet.restart(name)
    fleet.wait_ready()


def post(
    entry: Process,
    path: str,
    fields: Any,
    key: str,
    timeout_s: float | None = None,
) -> tuple[int, bytes]:
    """Sends one request; returns status and body, or 0 if it was lost.

    Args:
        entry: Where it is sent.
        path: Path at the entry.
        fields: JSON body.
        key: Idempotency key, or none if empty.
        timeout_s: How far away its deadline is.
    """
    headers = dict(TEAM)
    if key:
        headers["idempotency-key"] = key
    if timeout_s is not None:
        headers["plumvane-deadline"] = str(time.time() + timeout_s)
    limits = {"connect": 1.0, "read": ANSWER_TIMEOUT_S}
    try:
        response = httpcore.request(
            "POST",
            entry.url + path,
            headers=list(headers.items()),
            content=json.dumps(fields).encode(),
            extensions={"timeout": limits},
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return 0, b""
    return response.status, response.content


def executions(fleet: Fleet, upstreams: tuple[str, ...]) -> dict[str, int]:
    """Returns the upstreams' own counts of executions by request id."""
    counts: dict[str, int] = {}
    for name in upstreams:
        path, field = "executions", "by_key"
        if name.startswith("engine"):
            path, field = "record", "executions"
        _, body = fleet.call("GET", f"{fleet[name].url}/{path}")
        for request_id, count in json.loads(body)[field].items():
            counts[request_id] = counts.get(request_id, 0) + count
    return counts

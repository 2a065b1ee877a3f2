"""Injects overlapping faults: kills, freezes and cut connections."""

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
RESPONSE_TIMEOUT_S = 10.0
OUTER_DEADLINE_S = 120.0
OWNER_LEASE_PREFIX = "owners/instance/"


class MixedFaults:
    """Injects faults into an entry, a sidecar and connections concurrently.

    The fleet must use the fault proxy and have three entries.

    Attributes:
        injected: Faults injected so far, for the messages of failed checks.
    """

    def __init__(
        self, fleet: Fleet, sidecars: tuple[str, ...], seed: int
    ) -> None:
        self._fleet = fleet
        self._sidecars = sidecars
        self._random = random.Random(seed)
        self.injected: list[str] = []

    def inject_at(
        self, count: Callable[[], int], thresholds: range, what: str
    ) -> None:
        """Injects faults each time a count reaches one of the thresholds."""
        for threshold in thresholds:
            wait_for(
                lambda threshold=threshold: count() >= threshold,
                f"{threshold} {what} after {self.injected}",
                OUTER_DEADLINE_S,
            )
            self.inject()

    def inject(self) -> None:
        """Injects one set of faults and recovers from it.

        An owner is killed or frozen. Until its lease has lapsed, a sidecar is
        frozen and the connections to an entry or sidecar are cut, which may
        be the frozen sidecar. Every other call also kills a sidecar.
        """
        fleet, rng = self._fleet, self._random
        entry = rng.choice(wait_for(self._owners, "an owner"))
        sidecar = rng.choice(self._sidecars)
        cut = rng.choice((*ENTRIES, *self._sidecars))
        is_killed = rng.random() < 0.5
        self.injected.append(
            f"{'killed' if is_killed else 'froze'} {entry}, "
            f"froze {sidecar}, cut {cut}"
        )
        fleet.set_peer_faults(cut, mode="cut")
        fleet[sidecar].signal(signal.SIGSTOP)
        if is_killed:
            fleet[entry].kill()
        else:
            fleet[entry].signal(signal.SIGSTOP)
        wait_for(lambda: entry not in self._owners(), "the lapse of the lease")
        fleet[sidecar].signal(signal.SIGCONT)
        fleet.set_peer_faults(cut, mode="pass")
        if is_killed:
            fleet.restart(entry)
        else:
            fleet[entry].signal(signal.SIGCONT)
        if len(self.injected) % 2:
            other = rng.choice(self._sidecars)
            self.injected.append(f"killed {other}")
            fleet[other].kill()
            fleet.restart(other)

    def _owners(self) -> list[str]:
        """Returns the entries that hold an owner lease."""
        url = f"{self._fleet['store'].url}/list?prefix={OWNER_LEASE_PREFIX}"
        records = json.loads(self._fleet.call("GET", url)[1])["records"]
        return sorted(
            record["key"].removeprefix(OWNER_LEASE_PREFIX) for record in records
        )


def restart_all(fleet: Fleet, names: tuple[str, ...]) -> None:
    """Kills and restarts processes, one after the other."""
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
    """Sends one request.

    Args:
        entry: Entry that receives the request.
        path: Path at the entry.
        fields: JSON body.
        key: Idempotency key; if empty, none is sent.
        timeout_s: Time until the deadline, in seconds; if None, no deadline
            is sent.

    Returns:
        Status and body of the response; status 0 if the connection failed.
    """
    headers = dict(TEAM)
    if key:
        headers["idempotency-key"] = key
    if timeout_s is not None:
        headers["plumvane-deadline"] = str(time.time() + timeout_s)
    timeouts = {"connect": 1.0, "read": RESPONSE_TIMEOUT_S}
    try:
        response = httpcore.request(
            "POST",
            entry.url + path,
            headers=list(headers.items()),
            content=json.dumps(fields).encode(),
            extensions={"timeout": timeouts},
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return 0, b""
    return response.status, response.content


def executions(fleet: Fleet, upstreams: tuple[str, ...]) -> dict[str, int]:
    """Returns executions by request id, as recorded by the upstreams."""
    counts: dict[str, int] = {}
    for name in upstreams:
        path, field = "executions", "by_key"
        if name.startswith("engine"):
            path, field = "record", "executions"
        _, body = fleet.call("GET", f"{fleet[name].url}/{path}")
        for request_id, count in json.loads(body)[field].items():
            counts[request_id] = counts.get(request_id, 0) + count
    return counts

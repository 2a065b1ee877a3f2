"""Claims of one partition: the requests that run now."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

import anyio

from plumvane import clock
from plumvane.peers.messages import Claim

__all__ = ["ClaimedRun", "ClaimTable", "RequestKey"]

# Team and idempotency key.
RequestKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class ClaimedRun:
    """A request that runs.

    Attributes:
        claim: The claim that was granted.
        claimed_at: When it was claimed, seconds since the Unix epoch.
        renewed: Monotonic time at which its entry last named it.
        started: Set once the entry may dispatch it, or it has ended.
        ended: Set once it has a result or its claim was given up.
        is_settling: Whether its sidecar is being asked for its result.
    """

    claim: Claim
    claimed_at: float
    renewed: float
    started: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    is_settling: bool = False

    @property
    def key(self) -> RequestKey:
        """Team and key of the request."""
        return self.claim.team, self.claim.key


class ClaimTable:
    """Runs by key and by request id; a key has at most one."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._runs_by_key: dict[RequestKey, ClaimedRun] = {}
        self._runs_by_id: dict[str, ClaimedRun] = {}

    def __len__(self) -> int:
        return len(self._runs_by_key)

    def __iter__(self) -> Iterator[ClaimedRun]:
        return iter(list(self._runs_by_key.values()))

    def get(self, key: RequestKey) -> ClaimedRun | None:
        """Returns the run of a key, or None."""
        return self._runs_by_key.get(key)

    def add(self, claim: Claim, claimed_at: float) -> ClaimedRun:
        """Adds a run; the key must have none."""
        run = ClaimedRun(claim, claimed_at, clock.monotonic())
        self._runs_by_key[run.key] = run
        self._runs_by_id[claim.request_id] = run
        return run

    def renew(self, request_id: str) -> bool:
        """Takes in that a run goes on; returns whether it is known."""
        run = self._runs_by_id.get(request_id)
        if run is None:
            return False
        run.renewed = clock.monotonic()
        return True

    def end(self, key: RequestKey, request_id: str | None = None) -> None:
        """Ends the run of a key and wakes who waits for it.

        Args:
            key: Team and key.
            request_id: Only if it is this run, if given.
        """
        run = self._runs_by_key.get(key)
        if run is None or request_id not in (None, run.claim.request_id):
            return
        del self._runs_by_key[key]
        del self._runs_by_id[run.claim.request_id]
        run.ended.set()
        run.started.set()

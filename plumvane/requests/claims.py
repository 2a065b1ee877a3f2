"""Claims of one partition: the requests that are running."""

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
    """A request that is running under a claim.

    Attributes:
        claim: The granted claim.
        claimed_at: Time of the claim, in seconds since the Unix epoch.
        renewed_at: Monotonic time of the last renewal by its entry.
        started: Set once the entry may dispatch the run, or the run has ended.
        ended: Set once the run has a result or its claim was released.
        is_settling: Whether the run is being settled with its sidecar.
    """

    claim: Claim
    claimed_at: float
    renewed_at: float
    started: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    is_settling: bool = False

    @property
    def key(self) -> RequestKey:
        """Team and idempotency key of the request."""
        return self.claim.team, self.claim.key


class ClaimTable:
    """Runs by key and by request id; each key has at most one run."""

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
        """Adds a run for a key that has none."""
        run = ClaimedRun(claim, claimed_at, clock.monotonic())
        self._runs_by_key[run.key] = run
        self._runs_by_id[claim.request_id] = run
        return run

    def renew(self, request_id: str) -> bool:
        """Renews the claim of a run; returns whether the run is known."""
        run = self._runs_by_id.get(request_id)
        if run is None:
            return False
        run.renewed_at = clock.monotonic()
        return True

    def end(self, key: RequestKey, request_id: str | None = None) -> None:
        """Removes the run of a key and wakes the tasks that wait for it.

        Args:
            key: Team and idempotency key.
            request_id: If given, the run is removed only if it has this id.
        """
        run = self._runs_by_key.get(key)
        if run is None or request_id not in (None, run.claim.request_id):
            return
        del self._runs_by_key[key]
        del self._runs_by_id[run.claim.request_id]
        run.ended.set()
        run.started.set()

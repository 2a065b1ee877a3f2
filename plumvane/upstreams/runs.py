"""Table of a sidecar's runs by request id, kept until acknowledged."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import anyio

from plumvane import clock
from plumvane.errors import (
    NotFoundError,
    RequestCancelledError,
    UpstreamUnavailableError,
)
from plumvane.peers.messages import (
    DispatchRequest,
    Outcome,
    Settle,
    Settled,
    TextPart,
)

__all__ = ["Run", "RunTable"]

# An unacknowledged outcome is discarded this long after its deadline.
RETENTION_S = 120.0
# Upper bound on the clock difference between two instances.
MAX_CLOCK_SKEW_S = 1.0
# An idempotent run that no entry has followed for this long is cancelled and
# discarded.
ORPHAN_TIMEOUT_S = 10.0


class Run:
    """One request that is executed by this sidecar.

    Attributes:
        request: The request.
        parts: Parts of the response received so far.
        outcome: The complete response or the error; None while running.
        scope: Cancels the run.
        is_sent: Whether the request may have been sent to the upstream.
        followers: Number of calls that currently wait for the outcome.
        last_follower_left_at: Monotonic time at which the last follower left.
    """

    def __init__(self, request: DispatchRequest) -> None:
        self.request = request
        self.parts: list[TextPart] = []
        self.outcome: Outcome | None = None
        self.scope = anyio.CancelScope()
        self.is_sent = False
        self.followers = 0
        self.last_follower_left_at = clock.monotonic()
        self._character_offset = len(request.resume_text)
        self._token_offset = request.resume_tokens
        self._changed = anyio.Event()

    def add_text(self, text: str, tokens: int) -> None:
        """Appends a part of the response and notifies the followers."""
        part = TextPart(
            self.request.request_id,
            len(self.parts),
            text,
            tokens,
            self._character_offset,
            self._token_offset,
        )
        self._character_offset += len(text)
        self._token_offset += tokens
        self.parts.append(part)
        self._notify()

    def set_outcome(self, outcome: Outcome) -> None:
        """Sets the outcome, unless one is set already."""
        if self.outcome is None:
            self.outcome = outcome
            self._notify()

    @contextlib.contextmanager
    def add_follower(self) -> Iterator[None]:
        """Counts the caller as a follower while the context is active."""
        self.followers += 1
        try:
            yield
        finally:
            self.followers -= 1
            self.last_follower_left_at = clock.monotonic()

    def is_orphaned(self) -> bool:
        """Returns whether an idempotent run has lost its followers for good."""
        return (
            self.request.idempotent
            and not self.followers
            and clock.monotonic() - self.last_follower_left_at
            >= ORPHAN_TIMEOUT_S
        )

    async def changed(self) -> None:
        """Waits for the next part or the outcome."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class RunTable:
    """All runs of a sidecar, and the request ids that must not run."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._runs_by_id: dict[str, Run] = {}
        self._deadlines_by_forbidden_id: dict[str, float] = {}
        self._deadlines_by_acknowledged_id: dict[str, float] = {}
        self._started_at = clock.wall()

    def __len__(self) -> int:
        return len(self._runs_by_id)

    def active(self) -> int:
        """Returns the number of runs without an outcome."""
        return sum(run.outcome is None for run in self._runs_by_id.values())

    def get(self, request_id: str) -> Run | None:
        """Returns a run, or None if the table does not hold it."""
        return self._runs_by_id.get(request_id)

    def require(self, request_id: str) -> Run:
        """Returns a run.

        Raises:
            NotFoundError: The id was never started, or its run was acknowledged
                or discarded.
        """
        run = self._runs_by_id.get(request_id)
        if run is None:
            raise NotFoundError(f"This sidecar has no run {request_id}.")
        return run

    def start(self, request: DispatchRequest) -> Run:
        """Adds a run.

        Raises:
            RequestCancelledError: The id has been forbidden.
            UpstreamUnavailableError: The claim may predate this process, so an
                earlier process may have been asked to run or settle it.
        """
        if not request.idempotent and self._may_predate(request.claimed_at):
            raise UpstreamUnavailableError(
                "The claim may predate the start of this sidecar.",
                not_run=True,
                retry_after_s=MAX_CLOCK_SKEW_S,
            )
        if request.request_id in self._deadlines_by_forbidden_id:
            raise RequestCancelledError(
                "The request was settled as not run.", not_run=True
            )
        run = Run(request)
        self._runs_by_id[request.request_id] = run
        return run

    def forbid(self, request_id: str, deadline: float) -> None:
        """Makes `start` reject a request id that has no run yet.

        Args:
            request_id: The id.
            deadline: Deadline of its dispatch, seconds since the Unix epoch.
        """
        self._deadlines_by_forbidden_id[request_id] = deadline

    def settle(self, message: Settle) -> Settled:
        """Returns the state of a run; forbids the id if it has no run yet.

        The state is `unknown` if this process may have discarded the run or may
        have started after the claim.
        """
        run = self._runs_by_id.get(message.request_id)
        if run is not None and run.outcome is None:
            return Settled("running")
        if run is not None:
            return Settled("done", run.outcome)
        if message.request_id in self._deadlines_by_forbidden_id:
            return Settled("forbidden")
        is_expired = message.deadline < clock.wall() - RETENTION_S
        is_acknowledged = (
            message.request_id in self._deadlines_by_acknowledged_id
        )
        if (
            is_expired
            or is_acknowledged
            or self._may_predate(message.claimed_at)
        ):
            return Settled("unknown")
        self.forbid(message.request_id, message.deadline)
        return Settled("forbidden")

    def acknowledge(self, request_id: str) -> None:
        """Discards a run whose outcome is stored elsewhere."""
        run = self._runs_by_id.get(request_id)
        if run is None or run.outcome is None:
            return
        del self._runs_by_id[request_id]
        if not run.request.idempotent:
            deadline = run.request.deadline
            self._deadlines_by_acknowledged_id[request_id] = deadline

    def sweep(self) -> None:
        """Cancels and discards orphans, and discards expired entries."""
        cutoff = clock.wall() - RETENTION_S
        for request_id, run in list(self._runs_by_id.items()):
            if run.outcome is None and run.is_orphaned():
                run.scope.cancel()
            elif run.request.deadline >= cutoff and not run.is_orphaned():
                continue
            if run.outcome is not None or run.is_orphaned():
                del self._runs_by_id[request_id]
        for deadlines_by_id in (
            self._deadlines_by_forbidden_id,
            self._deadlines_by_acknowledged_id,
        ):
            for request_id, deadline in list(deadlines_by_id.items()):
                if deadline < cutoff:
                    del deadlines_by_id[request_id]

    def _may_predate(self, claimed_at: float) -> bool:
        """Returns whether a claim may have been made before this process."""
        return claimed_at < self._started_at + MAX_CLOCK_SKEW_S

"""Runs of a sidecar by request id, kept until they are acknowledged."""

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

# An answer nobody acknowledged is forgotten this long after its deadline.
KEEP_AFTER_DEADLINE_S = 120.0
# Most that the clocks of two instances differ.
CLOCK_SKEW_S = 1.0
# An idempotent run that no entry has followed for this is given up.
ORPHAN_S = 10.0


class Run:
    """One request at this sidecar.

    Attributes:
        request: The request.
        parts: Parts of the answer so far.
        outcome: The whole answer, once there is one.
        scope: Cancels the work.
        is_given: Whether the upstream was given the request.
        followers: Calls that wait for the answer now.
        left: Monotonic time at which the last follower left.
    """

    def __init__(self, request: DispatchRequest) -> None:
        self.request = request
        self.parts: list[TextPart] = []
        self.outcome: Outcome | None = None
        self.scope = anyio.CancelScope()
        self.is_sent = False
        self.followers = 0
        self.left = clock.monotonic()
        self._characters = len(request.resume_text)
        self._tokens = request.resume_tokens
        self._changed = anyio.Event()

    def add_text(self, text: str, tokens: int) -> None:
        """Adds a part of the answer."""
        part = TextPart(
            self.request.request_id,
            len(self.parts),
            text,
            tokens,
            self._characters,
            self._tokens,
        )
        self._characters += len(text)
        self._tokens += tokens
        self.parts.append(part)
        self._notify()

    def set_outcome(self, outcome: Outcome) -> None:
        """Sets the answer; the first one stands."""
        if self.outcome is None:
            self.outcome = outcome
            self._notify()

    @contextlib.contextmanager
    def add_follower(self) -> Iterator[None]:
        """Counts a follower."""
        self.followers += 1
        try:
            yield
        finally:
            self.followers -= 1
            self.left = clock.monotonic()

    def is_orphaned(self) -> bool:
        """Returns whether nobody will come for an idempotent run."""
        return (
            self.request.idempotent
            and not self.followers
            and clock.monotonic() - self.left >= ORPHAN_S
        )

    async def changed(self) -> None:
        """Waits for the next part or the outcome."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class RunTable:
    """All runs of a sidecar, and the request ids that may never run."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._runs_by_id: dict[str, Run] = {}
        self._deadlines_by_forbidden_id: dict[str, float] = {}
        self._deadlines_by_forgotten_id: dict[str, float] = {}
        self._started = clock.wall()

    def __len__(self) -> int:
        return len(self._runs_by_id)

    def active(self) -> int:
        """Returns how many runs have no outcome yet."""
        return sum(r.outcome is None for r in self._runs_by_id.values())

    def get(self, request_id: str) -> Run | None:
        """Returns a run, or None if its id is unseen."""
        return self._runs_by_id.get(request_id)

    def require(self, request_id: str) -> Run:
        """Returns a run.

        Raises:
            NotFoundError: The id is unseen or was acknowledged.
        """
        run = self._runs_by_id.get(request_id)
        if run is None:
            raise NotFoundError(f"Run {request_id} is not known here.")
        return run

    def start(self, request: DispatchRequest) -> Run:
        """Adds a run.

        Raises:
            RequestCancelledError: The id was forbidden before.
            UpstreamUnavailableError: The claim is older than this process,
                so a former one may have been asked about it.
        """
        if not request.idempotent and self._may_precede(request.claimed_at):
            raise UpstreamUnavailableError(
                "The claim is older than this sidecar.",
                not_run=True,
                retry_after_s=CLOCK_SKEW_S,
            )
        if request.request_id in self._deadlines_by_forbidden_id:
            raise RequestCancelledError(
                "The run was settled as not run.", not_run=True
            )
        run = Run(request)
        self._runs_by_id[request.request_id] = run
        return run

    def forbid(self, request_id: str, deadline: float) -> None:
        """Refuses an unseen id from now on.

        Args:
            request_id: The id.
            deadline: Deadline of its dispatch, seconds since the epoch.
        """
        self._deadlines_by_forbidden_id[request_id] = deadline

    def settle(self, message: Settle) -> Settled:
        """Tells what became of a run, and forbids an unseen one.

        The word is `unknown` if this process may have forgotten the run, or
        is younger than the claim.
        """
        run = self._runs_by_id.get(message.request_id)
        if run is not None and run.outcome is None:
            return Settled("running")
        if run is not None:
            return Settled("done", run.outcome)
        if message.request_id in self._deadlines_by_forbidden_id:
            return Settled("forbidden")
        is_past = message.deadline < clock.wall() - KEEP_AFTER_DEADLINE_S
        is_forgotten = message.request_id in self._deadlines_by_forgotten_id
        if is_past or is_forgotten or self._may_precede(message.claimed_at):
            return Settled("unknown")
        self.forbid(message.request_id, message.deadline)
        return Settled("forbidden")

    def acknowledge(self, request_id: str) -> None:
        """Forgets a run whose answer is safe elsewhere."""
        run = self._runs_by_id.get(request_id)
        if run is None or run.outcome is None:
            return
        del self._runs_by_id[request_id]
        if not run.request.idempotent:
            deadline = run.request.deadline
            self._deadlines_by_forgotten_id[request_id] = deadline

    def sweep(self) -> None:
        """Forgets orphans, and what is long past its deadline."""
        oldest = clock.wall() - KEEP_AFTER_DEADLINE_S
        for request_id, run in list(self._runs_by_id.items()):
            if run.outcome is None and run.is_orphaned():
                run.scope.cancel()
            elif run.request.deadline >= oldest and not run.is_orphaned():
                continue
            if run.outcome is not None or run.is_orphaned():
                del self._runs_by_id[request_id]
        for deadlines_by_id in (
            self._deadlines_by_forbidden_id,
            self._deadlines_by_forgotten_id,
        ):
            for request_id, deadline in list(deadlines_by_id.items()):
                if deadline < oldest:
                    del deadlines_by_id[request_id]

    def _may_precede(self, claimed_at: float) -> bool:
        """Returns whether a claim may be older than this process."""
        return claimed_at < self._started + CLOCK_SKEW_S

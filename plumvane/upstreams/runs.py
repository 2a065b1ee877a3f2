"""Runs of a sidecar by request id, kept until they are acknowledged."""

from __future__ import annotations

import anyio

from plumvane import clock
from plumvane.errors import NotFoundError, RequestCancelledError
from plumvane.peers.messages import DispatchRequest, Outcome, TextPart

__all__ = ["Run", "RunTable"]

# An answer nobody acknowledged is forgotten this long after its deadline.
KEEP_AFTER_DEADLINE_S = 120.0


class Run:
    """One request at this sidecar.

    Attributes:
        request: The request.
        parts: Parts of the answer so far.
        outcome: The whole answer, once there is one.
        scope: Cancels the work.
    """

    def __init__(self, request: DispatchRequest) -> None:
        self.request = request
        self.parts: list[TextPart] = []
        self.outcome: Outcome | None = None
        self.scope = anyio.CancelScope()
        self._changed = anyio.Event()

    def add_text(self, text: str, tokens: int) -> None:
        """Adds a part of the answer."""
        part = TextPart(self.request.request_id, len(self.parts), text, tokens)
        self.parts.append(part)
        self._notify()

    def end(self, outcome: Outcome) -> None:
        """Sets the answer; the first one stands."""
        if self.outcome is None:
            self.outcome = outcome
            self._notify()

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
        """
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

    def acknowledge(self, request_id: str) -> None:
        """Forgets a run whose answer is safe elsewhere."""
        run = self._runs_by_id.get(request_id)
        if run is not None and run.outcome is not None:
            del self._runs_by_id[request_id]

    def sweep(self) -> None:
        """Forgets answers and forbidden ids long past their deadline."""
        oldest = clock.wall() - KEEP_AFTER_DEADLINE_S
        for request_id, run in list(self._runs_by_id.items()):
            if run.outcome is not None and run.request.deadline < oldest:
                del self._runs_by_id[request_id]
        for request_id, deadline in list(
            self._deadlines_by_forbidden_id.items()
        ):
            if deadline < oldest:
                del self._deadlines_by_forbidden_id[request_id]

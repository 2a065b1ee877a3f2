"""Request ledger of one partition: claims and results by key."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable

import anyio

from plumvane import clock, events
from plumvane.errors import (
    DeadlineExceededError,
    KeyReusedError,
    NotFoundError,
    OutcomeUnknownError,
    StoreUnavailableError,
)
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.records import (
    LogRecord,
    RequestCompleted,
    RequestReleased,
    RequestStarted,
)
from plumvane.peers.messages import (
    Claim,
    ClaimGranted,
    ClaimResult,
    Committed,
    Complete,
    Failure,
    Outcome,
    Settled,
)

__all__ = ["RequestLedger", "Settler"]

# A claim that its entry has not renewed for this is orphaned.
CLAIM_SILENCE_S = 4.0

Settler = Callable[[str, str, float], Awaitable[Settled]]


@dataclasses.dataclass(slots=True)
class _Run:
    """A request that runs.

    Attributes:
        request_id: Identifier of the run.
        digest: Digest of the request.
        idempotent: Whether it may run again.
        deadline: Deadline of the request.
        sidecar_address: Sidecar of a non-idempotent run.
        renewed: Monotonic time at which its entry last named it.
        ended: Set when the run has a result or was released.
    """

    request_id: str
    digest: bytes
    idempotent: bool
    deadline: float
    sidecar_address: str
    renewed: float
    ended: anyio.Event


class RequestLedger:
    """Grants claims and keeps results; only the partition's owner has one."""

    def __init__(
        self,
        log: PartitionLog,
        *,
        may_promise: Callable[[], bool],
        settle: Settler,
    ) -> None:
        """Creates an empty ledger.

        Args:
            log: The partition's log.
            may_promise: Whether the owner's lease covers an answer now.
            settle: Asks a sidecar what became of a run.
        """
        self._log = log
        self._may_promise = may_promise
        self._settle = settle
        self._results_by_key: dict[tuple[str, str], RequestCompleted] = {}
        self._runs_by_key: dict[tuple[str, str], _Run] = {}
        self._held_keys: set[tuple[str, str]] = set()

    def __len__(self) -> int:
        return len(self._results_by_key)

    def apply(self, record: LogRecord) -> None:
        """Takes a record of the log in, in the order of the log."""
        if isinstance(record, RequestCompleted):
            key = (record.team, record.key)
            self._results_by_key.setdefault(key, record)
            self._end_run(key)
        elif isinstance(record, RequestStarted):
            self._runs_by_key[record.team, record.key] = _Run(
                record.request_id,
                record.digest,
                False,
                record.deadline,
                record.sidecar_address,
                clock.monotonic(),
                anyio.Event(),
            )
        elif isinstance(record, RequestReleased):
            self._end_run((record.team, record.key))

    async def claim(self, claim: Claim) -> ClaimGranted | ClaimResult:
        """Grants the right to run a request, or returns its result.

        Waits for the result if another entry runs the request.

        Raises:
            KeyReusedError: The key was used with another body.
            DeadlineExceededError: The deadline passed while waiting.
            StoreUnavailableError: A non-idempotent run cannot be recorded.
            NotOwnerError: Another instance took the partition.
        """
        key = (claim.team, claim.key)
        while True:
            result = self._result(key, claim.digest)
            if result is not None:
                return result
            run = self._runs_by_key.get(key)
            if run is None:
                return await self._grant(key, claim)
            if run.digest != claim.digest:
                raise KeyReusedError(
                    f"Key {claim.key!r} runs with another body."
                )
            if run.request_id == claim.request_id:
                return ClaimGranted(claim.request_id)
            await self._wait(key, run, claim.deadline)

    def renew(self, request_ids: set[str]) -> None:
        """Takes in that entries still run these requests."""
        now = clock.monotonic()
        for run in self._runs_by_key.values():
            if run.request_id in request_ids:
                run.renewed = now

    async def complete(self, message: Complete) -> Committed:
        """Commits a run's result unless the request has one.

        Returns:
            Which run's result stands; not durable if the store is down.

        Raises:
            NotOwnerError: Another instance took the partition.
        """
        key = (message.team, message.key)
        found = self._results_by_key.get(key)
        if found is None:
            record = RequestCompleted(
                message.team,
                message.key,
                message.request_id,
                message.digest,
                message.outcome,
                clock.wall(),
            )
            self._results_by_key[key] = found = record
            self._held_keys.add(key)
            await self._commit_result(key, record)
        durable = key not in self._held_keys
        if found.request_id == message.request_id:
            return Committed(found.request_id, durable=durable)
        return Committed(found.request_id, found.outcome, durable=durable)

    async def release(self, team: str, key: str, request_id: str) -> None:
        """Gives a claim up that was not run."""
        run = self._runs_by_key.get((team, key))
        if run is None or run.request_id != request_id:
            return
        if not run.idempotent:
            await self._log.commit(RequestReleased(team, key, request_id))
        self._end_run((team, key))

    def lookup(self, team: str, key: str) -> ClaimResult:
        """Returns a stored result.

        Raises:
            NotFoundError: The request is unknown, or still runs.
        """
        found = self._results_by_key.get((team, key))
        if found is None:
            state = "unknown"
            if (team, key) in self._runs_by_key:
                state = "still running"
            raise NotFoundError(f"Request {key!r} is {state}.")
        durable = (team, key) not in self._held_keys
        return ClaimResult(found.request_id, found.outcome, durable)

    def _result(
        self, key: tuple[str, str], digest: bytes
    ) -> ClaimResult | None:
        found = self._results_by_key.get(key)
        if found is None:
            return None
        if found.digest != digest:
            raise KeyReusedError(f"Key {key[1]!r} has another body's result.")
        return ClaimResult(
            found.request_id, found.outcome, key not in self._held_keys
        )

    async def _grant(self, key: tuple[str, str], claim: Claim) -> ClaimGranted:
        if not claim.idempotent and not self._may_promise():
            raise StoreUnavailableError(
                "The store does not answer, so the run cannot be recorded.",
                not_run=True,
                retry_after_s=2.0,
            )
        run = _Run(
            claim.request_id,
            claim.digest,
            claim.idempotent,
            claim.deadline,
            claim.sidecar_address,
            clock.monotonic(),
            anyio.Event(),
        )
        self._runs_by_key[key] = run
        if not claim.idempotent:
            await self._log.commit(
                RequestStarted(
                    claim.team,
                    claim.key,
                    claim.request_id,
                    claim.digest,
                    claim.deadline,
                    claim.sidecar_address,
                )
            )
        return ClaimGranted(claim.request_id)

    async def _wait(
        self, key: tuple[str, str], run: _Run, deadline: float
    ) -> None:
        """Waits for a run's end, for its loss or for a deadline."""
        left_s = deadline - clock.wall()
        if left_s <= 0:
            raise DeadlineExceededError(
                f"Request {key[1]!r} still runs; its result stays readable."
            )
        silent_at = run.renewed + CLAIM_SILENCE_S
        wait_s = min(left_s, max(0.05, silent_at - clock.monotonic()))
        with anyio.move_on_after(wait_s):
            await run.ended.wait()
            return
        if run.renewed + CLAIM_SILENCE_S <= clock.monotonic():
            await self._recover_orphan(key, run)

    async def _recover_orphan(self, key: tuple[str, str], run: _Run) -> None:
        events.log(events.Event.CLAIM_ORPHANED, request_id=run.request_id)
        if run.idempotent:
            self._end_run(key)
            return
        settled = await self._settle(
            run.sidecar_address, run.request_id, run.deadline
        )
        if settled.state == "forbidden":
            await self.release(key[0], key[1], run.request_id)
        elif settled.state == "done" and settled.outcome is not None:
            await self._store_outcome(key, run, settled.outcome)
        elif settled.state == "unknown":
            await self._store_outcome(key, run, unknown_outcome())
        else:
            run.renewed = clock.monotonic()

    async def _store_outcome(
        self, key: tuple[str, str], run: _Run, outcome: Outcome
    ) -> None:
        await self.complete(
            Complete(0, key[0], key[1], run.request_id, run.digest, outcome)
        )

    async def _commit_result(
        self, key: tuple[str, str], record: RequestCompleted
    ) -> None:
        """Commits a result, then lets the callers that wait see it."""
        await self._log.commit(record)
        self._held_keys.discard(key)
        self._end_run(key)

    def _end_run(self, key: tuple[str, str]) -> None:
        run = self._runs_by_key.pop(key, None)
        if run is not None:
            run.ended.set()


def unknown_outcome() -> Outcome:
    """Returns the answer for a run that cannot be settled."""
    error = OutcomeUnknownError(
        "The upstream was lost after the request was sent; it may have run."
    )
    failure = Failure(error.code, error.detail, error.remedy)
    return Outcome(error.status, b"", error=failure)

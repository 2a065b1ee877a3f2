"""Request ledger of one partition: claims and results by idempotency key."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import anyio

from plumvane import clock, events
from plumvane.errors import (
    BulkUnavailableError,
    DeadlineExceededError,
    KeyReusedError,
    NotFoundError,
    NotOwnerError,
    StoreUnavailableError,
    UpstreamUnavailableError,
)
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.records import (
    LogRecord,
    RequestCompleted,
    RequestReleased,
    RequestStarted,
    ResultsMoved,
)
from plumvane.peers.messages import (
    ChunkRef,
    Claim,
    ClaimGranted,
    ClaimResult,
    Committed,
    Complete,
    EntryClaims,
    Outcome,
)
from plumvane.requests.claims import ClaimedRun, ClaimTable, RequestKey
from plumvane.requests.control import OwnerState, RunControl
from plumvane.requests.moved_results import MovedResults, ResultChunkCache
from plumvane.requests.outcomes import (
    cancelled_outcome,
    limit_outcome_size,
    unknown_outcome,
)
from plumvane.requests.results import ResultTable

__all__ = ["OwnerState", "RequestLedger", "RunControl"]

# A claim that its entry has not renewed for this long is orphaned.
CLAIM_TIMEOUT_S = 4.0
REAP_INTERVAL_S = 0.5
# Longest wait of a claim or a result for its commit.
COMMIT_WAIT_S = 1.0
# Interval between the polls of a sidecar that is executing an orphaned run.
SETTLE_POLL_INTERVAL_S = 0.5
RETRY_AFTER_S = 2.0

Spawn = Callable[..., None]


class RequestLedger:
    """Grants claims and holds results; exists only at the partition's owner."""

    def __init__(
        self,
        partition: int,
        log: PartitionLog,
        state: OwnerState,
        control: RunControl,
        spawn: Spawn,
        cache: ResultChunkCache | None = None,
    ) -> None:
        """Creates an empty ledger.

        Until `finish_recovery` is called, it grants a claim only if no entry
        can hold an unknown claim of the same key.

        Args:
            partition: Number of the partition.
            log: The partition's log.
            state: State of the owner's lease and of the store.
            control: Calls the sidecars and entries of the runs.
            spawn: Starts a task, as `TaskGroup.start_soon` does.
            cache: Reads results that were moved to chunks.
        """
        self._partition = partition
        self._log = log
        self._state = state
        self._control = control
        self._spawn = spawn
        self._results = ResultTable()
        self._moved = MovedResults(cache)
        self._claims = ClaimTable()
        self._recovered = anyio.Event()
        self._closed = False

    def __len__(self) -> int:
        return len(self._results)

    def apply(self, record: LogRecord) -> None:
        """Applies a record of the log; records must be applied in log order."""
        if isinstance(record, RequestCompleted):
            self._results.add_stored(record)
            self._claims.end((record.team, record.key))
        elif isinstance(record, ResultsMoved):
            self._moved.add(record)
        elif isinstance(record, RequestStarted):
            self._apply_started(record)
        elif isinstance(record, RequestReleased):
            self._claims.end((record.team, record.key), record.request_id)

    def apply_move(
        self, moved: ResultsMoved, results: Iterable[RequestCompleted]
    ) -> None:
        """Replaces results by a reference to the chunk they were moved to."""
        self._moved.add(moved)
        self._results.remove(results)

    def chunks(self) -> Iterator[ChunkRef]:
        """Yields the references of all chunks with results."""
        return self._moved.chunks()

    def recover_claims(self, entry_claims: EntryClaims) -> None:
        """Adds the claims and results that an entry holds from a former owner.

        Only claims of idempotent requests are added; the log holds the others.
        """
        for message in entry_claims.results:
            if not self._may_have_result((message.team, message.key)):
                self._add_result(message)
        for claim in entry_claims.claims:
            key = (claim.team, claim.key)
            if self._claims.renew(claim.request_id) or not claim.idempotent:
                continue
            if not self._may_have_result(key) and self._claims.get(key) is None:
                self._claims.add(claim, clock.wall()).started.set()

    def finish_recovery(self) -> None:
        """Marks the recovery of claims from the entries as complete."""
        self._recovered.set()

    def close(self) -> None:
        """Closes the ledger of a partition that is no longer owned here.

        Wakes all tasks that wait for a run, a result or the recovery.
        """
        self._closed = True
        self._recovered.set()
        self._results.release_waiters()
        for run in self._claims:
            self._claims.end(run.key)

    async def run(self) -> None:
        """Reaps orphaned claims and removes expired results until closed."""
        while not self._closed:
            await anyio.sleep(REAP_INTERVAL_S)
            if self._state.has_valid_lease() or self._state.store_is_down():
                self.reap()
            retention_cutoff = clock.wall() - self._state.retention_s()
            self._results.remove_before(retention_cutoff)
            self._moved.remove_before(retention_cutoff)

    def reap(self) -> None:
        """Ends or settles runs whose claims were not renewed in time."""
        renewal_cutoff = clock.monotonic() - CLAIM_TIMEOUT_S
        for run in self._claims:
            if run.renewed_at > renewal_cutoff or run.is_settling:
                continue
            events.log(
                events.Event.CLAIM_ORPHANED, request_id=run.claim.request_id
            )
            if run.claim.idempotent:
                self._claims.end(run.key)
            else:
                run.is_settling = True
                self._spawn(self._settle_orphan, run)

    async def claim(self, claim: Claim) -> ClaimGranted | ClaimResult:
        """Grants the right to run a request, or returns its result.

        Waits for the result if another run of the request is in progress.

        Raises:
            KeyReusedError: The key was used with a different body.
            DeadlineExceededError: The deadline passed while waiting.
            StoreUnavailableError: A non-idempotent run cannot be recorded.
            UpstreamUnavailableError: No sidecar can run the request.
            BulkUnavailableError: The result of the request cannot be read now.
            NotOwnerError: Another instance took the partition.
        """
        key = (claim.team, claim.key)
        while True:
            record = await self._find_result_for_claim(key)
            if record is not None:
                _check_digest(key, record.digest, claim.digest)
                return await self._claim_result(key, record)
            run = self._claims.get(key)
            if run is None:
                if not self._recovered.is_set() and not _may_skip_recovery(
                    claim
                ):
                    await self._wait_until_deadline(self._recovered, claim)
                    continue
                return await self._grant(claim)
            _check_digest(key, run.claim.digest, claim.digest)
            if run.claim.request_id == claim.request_id:
                return await self._wait_granted(run)
            await self._wait_until_deadline(run.ended, claim)

    def renew(self, request_ids: tuple[str, ...]) -> set[str]:
        """Renews the claims of requests that are still running.

        Returns:
            Ids of the requests that have a claim here.
        """
        return {i for i in request_ids if self._claims.renew(i)}

    async def complete(self, message: Complete) -> Committed:
        """Commits the result of a run, unless the request already has one.

        Returns:
            The run whose result is kept, with that result if it differs from
            the given one. It is not durable if the store is down.

        Raises:
            NotOwnerError: Another instance took the partition.
        """
        key = (message.team, message.key)
        record = await self._find_result(key)
        if record is None:
            record = self._add_result(message)
        result = await self._claim_result(key, record)
        if result.outcome == message.outcome:
            return Committed(result.request_id, durable=result.durable)
        return Committed(result.request_id, result.outcome, result.durable)

    async def release(self, team: str, key: str, request_id: str) -> None:
        """Releases a claim without a result.

        Raises:
            NotOwnerError: Another instance took the partition.
        """
        self._check_owned()
        run = self._claims.get((team, key))
        if run is not None and run.claim.request_id == request_id:
            self._withdraw(run)

    async def cancel(self, team: str, key: str) -> ClaimResult:
        """Cancels a running request; a finished one keeps its result.

        Returns:
            The result of the request.

        Raises:
            NotFoundError: The request is unknown.
            NotOwnerError: Another instance took the partition or may have.
            StoreUnavailableError: The request is unknown here, but may be
                known to another owner.
        """
        await self._recovered.wait()
        record = await self._find_result((team, key))
        if record is None:
            run = self._claims.get((team, key))
            if run is None:
                self._state.check_denial()
                raise NotFoundError(f"Request {key!r} is unknown.")
            record = self._add_result(
                _complete_message(run, cancelled_outcome())
            )
            self._spawn(self._control.stop, run)
        return await self._claim_result((team, key), record)

    async def lookup(self, team: str, key: str) -> ClaimResult:
        """Returns a stored result.

        Raises:
            NotFoundError: The request is unknown, or is still running.
            NotOwnerError: Another instance took the partition or may have.
            StoreUnavailableError: There is no result here, but another owner
                may have one.
        """
        record = await self._find_result((team, key))
        if record is None:
            await self._recovered.wait()
            record = await self._find_result((team, key))
        if record is not None:
            return await self._claim_result((team, key), record)
        self._state.check_denial()
        state = "unknown"
        if self._claims.get((team, key)) is not None:
            state = "still running"
        raise NotFoundError(f"Request {key!r} is {state}.")

    def _apply_started(self, record: RequestStarted) -> None:
        claim = Claim(
            self._partition,
            record.team,
            record.key,
            record.request_id,
            record.digest,
            False,
            record.deadline,
            "",
            record.sidecar_address,
        )
        self._claims.add(claim, record.time).started.set()

    async def _find_result(self, key: RequestKey) -> RequestCompleted | None:
        """Returns the result of a key from memory or from a chunk, or None."""
        self._check_owned()
        record = self._results.get(key)
        if record is not None or not self._moved.may_contain(key):
            return record
        since = clock.wall() - self._state.retention_s()
        record = await self._moved.read(key, since)
        self._check_owned()
        return record or self._results.get(key)

    async def _find_result_for_claim(
        self, key: RequestKey
    ) -> RequestCompleted | None:
        try:
            return await self._find_result(key)
        except BulkUnavailableError as error:
            error.not_run = True
            raise

    def _may_have_result(self, key: RequestKey) -> bool:
        return self._results.get(key) is not None or self._moved.may_contain(
            key
        )

    def _check_owned(self) -> None:
        if self._closed or self._log.lost:
            raise NotOwnerError("Another instance owns the partition.")

    async def _claim_result(
        self, key: RequestKey, record: RequestCompleted
    ) -> ClaimResult:
        """Returns a result once it is stored.

        If the store is down or slow, returns it marked as not durable.
        """
        if not self._results.is_stored(key):
            if not self._state.store_is_down():
                with anyio.move_on_after(COMMIT_WAIT_S):
                    await self._results.wait_stored(key)
            self._check_owned()
        durable = self._results.is_stored(key)
        if not durable:
            self._state.check_lease()
        return ClaimResult(record.request_id, record.outcome, durable)

    async def _grant(self, claim: Claim) -> ClaimGranted:
        if claim.idempotent:
            self._state.check_lease()
            run = self._claims.add(claim, clock.wall())
            run.started.set()
            return ClaimGranted(claim.request_id, run.claimed_at)
        if not self._state.has_valid_lease() or self._state.store_is_down():
            raise _not_recorded_error()
        if not claim.sidecar_address:
            raise UpstreamUnavailableError(
                "No upstream is live.",
                not_run=True,
                retry_after_s=RETRY_AFTER_S,
            )
        run = self._claims.add(claim, clock.wall())
        self._spawn(self._record_start, run)
        return await self._wait_granted(run)

    async def _wait_granted(self, run: ClaimedRun) -> ClaimGranted:
        """Waits until the start of a run is stored, else withdraws the run."""
        with anyio.move_on_after(COMMIT_WAIT_S):
            await run.started.wait()
        self._check_owned()
        if not run.started.is_set():
            self._withdraw(run)
        if run.ended.is_set():
            raise _not_recorded_error()
        return ClaimGranted(run.claim.request_id, run.claimed_at)

    async def _record_start(self, run: ClaimedRun) -> None:
        claim = run.claim
        await self._commit(
            RequestStarted(
                claim.team,
                claim.key,
                claim.request_id,
                claim.digest,
                claim.deadline,
                claim.sidecar_address,
                run.claimed_at,
            )
        )
        run.started.set()

    def _withdraw(self, run: ClaimedRun) -> None:
        """Releases the claim of a run that was not sent to an upstream."""
        self._claims.end(run.key, run.claim.request_id)
        if not run.claim.idempotent:
            self._spawn(
                self._commit,
                RequestReleased(*run.key, run.claim.request_id),
            )

    def _add_result(self, message: Complete) -> RequestCompleted:
        record = RequestCompleted(
            message.team,
            message.key,
            message.request_id,
            message.digest,
            limit_outcome_size(message.outcome),
            clock.wall(),
        )
        key = (message.team, message.key)
        self._results.add_unstored(record)
        self._claims.end(key)
        self._spawn(self._store_result, key, record)
        return record

    async def _store_result(
        self, key: RequestKey, record: RequestCompleted
    ) -> None:
        if await self._commit(record):
            self._results.mark_stored(key)

    async def _commit(self, record: LogRecord) -> bool:
        """Commits a record; returns whether the partition is still owned."""
        try:
            await self._log.commit(record)
        except NotOwnerError:
            self.close()
            return False
        return True

    async def _wait_until_deadline(
        self, event: anyio.Event, claim: Claim
    ) -> None:
        """Waits for an event, at most until the claim's deadline."""
        with anyio.move_on_after(max(0.0, claim.deadline - clock.wall())):
            await event.wait()
            return
        raise DeadlineExceededError(
            f"Request {claim.key!r} is still running; "
            "its result can be read later."
        )

    async def _settle_orphan(self, run: ClaimedRun) -> None:
        """Polls the sidecar until the run has a result or is forbidden."""
        while not run.ended.is_set() and not self._closed:
            settled = await self._control.settle(run)
            if settled.state == "running":
                await anyio.sleep(SETTLE_POLL_INTERVAL_S)
                continue
            if run.ended.is_set() or self._closed:
                return
            if settled.state == "forbidden":
                self._withdraw(run)
                return
            outcome = settled.outcome or unknown_outcome()
            await self._store_orphan(run, outcome)

    async def _store_orphan(self, run: ClaimedRun, outcome: Outcome) -> None:
        self._add_result(_complete_message(run, outcome))
        await self._results.wait_stored(run.key)
        if self._results.is_stored(run.key):
            await self._control.acknowledge(run)


def _not_recorded_error() -> StoreUnavailableError:
    return StoreUnavailableError(
        "The store does not answer, so the run cannot be recorded.",
        not_run=True,
        retry_after_s=RETRY_AFTER_S,
    )


def _may_skip_recovery(claim: Claim) -> bool:
    """Returns whether no claim of the key can be missing in the ledger.

    A newly generated key has no earlier claim, and the starts of non-idempotent
    requests are in the log.
    """
    return claim.new_key or not claim.idempotent


def _check_digest(key: RequestKey, first: bytes, second: bytes) -> None:
    if first != second:
        raise KeyReusedError(f"Key {key[1]!r} was sent with a different body.")


def _complete_message(run: ClaimedRun, outcome: Outcome) -> Complete:
    claim = run.claim
    return Complete(
        claim.partition,
        claim.team,
        claim.key,
        claim.request_id,
        claim.digest,
        outcome,
    )

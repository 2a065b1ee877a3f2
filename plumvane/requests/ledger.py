"""Request ledger of one partition: claims and results by key."""

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

# A claim that its entry has not renewed for this is orphaned.
CLAIM_TIMEOUT_S = 4.0
REAP_S = 0.5
# A claim or a result waits this long for its commit.
COMMIT_WAIT_S = 1.0
# How long a sidecar that runs an orphan is left before it is asked again.
SETTLE_POLL_S = 0.5
RETRY_AFTER_S = 2.0

Spawn = Callable[..., None]


class RequestLedger:
    """Grants claims and keeps results; only the partition's owner has one."""

    def __init__(
        self,
        partition: int,
        log: PartitionLog,
        state: OwnerState,
        control: RunControl,
        spawn: Spawn,
        bodies: ResultChunkCache | None = None,
    ) -> None:
        """Creates an empty ledger that grants no claim it cannot prove free.

        Args:
            partition: Number of the partition.
            log: The partition's log.
            state: The owner's lease and store.
            control: Reaches the runs.
            spawn: Starts a task, as `TaskGroup.start_soon`.
            bodies: Reads results that are in chunks.
        """
        self._partition = partition
        self._log = log
        self._state = state
        self._control = control
        self._spawn = spawn
        self._results = ResultTable()
        self._moved = MovedResults(bodies)
        self._claims = ClaimTable()
        self._inherited = anyio.Event()
        self._closed = False

    def __len__(self) -> int:
        return len(self._results)

    def apply(self, record: LogRecord) -> None:
        """Takes a record of the log in, in the order of the log."""
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
        """Takes in that the log holds a reference in the place of results."""
        self._moved.add(moved)
        self._results.remove(results)

    def chunks(self) -> Iterator[ChunkRef]:
        """Yields the references of all chunks with results."""
        return self._moved.chunks()

    def recover_claims(self, announced: EntryClaims) -> None:
        """Takes in an entry's claims and results of the last owner's time.

        Idempotent runs only: the log has the others.
        """
        for message in announced.results:
            if not self._may_have_result((message.team, message.key)):
                self._put_result(message)
        for claim in announced.claims:
            key = (claim.team, claim.key)
            if self._claims.renew(claim.request_id) or not claim.idempotent:
                continue
            if not self._may_have_result(key) and self._claims.get(key) is None:
                self._claims.add(claim, clock.wall()).started.set()

    def finish_recovery(self) -> None:
        """Ends the time in which entries announce the claims they have."""
        self._inherited.set()

    def close(self) -> None:
        """Ends all waiting; the partition is no longer owned here."""
        self._closed = True
        self._inherited.set()
        self._results.release_waiters()
        for run in self._claims:
            self._claims.end(run.key)

    async def run(self) -> None:
        """Settles orphaned runs and forgets old results until closed."""
        while not self._closed:
            await anyio.sleep(REAP_S)
            if self._state.lease_is_valid() or self._state.store_is_down():
                self.reap()
            oldest = clock.wall() - self._state.retention_s()
            self._results.remove_before(oldest)
            self._moved.remove_before(oldest)

    def reap(self) -> None:
        """Gives up the claims of entries that have gone silent."""
        silent = clock.monotonic() - CLAIM_TIMEOUT_S
        for run in self._claims:
            if run.renewed_at > silent or run.is_settling:
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

        Waits for the result if another entry runs the request.

        Raises:
            KeyReusedError: The key was used with another body.
            DeadlineExceededError: The deadline passed while waiting.
            StoreUnavailableError: A non-idempotent run cannot be recorded.
            UpstreamUnavailableError: There is no sidecar for it.
            BulkUnavailableError: Its result cannot be read now.
            NotOwnerError: Another instance took the partition.
        """
        key = (claim.team, claim.key)
        while True:
            found = await self._find_for_claim(key)
            if found is not None:
                _check_digest(key, found.digest, claim.digest)
                return await self._claim_result(key, found)
            run = self._claims.get(key)
            if run is None:
                if not self._inherited.is_set() and not _is_free(claim):
                    await self._wait(self._inherited, claim)
                    continue
                return await self._grant(claim)
            _check_digest(key, run.claim.digest, claim.digest)
            if run.claim.request_id == claim.request_id:
                return await self._granted(run)
            await self._wait(run.ended, claim)

    def renew(self, request_ids: tuple[str, ...]) -> set[str]:
        """Takes in that entries still run these requests.

        Returns:
            Those that this ledger knows.
        """
        return {i for i in request_ids if self._claims.renew(i)}

    async def complete(self, message: Complete) -> Committed:
        """Commits a run's result unless the request has one.

        Returns:
            Which run's result stands; not durable if the store is down.

        Raises:
            NotOwnerError: Another instance took the partition.
        """
        key = (message.team, message.key)
        found = await self._find(key)
        if found is None:
            found = self._put_result(message)
        result = await self._claim_result(key, found)
        if result.outcome == message.outcome:
            return Committed(result.request_id, durable=result.durable)
        return Committed(result.request_id, result.outcome, result.durable)

    async def release(self, team: str, key: str, request_id: str) -> None:
        """Gives a claim up.

        Raises:
            NotOwnerError: Another instance took the partition.
        """
        self._check_open()
        run = self._claims.get((team, key))
        if run is not None and run.claim.request_id == request_id:
            self._withdraw(run)

    async def cancel(self, team: str, key: str) -> ClaimResult:
        """Cancels a request that runs; a finished one keeps its result.

        Returns:
            The result of the request.

        Raises:
            NotFoundError: The request is unknown.
            NotOwnerError: Another instance took the partition.
        """
        await self._inherited.wait()
        found = await self._find((team, key))
        if found is None:
            run = self._claims.get((team, key))
            if run is None:
                raise NotFoundError(f"Request {key!r} is unknown.")
            found = self._put_result(_completion(run, cancelled_outcome()))
            self._spawn(self._control.stop, run)
        return await self._claim_result((team, key), found)

    async def lookup(self, team: str, key: str) -> ClaimResult:
        """Returns a stored result.

        Raises:
            NotFoundError: The request is unknown, or still runs.
            NotOwnerError: Another instance took the partition.
        """
        found = await self._find((team, key))
        if found is None:
            await self._inherited.wait()
            found = await self._find((team, key))
        if found is not None:
            return await self._claim_result((team, key), found)
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

    async def _find(self, key: RequestKey) -> RequestCompleted | None:
        """Returns the result of a key, from memory or from its chunk."""
        self._check_open()
        found = self._results.get(key)
        if found is not None or not self._moved.may_contain(key):
            return found
        since = clock.wall() - self._state.retention_s()
        found = await self._moved.read(key, since)
        self._check_open()
        return found or self._results.get(key)

    async def _find_for_claim(self, key: RequestKey) -> RequestCompleted | None:
        try:
            return await self._find(key)
        except BulkUnavailableError as error:
            error.not_run = True
            raise

    def _may_have_result(self, key: RequestKey) -> bool:
        return self._results.get(key) is not None or self._moved.may_contain(
            key
        )

    def _check_open(self) -> None:
        if self._closed or self._log.lost:
            raise NotOwnerError("Another instance owns the partition.")

    def _check_lease(self) -> None:
        """Refuses to answer on a lapsed lease while the store is up."""
        if not self._state.lease_is_valid() and not self._state.store_is_down():
            raise NotOwnerError("The owner's lease has lapsed.")

    async def _claim_result(
        self, key: RequestKey, found: RequestCompleted
    ) -> ClaimResult:
        """Returns a result once it is stored, or soon if the store is down."""
        if not self._results.is_stored(key):
            if not self._state.store_is_down():
                with anyio.move_on_after(COMMIT_WAIT_S):
                    await self._results.wait_stored(key)
            self._check_open()
        durable = self._results.is_stored(key)
        if not durable:
            self._check_lease()
        return ClaimResult(found.request_id, found.outcome, durable)

    async def _grant(self, claim: Claim) -> ClaimGranted:
        if claim.idempotent:
            self._check_lease()
            run = self._claims.add(claim, clock.wall())
            run.started.set()
            return ClaimGranted(claim.request_id, run.claimed_at)
        if not self._state.lease_is_valid() or self._state.store_is_down():
            raise _not_recorded()
        if not claim.sidecar_address:
            raise UpstreamUnavailableError(
                "No upstream is live.",
                not_run=True,
                retry_after_s=RETRY_AFTER_S,
            )
        run = self._claims.add(claim, clock.wall())
        self._spawn(self._record_start, run)
        return await self._granted(run)

    async def _granted(self, run: ClaimedRun) -> ClaimGranted:
        """Grants a run once its start is durable, or withdraws it."""
        with anyio.move_on_after(COMMIT_WAIT_S):
            await run.started.wait()
        self._check_open()
        if not run.started.is_set():
            self._withdraw(run)
        if run.ended.is_set():
            raise _not_recorded()
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
        """Ends a run that was not given to an upstream."""
        self._claims.end(run.key, run.claim.request_id)
        if not run.claim.idempotent:
            self._spawn(
                self._commit,
                RequestReleased(*run.key, run.claim.request_id),
            )

    def _put_result(self, message: Complete) -> RequestCompleted:
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

    async def _wait(self, event: anyio.Event, claim: Claim) -> None:
        """Waits for an event until the claim's deadline."""
        with anyio.move_on_after(max(0.0, claim.deadline - clock.wall())):
            await event.wait()
            return
        raise DeadlineExceededError(
            f"Request {claim.key!r} still runs; its result stays readable."
        )

    async def _settle_orphan(self, run: ClaimedRun) -> None:
        """Asks an orphan's sidecar until it has a result or never runs."""
        while not run.ended.is_set() and not self._closed:
            settled = await self._control.settle(run)
            if settled.state == "running":
                await anyio.sleep(SETTLE_POLL_S)
                continue
            if run.ended.is_set() or self._closed:
                return
            if settled.state == "forbidden":
                self._withdraw(run)
                return
            outcome = settled.outcome or unknown_outcome()
            await self._store_orphan(run, outcome)

    async def _store_orphan(self, run: ClaimedRun, outcome: Outcome) -> None:
        self._put_result(_completion(run, outcome))
        await self._results.wait_stored(run.key)
        if self._results.is_stored(run.key):
            await self._control.acknowledge(run)


def _not_recorded() -> StoreUnavailableError:
    return StoreUnavailableError(
        "The store does not answer, so the run cannot be recorded.",
        not_run=True,
        retry_after_s=RETRY_AFTER_S,
    )


def _is_free(claim: Claim) -> bool:
    """Returns whether no former claim of the key can be unknown here."""
    return claim.new_key or not claim.idempotent


def _check_digest(key: RequestKey, first: bytes, second: bytes) -> None:
    if first != second:
        raise KeyReusedError(f"Key {key[1]!r} was sent with another body.")


def _completion(run: ClaimedRun, outcome: Outcome) -> Complete:
    claim = run.claim
    return Complete(
        claim.partition,
        claim.team,
        claim.key,
        claim.request_id,
        claim.digest,
        outcome,
    )

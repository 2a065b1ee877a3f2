"""State of the partitions that this entry owns, and the calls on them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from typing import Any, TypeVar

import anyio
import anyio.abc

from plumvane import clock, events
from plumvane.entry.claim_recovery import ClaimRecovery
from plumvane.entry.control import LinkRunControl
from plumvane.errors import (
    NotFoundError,
    NotOwnerError,
    PlumvaneError,
    ProtocolError,
)
from plumvane.fleet.current import CurrentDocument
from plumvane.jobs.job import Job
from plumvane.jobs.scheduler import RangeScheduler
from plumvane.jobs.table import JobTable
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.moving import ResultChunks, ResultMover
from plumvane.partitions.records import LogRecord
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    CancelRequest,
    ChunkRef,
    Claim,
    Complete,
    Done,
    FetchResults,
    JobCall,
    JobList,
    JobStates,
    Lookup,
    Message,
    OfferWork,
    PullWork,
    RangeDone,
    RangeGrant,
    Release,
    RenewClaims,
    Renewed,
    SubmitJob,
    WorkWaiting,
)
from plumvane.peers.server import Call, PeerServer
from plumvane.requests.ledger import OwnerState, RequestLedger
from plumvane.requests.moved_results import ResultChunkCache

__all__ = ["PartitionHost"]

CLAIM_EXPIRY_INTERVAL_S = 1.0
WAKE_INTERVAL_S = 0.25
WAKE_TIMEOUT_S = 2.0

M = TypeVar("M", bound=Message)
OwnerHandler = Callable[[M], Awaitable[Message]]
# Epoch of a partition's first owner, which has no claims to recover.
FIRST_EPOCH = 1
EMPTY_GRANT = RangeGrant(0, "", 0, 0, "", 0.0, 0.0, ())


class PartitionHost:
    """Manages the ledgers and job tables of the partitions owned here."""

    def __init__(
        self,
        current: CurrentDocument,
        links: LinkPool,
        has_valid_lease: Callable[[], bool],
        *,
        store_is_down: Callable[[], bool],
        claim_recovery: ClaimRecovery,
        address: str,
        chunks: ResultChunks,
    ) -> None:
        """Creates a host without partitions.

        Args:
            current: Fleet document in force.
            links: Connections to the sidecars.
            has_valid_lease: Returns whether the owner's lease is currently
                valid, so that replies may be sent.
            store_is_down: Returns whether the store is currently unavailable.
            claim_recovery: Fetches the claims granted by former owners.
            address: Peer address of this entry.
            chunks: Client of the bulk instances.
        """
        self._current = current
        self._links = links
        # New jobs are refused at once while they could not be stored soon.
        self._may_record = lambda: has_valid_lease() and not store_is_down()
        self._claim_recovery = claim_recovery
        self._state = OwnerState(
            has_valid_lease,
            store_is_down,
            lambda: float(current.document.retention_s),
        )
        self._control = LinkRunControl(links)
        self._chunks = chunks
        self._bodies = ResultChunkCache(chunks)
        self._group: anyio.abc.TaskGroup | None = None
        self._ledgers_by_partition: dict[int, RequestLedger] = {}
        self._jobs_by_partition: dict[int, JobTable] = {}
        self._scheduler = RangeScheduler(address)
        self._handlers_by_type: dict[
            type[Message], Callable[..., Awaitable[Message]]
        ] = {
            Claim: self._claim,
            Complete: self._complete,
            Release: self._release,
            RenewClaims: self._renew,
            CancelRequest: self._cancel,
            Lookup: self._lookup,
            SubmitJob: self._submit,
            JobCall: self._call_job,
            FetchResults: self._fetch_results,
            JobList: self._list_jobs,
            OfferWork: self._offer,
            PullWork: self._pull,
            RangeDone: self._report_range,
        }

    def register(self, server: PeerServer) -> None:
        """Registers the message handlers."""
        for message_type in self._handlers_by_type:
            server.handle(message_type, self._serve)

    async def handle(self, message: Message) -> Message:
        """Handles a call on a partition.

        Raises:
            NotOwnerError: The partition is not owned here.
            ProtocolError: Owners do not handle messages of this type.
            PlumvaneError: The call failed.
        """
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            raise ProtocolError(
                f"Owners do not handle {type(message).__name__}."
            )
        return await handler(message)

    def add_partition(
        self, partition: int, records: list[LogRecord], log: PartitionLog
    ) -> None:
        """Rebuilds the state of a newly owned partition from its log."""
        ledger = RequestLedger(
            partition,
            log,
            self._state,
            self._control,
            self._spawn,
            self._bodies,
        )
        log.mover = ResultMover(self._chunks, ledger.apply_move)
        jobs = JobTable(log, partition, log.epoch, may_accept=self._may_record)
        for record in records:
            ledger.apply(record)
            jobs.apply(record)
        jobs.start()
        self._ledgers_by_partition[partition] = ledger
        self._jobs_by_partition[partition] = jobs
        self._spawn(ledger.run)
        if log.epoch == FIRST_EPOCH:
            ledger.finish_recovery()
        else:
            self._spawn(self._claim_recovery.run, partition, ledger)

    def remove_partition(self, partition: int) -> None:
        """Discards the state of a partition that is no longer owned."""
        ledger = self._ledgers_by_partition.pop(partition, None)
        if ledger is not None:
            ledger.close()
        self._jobs_by_partition.pop(partition, None)

    def chunks(self) -> Iterator[ChunkRef]:
        """Yields the chunk references of all partitions owned here."""
        for ledger in list(self._ledgers_by_partition.values()):
            yield from ledger.chunks()
        for jobs in list(self._jobs_by_partition.values()):
            yield from jobs.chunks()

    async def run(self) -> None:
        """Runs the background tasks; must start before partitions are added."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    async def expire_claims(self) -> None:
        """Expires lapsed claims on ranges periodically; never returns."""
        while True:
            await anyio.sleep(CLAIM_EXPIRY_INTERVAL_S)
            for jobs in list(self._jobs_by_partition.values()):
                await jobs.expire()

    async def _serve(self, call: Call, message: Message) -> Message:
        return await self.handle(message)

    def _ledger(self, partition: int) -> RequestLedger:
        ledger = self._ledgers_by_partition.get(partition)
        if ledger is None:
            raise NotOwnerError(f"Partition {partition} is not owned here.")
        return ledger

    def _jobs(self, partition: int) -> JobTable:
        jobs = self._jobs_by_partition.get(partition)
        if jobs is None:
            raise NotOwnerError(f"Partition {partition} is not owned here.")
        return jobs

    async def _claim(self, message: Claim) -> Message:
        return await self._ledger(message.partition).claim(message)

    async def _complete(self, message: Complete) -> Message:
        return await self._ledger(message.partition).complete(message)

    async def _release(self, message: Release) -> Message:
        await self._ledger(message.partition).release(
            message.team, message.key, message.request_id
        )
        return Done()

    async def _renew(self, message: RenewClaims) -> Message:
        known_ids: set[str] = set()
        for ledger in self._ledgers_by_partition.values():
            known_ids |= ledger.renew(message.request_ids)
        return Renewed(
            tuple(i for i in message.request_ids if i not in known_ids)
        )

    async def _lookup(self, message: Lookup) -> Message:
        ledger = self._ledger(message.partition)
        return await ledger.lookup(message.team, message.key)

    async def _cancel(self, message: CancelRequest) -> Message:
        ledger = self._ledger(message.partition)
        return await ledger.cancel(message.team, message.key)

    async def _submit(self, message: SubmitJob) -> Message:
        jobs = self._jobs(message.partition)
        await jobs.submit(message)
        self._scheduler.update_forecasts(self.all_jobs())
        return jobs.show(message.job_id, message.team)

    async def _call_job(self, message: JobCall) -> Message:
        self._state.check_lease()
        jobs = self._jobs(message.partition)
        try:
            if message.cancel:
                return await jobs.cancel(message.job_id, message.team)
            self._scheduler.update_forecasts(self.all_jobs())
            return jobs.show(message.job_id, message.team)
        except NotFoundError:
            self._state.check_denial()
            raise

    async def _fetch_results(self, message: FetchResults) -> Message:
        self._state.check_lease()
        jobs = self._jobs(message.partition)
        try:
            page = jobs.page(message.job_id, message.team, message.from_item)
        except NotFoundError:
            self._state.check_denial()
            raise
        job = jobs.show(message.job_id, message.team)
        if page.last and job.state != "completed":
            self._state.check_denial()
        return page

    async def _list_jobs(self, message: JobList) -> Message:
        self._state.check_lease()
        self._scheduler.update_forecasts(self.all_jobs())
        states = []
        for jobs in self._jobs_by_partition.values():
            states.extend(jobs.jobs_of(message.team))
        return JobStates(tuple(states))

    def all_jobs(self) -> list[Job]:
        """Returns the jobs of all partitions owned here."""
        return [
            job
            for jobs in self._jobs_by_partition.values()
            for job in jobs.jobs()
        ]

    async def wake_sidecars(self) -> None:
        """Notifies sidecars of waiting items periodically; never returns.

        Notifies all idle sidecars, and a few busy ones if items are urgent.
        """
        while True:
            await anyio.sleep(WAKE_INTERVAL_S)
            jobs = self.all_jobs()
            batch_order = self._current.document.policies.batch_order
            chosen = self._scheduler.pop_idle_sidecars(jobs)
            chosen += self._scheduler.sample_busy_sidecars(jobs, batch_order)
            if not chosen:
                continue
            async with anyio.create_task_group() as group:
                for address in chosen:
                    group.start_soon(self._wake, address)

    async def _wake(self, address: str) -> None:
        try:
            await self._links.call(
                address,
                WorkWaiting(),
                deadline=clock.monotonic() + WAKE_TIMEOUT_S,
            )
        except PlumvaneError:
            return

    async def _offer(self, message: OfferWork) -> Message:
        for jobs in list(self._jobs_by_partition.values()):
            await jobs.revoke_stale_claims(
                message.sidecar_address, message.incarnation
            )
        return self._scheduler.offer(
            message,
            self.all_jobs(),
            self._current.document.policies.batch_order,
        )

    async def _pull(self, message: PullWork) -> Message:
        self._state.check_lease()
        document = self._current.document
        grant = self._scheduler.pull(
            message,
            self.all_jobs(),
            document.policies.batch_order,
            {name: team.share for name, team in document.teams.items()},
        )
        return grant or EMPTY_GRANT

    async def _report_range(self, message: RangeDone) -> Message:
        accepted = await self._jobs(message.partition).report(message)
        if not accepted:
            self._state.check_denial()
            raise NotFoundError(
                f"The range is no longer needed by job {message.job_id}."
            )
        return Done()

    def _spawn(
        self, function: Callable[..., Awaitable[Any]], *args: Any
    ) -> None:
        """Starts a background task; its failure is logged."""
        if self._group is None:
            raise RuntimeError("The partition host is not running.")
        self._group.start_soon(_run_and_log_failure, function, *args)


async def _run_and_log_failure(
    function: Callable[..., Awaitable[Any]], *args: Any
) -> None:
    try:
        await function(*args)
    except Exception as error:
        events.log(
            events.Event.TASK_FAILED,
            task=getattr(function, "__qualname__", repr(function)),
            error=repr(error),
        )

"""Partitions that this entry owns, and the calls on them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from typing import TypeVar

import anyio

from plumvane import clock
from plumvane.errors import (
    NotFoundError,
    NotOwnerError,
    PlumvaneError,
    ProtocolError,
)
from plumvane.fleet.current import CurrentDocument
from plumvane.jobs.handout import HandOut
from plumvane.jobs.job import Job
from plumvane.jobs.table import JobTable
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.records import LogRecord
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
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
    PullWork,
    RangeDone,
    RangeGrant,
    Release,
    RenewClaims,
    Settle,
    Settled,
    SubmitJob,
)
from plumvane.peers.server import Call, PeerServer
from plumvane.requests.ledger import RequestLedger

__all__ = ["PartitionHost"]

EXPIRE_S = 1.0
SETTLE_TIMEOUT_S = 2.0

M = TypeVar("M", bound=Message)
OwnerHandler = Callable[[M], Awaitable[Message]]
NO_WORK = RangeGrant(0, "", 0, 0, "", 0.0, 0.0, ())


class PartitionHost:
    """Holds the ledgers and job tables of the partitions owned here."""

    def __init__(
        self,
        current: CurrentDocument,
        links: LinkPool,
        may_promise: Callable[[], bool],
    ) -> None:
        """Creates a host of no partition.

        Args:
            current: Fleet document in force.
            links: Connections to the sidecars.
            may_promise: Whether the owner's lease covers an answer now.
        """
        self._current = current
        self._links = links
        self._may_promise = may_promise
        self._ledgers_by_partition: dict[int, RequestLedger] = {}
        self._jobs_by_partition: dict[int, JobTable] = {}
        self._hand_out = HandOut()
        self._handlers_by_type: dict[
            type[Message], Callable[..., Awaitable[Message]]
        ] = {
            Claim: self._claim,
            Complete: self._complete,
            Release: self._release,
            RenewClaims: self._renew,
            Lookup: self._lookup,
            SubmitJob: self._submit,
            JobCall: self._job,
            FetchResults: self._fetch_results,
            JobList: self._list_jobs,
            PullWork: self._pull,
            RangeDone: self._report,
        }

    def register(self, server: PeerServer) -> None:
        """Registers the handlers."""
        for message_type in self._handlers_by_type:
            server.handle(message_type, self._serve)

    async def handle(self, message: Message) -> Message:
        """Serves a call on a partition.

        Raises:
            NotOwnerError: The partition is not owned here.
            PlumvaneError: The call failed.
        """
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            raise ProtocolError(f"{type(message).__name__} is not served.")
        return await handler(message)

    def take(
        self, partition: int, records: list[LogRecord], log: PartitionLog
    ) -> None:
        """Builds the state of a partition just taken from its records."""
        ledger = RequestLedger(
            log, may_promise=self._may_promise, settle=self._settle
        )
        jobs = JobTable(
            log, partition, log.epoch, may_promise=self._may_promise
        )
        for record in records:
            ledger.apply(record)
            jobs.apply(record)
        jobs.start()
        self._ledgers_by_partition[partition] = ledger
        self._jobs_by_partition[partition] = jobs

    def drop(self, partition: int) -> None:
        """Forgets a partition that is no longer owned."""
        self._ledgers_by_partition.pop(partition, None)
        self._jobs_by_partition.pop(partition, None)

    def chunks(self) -> Iterator[ChunkRef]:
        """Yields the references of all jobs of the partitions owned here."""
        for jobs in list(self._jobs_by_partition.values()):
            yield from jobs.chunks()

    async def expire_claims(self) -> None:
        """Takes lapsed range claims back; runs always."""
        while True:
            await anyio.sleep(EXPIRE_S)
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
        for ledger in self._ledgers_by_partition.values():
            ledger.renew(set(message.request_ids))
        return Done()

    async def _lookup(self, message: Lookup) -> Message:
        return self._ledger(message.partition).lookup(message.team, message.key)

    async def _submit(self, message: SubmitJob) -> Message:
        jobs = self._jobs(message.partition)
        await jobs.submit(message)
        self._hand_out.foresee_all(self._all_jobs())
        return jobs.show(message.job_id, message.team)

    async def _job(self, message: JobCall) -> Message:
        jobs = self._jobs(message.partition)
        if message.cancel:
            return await jobs.cancel(message.job_id, message.team)
        self._hand_out.foresee_all(self._all_jobs())
        return jobs.show(message.job_id, message.team)

    async def _fetch_results(self, message: FetchResults) -> Message:
        return self._jobs(message.partition).page(
            message.job_id, message.team, message.from_item
        )

    async def _list_jobs(self, message: JobList) -> Message:
        self._hand_out.foresee_all(self._all_jobs())
        found = []
        for jobs in self._jobs_by_partition.values():
            found.extend(jobs.jobs_of(message.team))
        return JobStates(tuple(found))

    def _all_jobs(self) -> list[Job]:
        return [
            job
            for jobs in self._jobs_by_partition.values()
            for job in jobs.jobs()
        ]

    async def _pull(self, message: PullWork) -> Message:
        document = self._current.document
        for jobs in list(self._jobs_by_partition.values()):
            await jobs.forget_worker(
                message.sidecar_address, message.incarnation
            )
        grant = self._hand_out.pull(
            message,
            self._all_jobs(),
            document.policies.batch_order,
            {name: team.share for name, team in document.teams.items()},
        )
        return grant or NO_WORK

    async def _report(self, message: RangeDone) -> Message:
        wanted = await self._jobs(message.partition).report(message)
        if not wanted:
            raise NotFoundError(
                f"Job {message.job_id} no longer wants this range."
            )
        return Done()

    async def _settle(
        self, address: str, request_id: str, deadline: float
    ) -> Settled:
        try:
            reply = await self._links.call(
                address,
                Settle(request_id, deadline),
                deadline=clock.monotonic() + SETTLE_TIMEOUT_S,
            )
        except PlumvaneError:
            return Settled("unknown")
        return reply if isinstance(reply, Settled) else Settled("unknown")

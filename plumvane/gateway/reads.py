"""Reads of batch jobs: from memory, the worker that runs it, or the store."""

from __future__ import annotations

import collections
import dataclasses

from plumvane import clock, events
from plumvane.batch.jobstore import JobStore
from plumvane.discovery.loads import WORKER_ROLE
from plumvane.discovery.relayed import RelayedStore
from plumvane.errors import (
    HistoryLostError,
    NotFoundError,
    PlumvaneError,
)
from plumvane.peers.messages import Message
from plumvane.peers.messages.reads import (
    ItemBody,
    JobResults,
    NotRunHere,
    ReadBody,
    ReadResults,
)
from plumvane.serving.assignment import chosen_worker
from plumvane.serving.jobs import ItemResult, Job, decode_result

__all__ = ["CachedJob", "JobReader"]

# Jobs whose results are kept in memory, those read last; a job has about
# 100 KB of results.
CACHED_JOBS = 16
# Time for a worker's reply beyond what it waits itself, in seconds: it answers
# from memory; clocks of instances differ by some tenths.
REPLY_S = 0.4
# Time for which a worker that did not reply is not asked, in seconds; its jobs
# go to others about three seconds after it is lost.
SILENT_S = 2.0
# Workers that one read asks: the one that was chosen, and the one it names.
WORKERS_ASKED = 2


@dataclasses.dataclass(slots=True)
class CachedJob:
    """What this instance has read of a job.

    Attributes:
        total: Number of its items.
        results_by_position: Results; their positions never change.
        revision: Revision up to which results are known; None if the store
            was not asked yet.
        has_ended: Whether nothing will be listed beyond what is known.
    """

    total: int
    results_by_position: dict[int, ItemResult]
    revision: int | None = None
    has_ended: bool = False

    def is_complete(self) -> bool:
        """Returns whether all results that there will be are known."""
        return self.has_ended or len(self.results_by_position) >= self.total


class JobReader:
    """Reads jobs; the worker that runs a job spares most calls of the store.

    Only what is certain is told: a worker says that nothing more is listed
    only while it owns the job, and otherwise the store is asked.
    """

    def __init__(self, jobs: JobStore, peers: RelayedStore | None) -> None:
        """Creates the reader.

        Args:
            jobs: The jobs in the store.
            peers: Finds and calls workers; None asks the store alone.
        """
        self._jobs = jobs
        self._peers = peers
        self._known_by_id: collections.OrderedDict[str, CachedJob] = (
            collections.OrderedDict()
        )
        self._owner_by_job: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._silent_until_by_name: dict[str, float] = {}

    async def results(
        self, job_id: str, position: int, deadline: float
    ) -> CachedJob:
        """Returns a job once it has a result at a position, or in time.

        Args:
            job_id: The job.
            position: Position that is wanted.
            deadline: Monotonic time in seconds up to which it may wait.

        Raises:
            NotFoundError: No such job exists.
            StoreUnavailableError: It is not certain what is listed.
        """
        known = self._known_by_id.get(job_id)
        if known is not None:
            self._known_by_id.move_to_end(job_id)
            if position in known.results_by_position or known.is_complete():
                return known
        message = ReadResults(job_id, position, _wall(deadline))
        reply = await self._ask(job_id, message, deadline)
        if isinstance(reply, JobResults):
            found = {
                position + number: decode_result(value)
                for number, value in enumerate(reply.results)
            }
            return self._keep(job_id, reply.total, found)
        return await self._read_store(job_id, position, deadline)

    async def body(self, job_id: str, item_id: str) -> bytes:
        """Returns the body of an item.

        Raises:
            NotFoundError: No such item exists.
            StoreUnavailableError: No answer of the store.
        """
        message = ReadBody(job_id, item_id)
        reply = await self._ask(job_id, message, clock.monotonic())
        if isinstance(reply, ItemBody):
            return reply.body
        job, _ = await self._jobs.head(job_id)
        if item_id not in job.item_ids:
            raise NotFoundError(f"Job {job_id} has no item {item_id}.")
        chunk = job.chunk_by_item[job.item_ids.index(item_id)]
        items = await self._jobs.items(job, chunk)
        return next(item.body for item in items if item.item_id == item_id)

    # Workers

    async def _ask(
        self, job_id: str, message: Message, deadline: float
    ) -> Message | None:
        """Asks the worker that runs a job; None if none says it does."""
        name = self._first_worker(job_id)
        for _ in range(WORKERS_ASKED):
            reply = await self._call(name, message, deadline)
            if not isinstance(reply, NotRunHere):
                if reply is not None:
                    self._remember_owner(job_id, name)
                return reply
            self._owner_by_job.pop(job_id, None)
            if reply.owner in ("", name):
                return None
            name = reply.owner
        return None

    def _first_worker(self, job_id: str) -> str:
        known = self._owner_by_job.get(job_id)
        if known is not None or self._peers is None:
            return known or ""
        now = clock.monotonic()
        workers = [
            name
            for name, entry in self._peers.peers_by_name.items()
            if entry.role == WORKER_ROLE
            and self._silent_until_by_name.get(name, 0.0) <= now
        ]
        return chosen_worker(job_id, workers) or ""

    async def _call(
        self, name: str, message: Message, deadline: float
    ) -> Message | None:
        """Calls a worker; None if it is unknown or does not reply."""
        if self._peers is None:
            return None
        entry = self._peers.peers_by_name.get(name)
        now = clock.monotonic()
        if entry is None or self._silent_until_by_name.get(name, 0.0) > now:
            return None
        try:
            return await self._peers.links.call(
                entry.address, message, deadline=max(deadline, now) + REPLY_S
            )
        except PlumvaneError as error:
            self._silent_until_by_name[name] = clock.monotonic() + SILENT_S
            events.log(
                events.Event.WORKER_SILENT, worker=name, error=error.detail
            )
            return None

    def _remember_owner(self, job_id: str, name: str) -> None:
        self._owner_by_job[job_id] = name
        self._owner_by_job.move_to_end(job_id)
        while len(self._owner_by_job) > CACHED_JOBS:
            self._owner_by_job.popitem(last=False)

    # The store

    async def _read_store(
        self, job_id: str, position: int, deadline: float
    ) -> CachedJob:
        known = self._known_by_id.get(job_id)
        if known is None or known.revision is None:
            known = await self._load(job_id)
        while position not in known.results_by_position:
            if known.is_complete() or known.revision is None:
                break
            try:
                found, revision = await self._jobs.later_results(
                    job_id, known.revision, deadline=deadline
                )
            except HistoryLostError:
                known = await self._load(job_id, needs_results=True)
                continue
            known.results_by_position.update(found)
            known.revision = max(known.revision or 0, revision)
            if clock.monotonic() >= deadline:
                break
        return known

    async def _load(
        self, job_id: str, *, needs_results: bool = False
    ) -> CachedJob:
        """Reads a job; without results its revision may be an old one."""
        # The head comes first: a job that has ended gets no further results.
        job, revision = await self._jobs.head(job_id)
        results: dict[int, ItemResult] = {}
        if job.listed_ids or needs_results:
            results, revision = await self._jobs.results(job_id)
        known = self._take(job, results, revision)
        known.has_ended = job.is_ended
        return known

    def _take(
        self, job: Job, results: dict[int, ItemResult], revision: int
    ) -> CachedJob:
        known = self._keep(job.job_id, len(job.item_ids), results)
        known.revision = max(known.revision or 0, revision)
        return known

    def _keep(
        self, job_id: str, total: int, results: dict[int, ItemResult]
    ) -> CachedJob:
        known = self._known_by_id.get(job_id)
        if known is None:
            known = CachedJob(total, {})
            self._known_by_id[job_id] = known
        known.results_by_position.update(results)
        self._known_by_id.move_to_end(job_id)
        while len(self._known_by_id) > CACHED_JOBS:
            self._known_by_id.popitem(last=False)
        return known


def _wall(deadline: float) -> float:
    return clock.wall() + max(0.0, clock.remaining(deadline))

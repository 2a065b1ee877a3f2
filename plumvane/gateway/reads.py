"""Reads batch jobs from a cache, from the job's worker or from the store."""

from __future__ import annotations

import collections
import dataclasses

from plumvane import clock, events
from plumvane.batch.jobstore import JobStore, check_team
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

# Size of the LRU cache of jobs; the results of a job take about 100 KB.
MAX_CACHED_JOBS = 16
# Time for a worker's reply beyond the wait that the read allows, in seconds.
# Workers reply from memory; clocks of instances differ by some tenths.
REPLY_MARGIN_S = 0.4
# Time for which a worker is not called after it failed to reply, in seconds;
# its jobs go to other workers about 3 s after it is lost.
WORKER_BACKOFF_S = 2.0
# Workers that one read calls: the expected owner, and the owner that it names.
MAX_WORKERS_CALLED = 2


@dataclasses.dataclass(slots=True)
class CachedJob:
    """The results of a job that this instance has read.

    Attributes:
        total: Number of items of the job.
        results_by_position: Results; their positions never change.
        team: Team of the job; empty if it has none.
        revision: Store revision up to which all results are cached; None if
            the store has not been read yet.
        has_ended: Whether no further results will be listed.
    """

    total: int
    results_by_position: dict[int, ItemResult]
    team: str = ""
    revision: int | None = None
    has_ended: bool = False

    def is_complete(self) -> bool:
        """Returns whether all results that the job will get are cached."""
        return self.has_ended or len(self.results_by_position) >= self.total


class JobReader:
    """Reads jobs; asking the worker that runs a job saves most store calls.

    Reads are consistent: a worker reports that no further result is listed
    only while it owns the job; otherwise the store is read.
    """

    def __init__(self, jobs: JobStore, peers: RelayedStore | None) -> None:
        """Creates the reader.

        Args:
            jobs: Access to the jobs in the store.
            peers: Finds and calls workers; if None, only the store is read.
        """
        self._jobs = jobs
        self._peers = peers
        self._cached_by_id: collections.OrderedDict[str, CachedJob] = (
            collections.OrderedDict()
        )
        self._owner_by_job: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._backoff_until_by_name: dict[str, float] = {}

    async def results(
        self,
        job_id: str,
        position: int,
        deadline: float,
        team: str | None = None,
    ) -> CachedJob:
        """Waits until a job has a result at a position, or for the deadline.

        Args:
            job_id: Identifier of the job.
            position: First position that the caller has not read.
            deadline: Monotonic time in seconds until which it may wait.
            team: Team of the caller; None if callers need no keys.

        Returns:
            The job with the results known by then.

        Raises:
            NotFoundError: No such job exists, or not for this team.
            StoreUnavailableError: The store does not respond, so the listed
                results are not known for certain.
        """
        cached = await self._find_results(job_id, position, deadline)
        check_team(job_id, cached.team, team)
        return cached

    async def _find_results(
        self, job_id: str, position: int, deadline: float
    ) -> CachedJob:
        cached = self._cached_by_id.get(job_id)
        if cached is not None:
            self._cached_by_id.move_to_end(job_id)
            if position in cached.results_by_position or cached.is_complete():
                _log_read(job_id, position, cached, "cache")
                return cached
        message = ReadResults(job_id, position, _to_wall_time(deadline))
        reply = await self._call_owner(job_id, message, deadline)
        if isinstance(reply, JobResults):
            results_by_position = {
                position + offset: decode_result(value)
                for offset, value in enumerate(reply.results)
            }
            cached = self._cache_results(
                job_id, reply.total, results_by_position, reply.team
            )
            _log_read(
                job_id, position, cached, self._owner_by_job.get(job_id, "")
            )
            return cached
        cached = await self._read_store(job_id, position, deadline)
        _log_read(job_id, position, cached, "store")
        return cached

    async def body(
        self, job_id: str, item_id: str, team: str | None = None
    ) -> bytes:
        """Returns the body of an item.

        Args:
            job_id: Identifier of the job.
            item_id: Identifier of the item.
            team: Team of the caller; None if callers need no keys.

        Raises:
            NotFoundError: No such item exists, or not for this team.
            StoreUnavailableError: The store does not respond.
        """
        message = ReadBody(job_id, item_id)
        reply = await self._call_owner(job_id, message, clock.monotonic())
        if isinstance(reply, ItemBody):
            check_team(job_id, reply.team, team)
            return reply.body
        job, _ = await self._jobs.head(job_id)
        check_team(job_id, job.team, team)
        if item_id not in job.item_ids:
            raise NotFoundError(f"Job {job_id} has no item {item_id}.")
        chunk = job.chunk_by_item[job.item_ids.index(item_id)]
        items = await self._jobs.items(job, chunk)
        return next(item.body for item in items if item.item_id == item_id)

    # Workers

    async def _call_owner(
        self, job_id: str, message: Message, deadline: float
    ) -> Message | None:
        """Calls the worker that owns a job.

        Returns:
            Its reply, or None if no owner was found or it did not reply.
        """
        name = self._expected_owner(job_id)
        for _ in range(MAX_WORKERS_CALLED):
            reply = await self._call_worker(name, message, deadline)
            if not isinstance(reply, NotRunHere):
                if reply is not None:
                    self._cache_owner(job_id, name)
                return reply
            self._owner_by_job.pop(job_id, None)
            if reply.owner in ("", name):
                return None
            name = reply.owner
        return None

    def _expected_owner(self, job_id: str) -> str:
        """Returns the last known owner, or else the worker chosen by hash."""
        owner = self._owner_by_job.get(job_id)
        if owner is not None or self._peers is None:
            return owner or ""
        now = clock.monotonic()
        workers = [
            name
            for name, entry in self._peers.peers_by_name.items()
            if entry.role == WORKER_ROLE
            and self._backoff_until_by_name.get(name, 0.0) <= now
        ]
        return chosen_worker(job_id, workers) or ""

    async def _call_worker(
        self, name: str, message: Message, deadline: float
    ) -> Message | None:
        """Calls a worker; returns None if it is unknown or does not reply."""
        if self._peers is None:
            return None
        entry = self._peers.peers_by_name.get(name)
        now = clock.monotonic()
        if entry is None or self._backoff_until_by_name.get(name, 0.0) > now:
            return None
        try:
            return await self._peers.links.call(
                entry.address,
                message,
                deadline=max(deadline, now) + REPLY_MARGIN_S,
            )
        except PlumvaneError as error:
            self._backoff_until_by_name[name] = (
                clock.monotonic() + WORKER_BACKOFF_S
            )
            events.log(
                events.Event.WORKER_SILENT, worker=name, error=error.detail
            )
            return None

    def _cache_owner(self, job_id: str, name: str) -> None:
        self._owner_by_job[job_id] = name
        self._owner_by_job.move_to_end(job_id)
        while len(self._owner_by_job) > MAX_CACHED_JOBS:
            self._owner_by_job.popitem(last=False)

    # The store

    async def _read_store(
        self, job_id: str, position: int, deadline: float
    ) -> CachedJob:
        cached = self._cached_by_id.get(job_id)
        if cached is None or cached.revision is None:
            cached = await self._load_job(job_id)
        while position not in cached.results_by_position:
            if cached.is_complete() or cached.revision is None:
                break
            try:
                results, revision = await self._jobs.watch_results(
                    job_id, cached.revision, deadline=deadline
                )
            except HistoryLostError:
                cached = await self._load_job(job_id, needs_results=True)
                continue
            cached.results_by_position.update(results)
            cached.revision = max(cached.revision or 0, revision)
            if clock.monotonic() >= deadline:
                break
        return cached

    async def _load_job(
        self, job_id: str, *, needs_results: bool = False
    ) -> CachedJob:
        """Reads a job from the store into the cache.

        Args:
            job_id: Identifier of the job.
            needs_results: Whether to list the results even if the head names
                none. Otherwise the revision may be that of the head, which
                may be old.
        """
        # The head is read first: a job that has ended gets no further results,
        # so those read after it are all.
        job, revision = await self._jobs.head(job_id)
        results: dict[int, ItemResult] = {}
        if job.listed_ids or needs_results:
            results, revision = await self._jobs.results(job_id)
        cached = self._cache_job(job, results, revision)
        cached.has_ended = job.is_ended
        return cached

    def _cache_job(
        self, job: Job, results: dict[int, ItemResult], revision: int
    ) -> CachedJob:
        cached = self._cache_results(
            job.job_id, len(job.item_ids), results, job.team
        )
        cached.revision = max(cached.revision or 0, revision)
        return cached

    def _cache_results(
        self,
        job_id: str,
        total: int,
        results: dict[int, ItemResult],
        team: str,
    ) -> CachedJob:
        cached = self._cached_by_id.get(job_id)
        if cached is None:
            cached = CachedJob(total, {}, team)
            self._cached_by_id[job_id] = cached
        cached.results_by_position.update(results)
        self._cached_by_id.move_to_end(job_id)
        while len(self._cached_by_id) > MAX_CACHED_JOBS:
            self._cached_by_id.popitem(last=False)
        return cached


def _to_wall_time(deadline: float) -> float:
    return clock.wall() + max(0.0, clock.remaining(deadline))


def _log_read(
    job_id: str, position: int, cached: CachedJob, source: str
) -> None:
    """Logs a read that found a result.

    Args:
        job_id: Identifier of the job.
        position: First position that the caller has not read.
        cached: The job with the results that are returned.
        source: Name of the worker that replied, `cache` or `store`.
    """
    result = cached.results_by_position.get(position)
    if result is not None:
        events.log(
            events.Event.JOB_READ,
            job=job_id,
            position=position,
            digest=result.digest(),
            source=source,
        )

"""Batch jobs, their items and results in the platform's store."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from plumvane import clock
from plumvane.errors import ConflictError, NotFoundError
from plumvane.serving.jobs import (
    Item,
    ItemProgress,
    ItemResult,
    Job,
    decode_items,
    decode_progress,
    decode_result,
    encode_items,
    encode_progress,
    encode_result,
    pack_items,
)
from plumvane.serving.routes import Route
from plumvane.store.base import ABSENT, TransactionalStore, Write

__all__ = [
    "JOB_PREFIX",
    "LIVE_PREFIX",
    "WORKER_PREFIX",
    "Commit",
    "JobStore",
    "results_prefix",
]

# Heads of jobs and entries of workers, which workers follow together.
LIVE_PREFIX = "plumvane/live/"
JOB_PREFIX = LIVE_PREFIX + "jobs/"
WORKER_PREFIX = LIVE_PREFIX + "workers/"
_ITEM_PREFIX = "plumvane/items/"
_RESULT_PREFIX = "plumvane/results/"
_PROGRESS_PREFIX = "plumvane/progress/"


def results_prefix(job_id: str) -> str:
    """Returns the prefix of the keys with a job's results."""
    return f"{_RESULT_PREFIX}{job_id}/"


def _result_key(job_id: str, position: int) -> str:
    return f"{results_prefix(job_id)}{position:06}"


def _items_key(job_id: str, chunk: int) -> str:
    return f"{_ITEM_PREFIX}{job_id}/{chunk:04}"


@dataclasses.dataclass(slots=True)
class Commit:
    """A new state of a job with results that it lists.

    Attributes:
        job: The job as it is to be.
        revision: Revision of the head that it is based on.
        results_by_position: New results.
        progress: Progress of items that is left for the next owner.
    """

    job: Job
    revision: int
    results_by_position: dict[int, ItemResult]
    progress: list[ItemProgress] = dataclasses.field(default_factory=list)

    @property
    def entries(self) -> int:
        """Entries that it takes in a transaction."""
        return 2 + len(self.results_by_position) + bool(self.progress)

    def text_size(self) -> int:
        """Returns the bytes of all texts, which are in ASCII."""
        texts = [r.text for r in self.results_by_position.values()]
        for item in self.progress:
            texts += item.texts
        return sum(len(text) for text in texts)


class JobStore:
    """Reads and changes batch jobs; each change is one transaction."""

    def __init__(self, store: TransactionalStore) -> None:
        """Creates the access.

        Args:
            store: The platform's store.
        """
        self._store = store

    async def accept(
        self, job_id: str, host: str, items: tuple[Item, ...], route: Route
    ) -> None:
        """Keeps a new job.

        Raises:
            ConflictError: A job of this id is there already.
            StoreUnavailableError: No answer; unless `not_run`, the job may
                be there.
        """
        runs = pack_items(items)
        now_ms = int(clock.wall() * 1000)
        job = Job(
            job_id=job_id,
            host=host,
            item_ids=[item.item_id for item in items],
            chunk_by_item=[n for n, run in enumerate(runs) for _ in run],
            submitted_ms=now_ms,
            due_ms=now_ms + int(route.completion_target_s * 1000),
            retention_ms=now_ms + int(route.retention_s * 1000),
            max_attempts=route.max_attempts,
        )
        head = JOB_PREFIX + job_id
        writes = [Write(head, job.encode())]
        for number, run in enumerate(runs):
            writes.append(Write(_items_key(job_id, number), encode_items(run)))
        await self._store.transact(writes, expected_by_key={head: ABSENT})

    async def head(self, job_id: str) -> tuple[Job, int]:
        """Returns a job and the revision of its head.

        Raises:
            NotFoundError: No such job exists.
            StoreUnavailableError: No answer.
        """
        record = await self._store.get(JOB_PREFIX + job_id)
        if record is None:
            raise NotFoundError(f"No batch job {job_id} exists.")
        return Job.decode(record.value), record.revision

    async def items(self, job: Job, chunk: int) -> list[Item]:
        """Returns the items in one of a job's values.

        Raises:
            NotFoundError: The value does not exist.
            StoreUnavailableError: No answer.
        """
        record = await self._store.get(_items_key(job.job_id, chunk))
        if record is None:
            raise NotFoundError(f"Items of job {job.job_id} are missing.")
        return decode_items(record.value)

    async def progress(self, job: Job) -> list[ItemProgress]:
        """Returns the progress that a job's last owner left.

        Raises:
            StoreUnavailableError: No answer.
        """
        if not job.has_progress:
            return []
        record = await self._store.get(_PROGRESS_PREFIX + job.job_id)
        return [] if record is None else decode_progress(record.value)

    async def results(self, job_id: str) -> tuple[dict[int, ItemResult], int]:
        """Returns a job's results by position, and the store's revision."""
        found = await self._store.list(results_prefix(job_id))
        return (
            {_position(r.key): decode_result(r.value) for r in found.records},
            found.revision,
        )

    async def watch_results(
        self, job_id: str, revision: int, *, deadline: float
    ) -> tuple[dict[int, ItemResult], int]:
        """Waits for results after a revision.

        Returns:
            The new results by position, and the revision to go on from.

        Raises:
            HistoryLostError: The results must be read anew.
            StoreUnavailableError: No answer.
        """
        found = await self._store.watch(
            results_prefix(job_id), revision, deadline=deadline
        )
        results = {
            _position(r.key): decode_result(r.value)
            for r in found.records
            if not r.deleted
        }
        return results, found.revision

    async def commit(self, commits: Sequence[Commit]) -> int:
        """Writes new states of jobs and their results, all or none.

        Returns:
            The new revision of the heads.

        Raises:
            ConflictError: A head stands at another revision.
            StoreUnavailableError: No answer.
        """
        writes: list[Write] = []
        expected_by_key: dict[str, int] = {}
        for commit in commits:
            head = JOB_PREFIX + commit.job.job_id
            expected_by_key[head] = commit.revision
            writes.append(Write(head, commit.job.encode()))
            for position, result in commit.results_by_position.items():
                key = _result_key(commit.job.job_id, position)
                writes.append(Write(key, encode_result(result)))
            if commit.progress:
                key = _PROGRESS_PREFIX + commit.job.job_id
                writes.append(Write(key, encode_progress(commit.progress)))
        return await self._store.transact(
            writes, expected_by_key=expected_by_key
        )

    async def end(self, job_id: str) -> bool:
        """Marks a job as ended.

        Returns:
            Whether it was open before.

        Raises:
            NotFoundError: No such job exists.
            StoreUnavailableError: No answer; it may be ended.
        """
        while True:
            job, revision = await self.head(job_id)
            if job.is_ended:
                return False
            was_open = job.is_open()
            job.is_ended = True
            try:
                await self.commit([Commit(job, revision, {})])
                return was_open
            except ConflictError:
                continue


def _position(key: str) -> int:
    return int(key.rpartition("/")[2])

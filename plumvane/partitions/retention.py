"""Rules that decide which records of a partition's log must be kept."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from plumvane.partitions.records import (
    ItemsDone,
    ItemsFailed,
    JobAccepted,
    JobCancelled,
    JobEnded,
    LogRecord,
    RequestCompleted,
    RequestReleased,
    RequestStarted,
    ResultsMoved,
)

__all__ = ["LiveRecords", "is_start_record", "subject_of", "without_orphans"]

# Identifies the object that a record describes: a request key, a chunk of moved
# results or a job.
Subject = tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _OpenJob:
    """A job without a `JobEnded` record.

    Attributes:
        open_items: One byte per item: 1 until the item has a result or has
            failed, then 0.
        remaining: Number of open items.
    """

    open_items: bytearray
    remaining: int

    def close_items(self, indexes: Iterable[int]) -> None:
        """Marks items that have a result or have failed as closed."""
        for index in indexes:
            if self.open_items[index]:
                self.open_items[index] = 0
                self.remaining -= 1


class LiveRecords:
    """Tracks which records are needed, based on committed records only.

    Records whose commit is still in flight may be lost and are not counted.
    """

    def __init__(self, retention_s: Callable[[], float]) -> None:
        """Creates the state of an empty log.

        Args:
            retention_s: Returns the retention period of results, in seconds.
        """
        self._retention_s = retention_s
        self._open_runs_by_key: dict[Subject, str] = {}
        self._open_jobs_by_id: dict[str, _OpenJob] = {}
        self._end_times_by_job: dict[str, float] = {}

    def apply(self, record: LogRecord) -> None:
        """Applies a committed record; called in log order."""
        if isinstance(record, RequestStarted):
            self._open_runs_by_key[subject_of(record)] = record.request_id
        elif isinstance(record, RequestReleased | RequestCompleted):
            self._open_runs_by_key.pop(subject_of(record), None)
        elif isinstance(record, JobAccepted):
            items = sum(chunk.items for chunk in record.chunks)
            job = _OpenJob(bytearray(b"\x01") * items, items)
            self._open_jobs_by_id.setdefault(record.job_id, job)
        elif isinstance(record, JobEnded):
            self._open_jobs_by_id.pop(record.job_id, None)
            self._end_times_by_job[record.job_id] = record.time
        elif not isinstance(record, ResultsMoved):
            self._apply_progress(record)

    def is_live(self, record: LogRecord, now: float) -> bool:
        """Returns whether a record is needed by itself.

        Compaction also keeps a record that ends a run or job while the record
        that started it is stored.

        Args:
            record: A committed record.
            now: Seconds since the Unix epoch.
        """
        if isinstance(record, RequestStarted):
            open_request_id = self._open_runs_by_key.get(subject_of(record))
            return open_request_id == record.request_id
        if isinstance(record, RequestReleased):
            return False
        if isinstance(record, RequestCompleted | ResultsMoved):
            return now < record.time + self._retention_s()
        if record.job_id in self._open_jobs_by_id:
            return True
        ended = self._end_times_by_job.get(record.job_id)
        return ended is not None and now < ended + self._retention_s()

    def jobs_without_end_record(self) -> list[str]:
        """Returns the ids of ended jobs that lack a `JobEnded` record."""
        return [
            job_id
            for job_id, job in self._open_jobs_by_id.items()
            if job.remaining == 0
        ]

    def remove_expired(self, now: float) -> None:
        """Removes ended jobs whose retention period has passed."""
        for job_id, ended in list(self._end_times_by_job.items()):
            if now >= ended + self._retention_s():
                del self._end_times_by_job[job_id]

    def _apply_progress(
        self, record: ItemsDone | ItemsFailed | JobCancelled
    ) -> None:
        job = self._open_jobs_by_id.get(record.job_id)
        if job is None:
            return
        if isinstance(record, ItemsDone):
            job.close_items(record.results.covered())
        elif isinstance(record, ItemsFailed):
            job.close_items(item.index for item in record.items)
        else:
            job.remaining = 0


def subject_of(record: LogRecord) -> Subject:
    """Returns the identity of the object that a record describes."""
    if isinstance(record, RequestStarted | RequestReleased | RequestCompleted):
        return ("request", record.team, record.key)
    if isinstance(record, ResultsMoved):
        return ("moved", record.chunk.digest)
    return ("job", record.job_id)


def is_start_record(record: LogRecord) -> bool:
    """Returns whether the record starts a run or a job.

    Later records may end that run or job.
    """
    return isinstance(record, RequestStarted | JobAccepted)


def without_orphans(records: Iterable[LogRecord]) -> list[LogRecord]:
    """Filters out records of jobs whose `JobAccepted` record was removed."""
    accepted: set[str] = set()
    kept: list[LogRecord] = []
    for record in records:
        if isinstance(record, JobAccepted):
            accepted.add(record.job_id)
        elif subject_of(record)[0] == "job" and (
            subject_of(record)[1] not in accepted
        ):
            continue
        kept.append(record)
    return kept

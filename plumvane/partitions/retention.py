"""Which records of a partition's log are still needed."""

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

__all__ = ["LiveRecords", "is_opening", "subject_of", "without_orphans"]

# Identifies what a record is about: a request's key or a job.
Subject = tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _OpenJob:
    """A job whose end is not recorded.

    Attributes:
        open_items: One for each item that has neither result nor failure.
        remaining: How many of them there are.
    """

    open_items: bytearray
    remaining: int

    def settle(self, indexes: Iterable[int]) -> None:
        """Takes in that items have a result or are given up."""
        for index in indexes:
            if self.open_items[index]:
                self.open_items[index] = 0
                self.remaining -= 1


class LiveRecords:
    """Judges records by what has been committed, never by what may be lost."""

    def __init__(self, retention_s: Callable[[], float]) -> None:
        """Creates the judgement of an empty log.

        Args:
            retention_s: Returns how long results stay readable, in seconds.
        """
        self._retention_s = retention_s
        self._open_runs_by_key: dict[Subject, str] = {}
        self._open_jobs_by_id: dict[str, _OpenJob] = {}
        self._ended_by_job: dict[str, float] = {}

    def apply(self, record: LogRecord) -> None:
        """Takes a committed record in, in the order of the log."""
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
            self._ended_by_job[record.job_id] = record.time
        elif not isinstance(record, ResultsMoved):
            self._apply_progress(record)

    def is_live(self, record: LogRecord, now: float) -> bool:
        """Returns whether a record must be kept for its own sake.

        Args:
            record: A committed record.
            now: Seconds since the Unix epoch.
        """
        if isinstance(record, RequestStarted):
            run = self._open_runs_by_key.get(subject_of(record))
            return run == record.request_id
        if isinstance(record, RequestReleased):
            return False
        if isinstance(record, RequestCompleted | ResultsMoved):
            return now < record.time + self._retention_s()
        if record.job_id in self._open_jobs_by_id:
            return True
        ended = self._ended_by_job.get(record.job_id)
        return ended is not None and now < ended + self._retention_s()

    def jobs_to_end(self) -> list[str]:
        """Returns the jobs that have ended without a record of it."""
        return [
            job_id
            for job_id, job in self._open_jobs_by_id.items()
            if job.remaining == 0
        ]

    def forget_expired(self, now: float) -> None:
        """Forgets ended jobs past their retention."""
        for job_id, ended in list(self._ended_by_job.items()):
            if now >= ended + self._retention_s():
                del self._ended_by_job[job_id]

    def _apply_progress(
        self, record: ItemsDone | ItemsFailed | JobCancelled
    ) -> None:
        job = self._open_jobs_by_id.get(record.job_id)
        if job is None:
            return
        if isinstance(record, ItemsDone):
            job.settle(record.results.covered())
        elif isinstance(record, ItemsFailed):
            job.settle(item.index for item in record.items)
        else:
            job.remaining = 0


def subject_of(record: LogRecord) -> Subject:
    """Returns what a record is about."""
    if isinstance(record, RequestStarted | RequestReleased | RequestCompleted):
        return ("request", record.team, record.key)
    if isinstance(record, ResultsMoved):
        return ("moved", record.chunk.digest)
    return ("job", record.job_id)


def is_opening(record: LogRecord) -> bool:
    """Returns whether other records may end what this record began."""
    return isinstance(record, RequestStarted | JobAccepted)


def without_orphans(records: Iterable[LogRecord]) -> list[LogRecord]:
    """Drops the records of jobs whose acceptance was dropped before."""
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

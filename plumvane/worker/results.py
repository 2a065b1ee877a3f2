"""In-memory results of a worker's jobs, served to gateways."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable

import anyio

from plumvane import clock
from plumvane.peers.messages import Message
from plumvane.peers.messages.reads import (
    ItemBody,
    JobResults,
    NotRunHere,
    ReadBody,
    ReadResults,
)
from plumvane.peers.server import Call, PeerServer
from plumvane.serving.jobs import ItemResult, Job, encode_result, results_page
from plumvane.worker.owned import OwnedJob

__all__ = ["ResultCache"]

# Most jobs that this worker no longer owns whose results stay in memory, those
# claimed last; the results of a job take about 100 KB.
MAX_RELEASED_JOBS = 32


@dataclasses.dataclass(slots=True)
class _Entry:
    """The listed results of a job.

    Attributes:
        job: The job's head.
        results_by_position: All listed results.
        changed: Set and replaced at the next change.
    """

    job: Job
    results_by_position: dict[int, ItemResult]
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def is_final(self) -> bool:
        """Returns whether all items have a result, so that none can follow."""
        return len(self.results_by_position) == len(self.job.item_ids)

    def notify_changed(self) -> None:
        """Wakes the tasks that wait for a change."""
        self.changed.set()
        self.changed = anyio.Event()


class ResultCache:
    """Answers reads of jobs from memory where the answer cannot be stale.

    Results come from acknowledged commits or from the store, never from an
    outcome whose commit is unresolved: another worker may have listed another
    run of the item. A listed result never changes its position, so it may be
    served at any time. That a position has no result may be served only while
    no other worker can have listed one there.
    """

    def __init__(
        self,
        owned_by_id: dict[str, OwnedJob],
        is_current: Callable[[], bool],
        owner_name: Callable[[str], str],
    ) -> None:
        """Creates an empty cache.

        Args:
            owned_by_id: Jobs that this worker owns.
            is_current: Returns whether this worker's view of the job heads is
                recent enough to rule out another owner.
            owner_name: Returns the name of the worker that owns a job, or an
                empty string if it is unknown here.
        """
        self._owned_by_id = owned_by_id
        self._is_current = is_current
        self._owner_name = owner_name
        self._entries_by_id: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def serve(self, server: PeerServer) -> None:
        """Registers the handlers of calls from gateways."""
        server.handle(ReadResults, self._read_results)
        server.handle(ReadBody, self._read_body)

    def put(self, job: Job, results_by_position: dict[int, ItemResult]) -> None:
        """Adds a job with the results that the store lists."""
        known = self._entries_by_id.pop(job.job_id, None)
        results = dict(results_by_position)
        if known is not None:
            results = known.results_by_position | results
            known.notify_changed()
        self._entries_by_id[job.job_id] = _Entry(job, results)
        self._evict_released()

    def apply_commit(
        self, job: Job, results_by_position: dict[int, ItemResult]
    ) -> None:
        """Adds committed results."""
        entry = self._entries_by_id.get(job.job_id)
        if entry is None:
            return
        entry.job = job
        entry.results_by_position.update(results_by_position)
        entry.notify_changed()

    def has_all_listed(self, job: Job) -> bool:
        """Returns whether all results that a head lists are known here.

        Positions have no gaps, and a known result is a listed one, so their
        numbers tell.
        """
        entry = self._entries_by_id.get(job.job_id)
        known = len(entry.results_by_position) if entry is not None else 0
        return known >= len(job.listed_ids)

    async def _read_results(self, call: Call, message: ReadResults) -> Message:
        deadline = clock.monotonic() + message.deadline - clock.wall()
        while True:
            entry = self._entries_by_id.get(message.job_id)
            if entry is None:
                return NotRunHere(self._owner_name(message.job_id))
            has_result = message.position in entry.results_by_position
            if has_result or clock.remaining(deadline) <= 0:
                break
            if not self._may_change(entry):
                break
            with anyio.move_on_after(clock.remaining(deadline)):
                await entry.changed.wait()
        if has_result or self._is_up_to_date(entry):
            return _page(entry, message.position)
        return NotRunHere(self._owner_name(message.job_id))

    def _may_change(self, entry: _Entry) -> bool:
        return entry.job.job_id in self._owned_by_id and not entry.is_final()

    def _is_up_to_date(self, entry: _Entry) -> bool:
        """Returns whether the entry is certain to have all listed results."""
        if entry.is_final():
            return True
        owned = self._owned_by_id.get(entry.job.job_id)
        return (
            owned is not None
            and self.has_all_listed(owned.job)
            and self._is_current()
        )

    async def _read_body(self, call: Call, message: ReadBody) -> Message:
        owned = self._owned_by_id.get(message.job_id)
        run = owned.runs_by_id.get(message.item_id) if owned else None
        if owned is None or run is None:
            return NotRunHere(self._owner_name(message.job_id))
        return ItemBody(run.item.body, owned.job.team)

    def _evict_released(self) -> None:
        released_ids = [
            job_id
            for job_id in self._entries_by_id
            if job_id not in self._owned_by_id
        ]
        for job_id in released_ids[
            : max(0, len(released_ids) - MAX_RELEASED_JOBS)
        ]:
            del self._entries_by_id[job_id]


def _page(entry: _Entry, position: int) -> JobResults:
    page = results_page(entry.results_by_position, position)
    return JobResults(
        len(entry.job.item_ids),
        tuple(encode_result(r) for r in page),
        entry.job.team,
    )

"""Results of the jobs that a worker runs, for gateways that ask for them."""

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

# Jobs without open items whose results are kept, those that ended last; a job
# has about 100 KB of results.
KEPT_JOBS = 32


@dataclasses.dataclass(slots=True)
class _Entry:
    """What is listed of a job.

    Attributes:
        job: Its head.
        results_by_position: All results that are listed.
        changed: Set at the next change.
    """

    job: Job
    results_by_position: dict[int, ItemResult]
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def is_final(self) -> bool:
        """Returns whether nothing more can be listed by anybody."""
        return len(self.results_by_position) == len(self.job.item_ids)

    def announce(self) -> None:
        """Wakes those who wait for a change."""
        self.changed.set()
        self.changed = anyio.Event()


class ResultCache:
    """Answers reads of jobs from memory where that is certain.

    A result that is listed stays at its position, so it may be told at any
    time. That nothing is listed at a position may be told only while nobody
    else can have listed anything there.
    """

    def __init__(
        self,
        owned_by_id: dict[str, OwnedJob],
        is_certain: Callable[[], bool],
        owner_name: Callable[[str], str],
    ) -> None:
        """Creates an empty cache.

        Args:
            owned_by_id: Jobs that this worker runs.
            is_certain: Whether this worker is certain of the jobs it owns.
            owner_name: Returns the name of the worker that owns a job, as far
                as this worker knows; empty if it does not.
        """
        self._owned_by_id = owned_by_id
        self._is_certain = is_certain
        self._owner_name = owner_name
        self._entries_by_id: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def serve(self, server: PeerServer) -> None:
        """Registers the handlers of the gateways' calls."""
        server.handle(ReadResults, self._read_results)
        server.handle(ReadBody, self._read_body)

    def put(self, job: Job, results_by_position: dict[int, ItemResult]) -> None:
        """Takes in a job that was claimed, with all its results."""
        self._entries_by_id[job.job_id] = _Entry(job, dict(results_by_position))
        self._forget_old()

    def take_commit(
        self, job: Job, results_by_position: dict[int, ItemResult]
    ) -> None:
        """Takes in results that were written."""
        entry = self._entries_by_id.get(job.job_id)
        if entry is None:
            return
        entry.job = job
        entry.results_by_position.update(results_by_position)
        entry.announce()

    def settle(self, owned: OwnedJob, job: Job) -> None:
        """Takes in a head that was read after a write without an answer.

        Results that it lists and that are not known here make the entry
        useless.

        Args:
            owned: The job, with the outcomes that the write may have listed.
            job: The head that was read.
        """
        entry = self._entries_by_id.get(job.job_id)
        if entry is None:
            return
        outcomes_by_id = {o.item_id: o for o in owned.outcomes}
        found: dict[int, ItemResult] = {}
        for position, item_id in enumerate(job.listed_ids):
            if position in entry.results_by_position:
                continue
            if item_id not in outcomes_by_id:
                del self._entries_by_id[job.job_id]
                entry.announce()
                return
            found[position] = outcomes_by_id[item_id]
        self.take_commit(job, found)

    async def _read_results(self, call: Call, message: ReadResults) -> Message:
        deadline = clock.monotonic() + message.deadline - clock.wall()
        while True:
            entry = self._entries_by_id.get(message.job_id)
            if entry is None:
                return NotRunHere(self._owner_name(message.job_id))
            has_more = message.position in entry.results_by_position
            if has_more or clock.remaining(deadline) <= 0:
                break
            if not self._may_wait(entry):
                break
            with anyio.move_on_after(clock.remaining(deadline)):
                await entry.changed.wait()
        if has_more or self._is_sure(entry):
            return _page(entry, message.position)
        return NotRunHere(self._owner_name(message.job_id))

    def _may_wait(self, entry: _Entry) -> bool:
        return entry.job.job_id in self._owned_by_id and not entry.is_final()

    def _is_sure(self, entry: _Entry) -> bool:
        """Returns whether nothing is listed beyond what the entry has."""
        if entry.is_final():
            return True
        return entry.job.job_id in self._owned_by_id and self._is_certain()

    async def _read_body(self, call: Call, message: ReadBody) -> Message:
        owned = self._owned_by_id.get(message.job_id)
        run = owned.runs_by_id.get(message.item_id) if owned else None
        if run is None:
            return NotRunHere(self._owner_name(message.job_id))
        return ItemBody(run.item.body)

    def _forget_old(self) -> None:
        closed_ids = [
            job_id
            for job_id in self._entries_by_id
            if job_id not in self._owned_by_id
        ]
        for job_id in closed_ids[: max(0, len(closed_ids) - KEPT_JOBS)]:
            del self._entries_by_id[job_id]


def _page(entry: _Entry, position: int) -> JobResults:
    found = results_page(entry.results_by_position, position)
    return JobResults(
        len(entry.job.item_ids), tuple(encode_result(r) for r in found)
    )

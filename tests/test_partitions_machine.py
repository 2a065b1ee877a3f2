"""Stateful fuzzing of a partition's log against the acknowledged records.

A step may lose answers, lose or delay writes, stop the owner before or after
any write, take the partition over, or run a compaction, which moves results to
chunks if two bulk instances are live. The oracle is the list of acknowledged
records. After each takeover, all of them that are still needed must be in the
log without duplicates and in order, and no ended run or job may be open again.
A result in a chunk may also be in the log; the order of moved results is
checked within each chunk.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from plumvane.errors import NotOwnerError
from plumvane.partitions import budget, compaction, log, moving, segments
from plumvane.partitions.compaction import Compaction
from plumvane.partitions.log import PartitionLog, PrefetchedLog
from plumvane.partitions.records import (
    ItemsDone,
    JobAccepted,
    JobCancelled,
    JobEnded,
    LogRecord,
    RequestCompleted,
    RequestReleased,
    RequestStarted,
    ResultsMoved,
)
from plumvane.peers.messages import ChunkRef, Outcome
from tests.chunks import MemoryChunks
from tests.faulty_store import Crash, Fault, FaultyStore

RETENTION_S = 1000.0
FAR_FUTURE = 1e12
JOB_ITEMS = 3

faults = st.lists(st.sampled_from(list(Fault)), max_size=4)


class Oracle:
    """Acknowledged records, and unacknowledged ones that may be stored."""

    def __init__(self) -> None:
        self.acknowledged: list[LogRecord] = []
        self.unacknowledged: list[LogRecord] = []

    def check(self, stored: list[LogRecord], chunks: MemoryChunks) -> None:
        """Compares a recovered log with the acknowledged records."""
        found = chunks.expand(stored)
        allowed = [*self.acknowledged, *self.unacknowledged]
        for record in found:
            assert record in allowed or isinstance(record, JobEnded), record
        for record in self.acknowledged:
            if not self._may_be_removed(record):
                assert record in found, f"lost {record}"
        assert len({repr(record) for record in stored}) == len(stored)
        records_by_chunk = [
            chunks.read(record)
            for record in stored
            if isinstance(record, ResultsMoved)
        ]
        moved = [record for chunk in records_by_chunk for record in chunk]
        in_log = [record for record in stored if record not in moved]
        for sequence in (in_log, *records_by_chunk):
            order = [
                record for record in sequence if record in self.acknowledged
            ]
            assert order == sorted(order, key=self.acknowledged.index)
        self._check_open(found)

    def _check_open(self, found: list[LogRecord]) -> None:
        """Asserts that no ended run is open again."""
        ended = {
            record.request_id
            for record in self.acknowledged
            if isinstance(record, RequestReleased | RequestCompleted)
        }
        still_open = set()
        for record in found:
            if isinstance(record, RequestStarted):
                still_open.add(record.request_id)
            elif isinstance(record, RequestReleased | RequestCompleted):
                still_open.discard(record.request_id)
        assert not still_open & ended, f"reopened {still_open & ended}"

    def _may_be_removed(self, record: LogRecord) -> bool:
        """Returns whether compaction may have removed a record."""
        if isinstance(record, RequestReleased):
            return True
        if isinstance(record, RequestStarted):
            return any(
                isinstance(other, RequestReleased | RequestCompleted)
                and other.request_id == record.request_id
                for other in [*self.acknowledged, *self.unacknowledged]
            )
        if isinstance(record, RequestCompleted):
            return record.time != FAR_FUTURE
        return False


class LogMachine(RuleBasedStateMachine):
    """One partition, its successive owners and a faulty store."""

    @initialize()
    def begin(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.store = FaultyStore()
        self.chunks = MemoryChunks()
        self.oracle = Oracle()
        self.epoch = 0
        self.name_count = 0
        self.log: PartitionLog | None = None
        self.task: asyncio.Task[None] | None = None
        self.prefetched = PrefetchedLog()
        self._take_over()

    def teardown(self) -> None:
        if hasattr(self, "loop"):
            self._stop_owner()
            self.loop.close()

    @rule(
        faults=faults,
        size=st.sampled_from([10, 300, 1500]),
        far_expiry=st.booleans(),
    )
    def complete(
        self, faults: list[Fault], size: int, far_expiry: bool
    ) -> None:
        name = self._name()
        time = FAR_FUTURE if far_expiry else 0.0
        outcome = Outcome(200, b"x" * size)
        self._commit(
            faults, RequestCompleted("t", name, name, b"", outcome, time)
        )

    @rule(faults=faults, released=st.booleans(), far_expiry=st.booleans())
    def run_once(
        self, faults: list[Fault], released: bool, far_expiry: bool
    ) -> None:
        """Starts a non-idempotent run, pads the log, then ends the run."""
        name = self._name()
        if not self._commit(
            faults, RequestStarted("t", name, name, b"", 0, "")
        ):
            return
        self.complete([], 1500, False)
        end: LogRecord = RequestReleased("t", name, name)
        if not released:
            outcome = Outcome(200, b"")
            time = FAR_FUTURE if far_expiry else 0.0
            end = RequestCompleted("t", name, name, b"", outcome, time)
        self._commit([], end)

    @rule(faults=faults, cancelled=st.booleans())
    def run_job(self, faults: list[Fault], cancelled: bool) -> None:
        name = self._name()
        chunk = ChunkRef("", 0, JOB_ITEMS, ())
        record = JobAccepted(name, "t", b"", "m", (chunk,), 0.0, 0.0)
        if not self._commit(faults, record):
            return
        self.complete([], 1500, False)
        end: LogRecord = ItemsDone(name, chunk)
        if cancelled:
            end = JobCancelled(name)
        self._commit([], end)

    @rule(
        faults=faults,
        bulks=st.sampled_from([0, 1, 2]),
        refuse=st.booleans(),
    )
    def compact(self, faults: list[Fault], bulks: int, refuse: bool) -> None:
        self.chunks.live_instances, self.chunks.fail_writes = bulks, refuse
        if self.log is not None:
            self._run_until_crash(faults, Compaction(self.log).run())

    @rule()
    def read_ahead(self) -> None:
        """Reads the log ahead, as the new owner in a planned move does."""
        self.prefetched = PrefetchedLog()
        reader = segments.SegmentStore(self.store, 0)
        self.loop.run_until_complete(self.prefetched.load(reader))

    @rule()
    def land_late(self) -> None:
        self.loop.run_until_complete(self.store.apply_delayed_writes())

    @rule(planned=st.booleans())
    def move(self, planned: bool) -> None:
        former, task = self.log, self.task
        self._take_over(planned=planned)
        if former is not None and task is not None:
            self._check_former_owner_refused(former, task)

    @invariant()
    def owner_is_alive(self) -> None:
        if self.task is not None and self.task.done():
            self._take_over()

    def _name(self) -> str:
        self.name_count += 1
        return f"n{self.name_count}"

    def _take_over(self, *, planned: bool = False) -> None:
        self.epoch += 1
        self.store.faults.clear()
        taken = PartitionLog(
            self.store, 0, self.epoch, retention_s=lambda: RETENTION_S
        )
        prefetched = self.prefetched if planned else None
        found = self.loop.run_until_complete(taken.recover(prefetched))
        self.oracle.check(found, self.chunks)
        self.chunks.attach_to(taken)
        self.log = taken
        self.task = self.loop.create_task(taken.run())

    def _check_former_owner_refused(
        self, former: PartitionLog, task: asyncio.Task[None]
    ) -> None:
        """Asserts that a former owner cannot commit after a takeover."""
        late = RequestCompleted(
            "t", "late", "late", b"", Outcome(200, b""), FAR_FUTURE
        )

        async def commit() -> None:
            with contextlib.suppress(NotOwnerError):
                await former.commit(late)
                raise AssertionError("a former owner committed")

        self.loop.run_until_complete(commit())
        task.cancel()
        self.loop.run_until_complete(asyncio.wait([task]))

    def _commit(self, faults: list[Fault], record: LogRecord) -> bool:
        """Commits a record and returns whether it was acknowledged."""
        if self.log is None:
            return False
        if self._run_until_crash(faults, self.log.commit(record)):
            self.oracle.acknowledged.append(record)
            return True
        self.oracle.unacknowledged.append(record)
        self._take_over()
        return False

    def _run_until_crash(self, faults: list[Fault], work: Any) -> bool:
        """Runs a task of the owner; returns whether it completed."""
        assert self.task is not None
        self.store.faults.extend(faults)
        try:
            return self.loop.run_until_complete(self._run_with_owner(work))
        finally:
            self.store.faults.clear()

    async def _run_with_owner(self, work: Any) -> bool:
        assert self.task is not None
        work_task = asyncio.ensure_future(_completes(work))
        await asyncio.wait(
            {work_task, self.task}, return_when=asyncio.FIRST_COMPLETED
        )
        crashed = self.task.done() and self.task.exception() is not None
        if crashed or not work_task.done():
            work_task.cancel()
            await asyncio.wait({work_task})
            return False
        return work_task.result()

    def _stop_owner(self) -> None:
        if self.task is not None:
            self.task.cancel()
            self.loop.run_until_complete(asyncio.wait([self.task]))
            if not self.task.cancelled():
                self.task.exception()


async def _completes(work: Any) -> bool:
    try:
        await work
    except (Crash, NotOwnerError):
        return False
    return True


@contextlib.contextmanager
def small_segments() -> Any:
    """Reduces segment sizes and delays, so that few steps close a segment."""
    saved = (
        log.SEGMENT_BYTES,
        budget.COMMITS_PER_S,
        budget.FLEET_COMMITS_PER_S,
        segments.RETRY_S,
        segments.PAGE_SEGMENTS,
        compaction.MERGED_BYTES,
        moving.MIN_CHUNK_BYTES,
        moving.MAX_CHUNK_BYTES,
    )
    log.SEGMENT_BYTES = 1000
    budget.COMMITS_PER_S = budget.FLEET_COMMITS_PER_S = 1e9
    segments.RETRY_S, segments.PAGE_SEGMENTS = 0.0, 2
    compaction.MERGED_BYTES = 4000
    moving.MIN_CHUNK_BYTES, moving.MAX_CHUNK_BYTES = 100, 3000
    try:
        yield
    finally:
        (
            log.SEGMENT_BYTES,
            budget.COMMITS_PER_S,
            budget.FLEET_COMMITS_PER_S,
            segments.RETRY_S,
            segments.PAGE_SEGMENTS,
            compaction.MERGED_BYTES,
            moving.MIN_CHUNK_BYTES,
            moving.MAX_CHUNK_BYTES,
        ) = saved


def test_acknowledged_records_are_not_lost() -> None:
    long = os.environ.get("HYPOTHESIS_PROFILE") == "long"
    with small_segments():
        run_state_machine_as_test(
            LogMachine,
            settings=settings(
                derandomize=not long,
                database=None,
                deadline=None,
                max_examples=5000 if long else 400,
                stateful_step_count=40,
                suppress_health_check=list(HealthCheck),
            ),
        )

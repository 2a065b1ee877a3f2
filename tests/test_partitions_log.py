"""Tests of a partition's log: lost answers, delayed writes and takeovers."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio

from plumvane.errors import BodyTooLargeError, NotOwnerError
from plumvane.partitions.compaction import Compaction
from plumvane.partitions.log import (
    MAX_RECORDS_BYTES,
    PartitionLog,
    PrefetchedLog,
)
from plumvane.partitions.records import (
    JobAccepted,
    LogRecord,
    RequestCompleted,
    RequestReleased,
    RequestStarted,
)
from plumvane.peers.messages import ChunkRef, Outcome
from plumvane.store.base import MAX_VALUE_BYTES, Store
from plumvane.store.memory import MemoryStore
from tests.chunks import MemoryChunks
from tests.faulty_store import Fault, FaultyStore

OUTER_DEADLINE_S = 30.0


def completed(
    key: str, *, size: int = 10, time: float = 1e12
) -> RequestCompleted:
    """Returns a record of the given size that does not expire by default."""
    outcome = Outcome(200, b"x" * size)
    return RequestCompleted("team", key, f"run-{key}", b"", outcome, time)


def keys_of(records: list[LogRecord]) -> list[str]:
    return [r.key for r in records if isinstance(r, RequestCompleted)]


@contextlib.asynccontextmanager
async def owned_log(
    store: Store, epoch: int
) -> AsyncIterator[tuple[PartitionLog, list[LogRecord]]]:
    """Yields a log that accepts commits, and the records it recovered."""
    log = PartitionLog(store, 0, epoch)
    records = await log.recover()
    async with anyio.create_task_group() as group:
        group.start_soon(log.run)
        yield log, records
        group.cancel_scope.cancel()


async def commit_concurrently(
    log: PartitionLog, records: list[LogRecord]
) -> None:
    async with anyio.create_task_group() as group:
        for record in records:
            group.start_soon(log.commit, record)


async def recover_keys(store: Store, epoch: int = 99) -> list[str]:
    return keys_of(await PartitionLog(store, 0, epoch).recover())


def run_with_timeout(test: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await test()

    anyio.run(run)


def test_each_kind_of_lost_write_is_settled() -> None:
    async def check() -> None:
        for fault in (Fault.LOSE_RESPONSE, Fault.LOSE_REQUEST, Fault.DELAY):
            store = FaultyStore()
            store.faults.extend([fault, fault])
            async with owned_log(store, 1) as (log, _):
                for key in ("a", "b", "c"):
                    store.faults.append(fault)
                    await log.commit(completed(key))
                    await store.apply_delayed_writes()
            assert await recover_keys(store) == ["a", "b", "c"], fault

    run_with_timeout(check)


def test_group_commit_over_the_value_limit_is_split() -> None:
    async def check() -> None:
        store = MemoryStore()
        sizes = {"k0": 60_000, "k1": 890_000, "k2": 600_000, "k3": 890_000}
        async with owned_log(store, 1) as (log, _):
            await log.commit(completed("first", size=60_000))
            await commit_concurrently(
                log, [completed(key, size=n) for key, n in sizes.items()]
            )
        assert await recover_keys(store) == ["first", *sizes]
        for record in (await store.list("partitions/")).records:
            assert len(record.value) <= MAX_VALUE_BYTES

    run_with_timeout(check)


def test_record_over_the_value_limit_is_refused() -> None:
    async def check() -> None:
        store = MemoryStore()
        async with owned_log(store, 1) as (log, _):
            try:
                await log.commit(completed("big", size=MAX_RECORDS_BYTES + 1))
            except BodyTooLargeError:
                await log.commit(completed("small"))
            else:
                raise AssertionError("the record was taken")
        assert await recover_keys(store) == ["small"]

    run_with_timeout(check)


def test_cancelled_commit_does_not_hold_up_the_next() -> None:
    async def check() -> None:
        store = MemoryStore()
        async with owned_log(store, 1) as (log, _):
            with anyio.CancelScope() as scope:
                scope.cancel()
                await log.commit(completed("cancelled"))
            await log.commit(completed("next"))
            await log.wait_drained()
        found = await recover_keys(store)
        assert found[-1] == "next" and len(found) <= 2

    run_with_timeout(check)


def test_former_owner_cannot_commit() -> None:
    async def check() -> None:
        store = MemoryStore()
        async with owned_log(store, 1) as (former_owner, _):
            await former_owner.commit(completed("a"))
            async with owned_log(store, 2) as (new_owner, records):
                assert keys_of(records) == ["a"]
                try:
                    await former_owner.commit(completed("late"))
                except NotOwnerError:
                    pass
                else:
                    raise AssertionError("a former owner committed")
                await new_owner.commit(completed("b"))
        assert await recover_keys(store) == ["a", "b"]

    run_with_timeout(check)


def test_commit_that_races_a_takeover_is_not_lost() -> None:
    async def check() -> None:
        store = FaultyStore()
        async with owned_log(store, 1) as (former_owner, _):
            await former_owner.commit(completed("a"))
            store.faults.append(Fault.DELAY)
            async with anyio.create_task_group() as group:
                outcome: list[str] = []

                async def commit() -> None:
                    try:
                        await former_owner.commit(completed("b"))
                        outcome.append("committed")
                    except NotOwnerError:
                        outcome.append("refused")

                group.start_soon(commit)
                while not store._delayed_writes:
                    await anyio.sleep(0.01)
                new_owner = PartitionLog(store, 0, 2)
                await new_owner.recover()
                assert await store.apply_delayed_writes() == 0
            found = await recover_keys(store)
        assert outcome == ["refused"] and found == ["a"]

    run_with_timeout(check)


def test_takeover_with_a_lower_epoch_is_refused() -> None:
    async def check() -> None:
        store = MemoryStore()
        await PartitionLog(store, 0, 3).recover()
        try:
            await PartitionLog(store, 0, 2).recover()
        except NotOwnerError:
            return
        raise AssertionError("a taker of a lower epoch recovered")

    run_with_timeout(check)


def test_late_write_does_not_restore_a_removed_segment() -> None:
    async def check() -> None:
        store = FaultyStore()
        async with owned_log(store, 1) as (log, _):
            await log.commit(completed("a", size=70_000))
            store.faults.append(Fault.DELAY)
            await log.commit(completed("b", size=70_000))
            await log.commit(completed("c"))
            removed = await log.segments.read(1)
            assert removed is not None
            await log.update_closed(1, None)
            await log.segments.delete(1, removed.revision)
            assert await store.apply_delayed_writes() == 1
        assert await recover_keys(store) == ["a", "c"]

    run_with_timeout(check)


def test_prefetched_log_is_updated_at_the_move() -> None:
    async def check() -> None:
        store = MemoryStore()
        async with owned_log(store, 1) as (former_owner, _):
            for number in range(12):
                await former_owner.commit(completed(f"k{number}", size=40_000))
            prefetched = PrefetchedLog()
            await prefetched.load(former_owner.segments)
            for number in range(12, 20):
                await former_owner.commit(completed(f"k{number}", size=40_000))
            new_owner = PartitionLog(store, 0, 2)
            records = await new_owner.recover(prefetched)
        assert keys_of(records) == [f"k{number}" for number in range(20)]

    run_with_timeout(check)


def test_compaction_stopped_at_any_write_loses_nothing() -> None:
    async def check() -> None:
        for writes in range(5):
            for fault in (Fault.CRASH, Fault.CRASH_AFTER):
                await compact_until(writes, fault)

    async def compact_until(writes: int, fault: Fault) -> None:
        store = FaultyStore()
        sizes = {"k0": 250_000, "k1": 70_000, "k2": 70_000}
        with contextlib.suppress(BaseExceptionGroup):
            async with owned_log(store, 1) as (log, _):
                for key, size in sizes.items():
                    # Each commit closes a segment, so that no open one exists.
                    await log.commit(completed(key, size=size))
                store.faults.extend([Fault.NONE] * writes + [fault])
                await Compaction(log).run()
        store.faults.clear()
        assert await recover_keys(store) == [*sizes], (writes, fault)

    run_with_timeout(check)


def test_end_record_is_kept_while_its_start_record_is_stored() -> None:
    async def check() -> None:
        for end in (
            RequestReleased("team", "once", "run-once"),
            completed("once", time=0.0),
        ):
            await compact_started_and(end)

    async def compact_started_and(end: LogRecord) -> None:
        store = MemoryStore()
        async with owned_log(store, 1) as (log, _):
            started = RequestStarted("team", "once", "run-once", b"", 0.0, "")
            await log.commit(started)
            # Most of this segment is needed, so it is not rewritten and keeps
            # the start record. The next segment is rewritten without the
            # records that are not needed.
            await log.commit(completed("large", size=200_000))
            await log.commit(end)
            await log.commit(completed("expired", size=40_000, time=0.0))
            await log.commit(completed("next", size=30_000))
            assert await Compaction(log).run()
        found = await PartitionLog(store, 0, 2).recover()
        assert [k for k in keys_of(found) if k != "once"] == ["large", "next"]
        assert started in found and end in found, "the run is open again"

    run_with_timeout(check)


def test_move_to_chunks_stopped_at_any_write_loses_nothing() -> None:
    async def check() -> None:
        for writes in range(7):
            for fault in (Fault.CRASH, Fault.CRASH_AFTER, Fault.LOSE_RESPONSE):
                for refuse in (False, True):
                    await move_until(writes, fault, refuse)

    async def move_until(writes: int, fault: Fault, refuse: bool) -> None:
        store = FaultyStore()
        chunks = MemoryChunks()
        chunks.fail_writes = refuse
        keys = [f"k{number}" for number in range(5)]
        with contextlib.suppress(BaseExceptionGroup):
            async with owned_log(store, 1) as (log, _):
                chunks.attach_to(log)
                for key in keys:
                    await log.commit(completed(key, size=100_000))
                store.faults.extend([Fault.NONE] * writes + [fault])
                await Compaction(log).run()
        store.faults.clear()
        found = await PartitionLog(store, 0, 99).recover()
        kept = keys_of(chunks.expand(found))
        assert list(dict.fromkeys(kept)) == keys, (writes, fault, refuse)

    run_with_timeout(check)


def test_moved_results_leave_only_a_reference_in_the_store() -> None:
    async def check() -> None:
        store = MemoryStore()
        chunks = MemoryChunks()
        async with owned_log(store, 1) as (log, _):
            chunks.attach_to(log)
            for number in range(9):
                await log.commit(completed(f"k{number}", size=70_000))
            assert await Compaction(log).run()
        records = (await store.list("partitions/")).records
        assert sum(len(record.value) for record in records) < 5_000
        found = await PartitionLog(store, 0, 99).recover()
        assert keys_of(found) == []
        kept = keys_of(chunks.expand(found))
        assert kept == [f"k{number}" for number in range(9)]

    run_with_timeout(check)


def test_result_stays_while_the_start_of_its_run_is_stored() -> None:
    async def check() -> None:
        store = MemoryStore()
        chunks = MemoryChunks()
        start = RequestStarted("team", "a", "run-a", b"", 0.0, "sidecar")
        chunk = ChunkRef("d" * 70_000, 0, 1, ())
        job = JobAccepted("job", "team", b"", "m", (chunk,), 0.0, 0.0)
        async with owned_log(store, 1) as (log, _):
            chunks.attach_to(log)
            await log.commit(start)
            await log.commit(job)
            await log.commit(completed("a", size=240_000))
            await log.commit(completed("b", size=240_000))
            assert await Compaction(log).run()
        found = await PartitionLog(store, 0, 99).recover()
        assert start in found and keys_of(found) == ["a"]
        assert keys_of(chunks.expand(found)) == ["a", "b"]

    run_with_timeout(check)


def test_segments_closed_during_a_pass_make_the_next_one_due() -> None:
    class CommittingChunks(MemoryChunks):
        """Closes enough segments for a pass while the first chunk is stored."""

        async def store(self, data: bytes) -> tuple[str, tuple[str, ...]]:
            if not self.data_by_digest:
                await fill(8)
            return await super().store(data)

    async def fill(count: int) -> None:
        for _ in range(count):
            await logs[0].commit(completed(f"k{next(numbers)}", size=70_000))

    logs: list[PartitionLog] = []
    numbers = itertools.count()

    async def check() -> None:
        async with owned_log(MemoryStore(), 1) as (log, _):
            logs.append(log)
            CommittingChunks().attach_to(log)
            compaction = Compaction(log)
            await fill(8)
            assert await compaction.run()
            assert compaction.is_due()
            assert await compaction.run()
            assert not compaction.is_due()

    run_with_timeout(check)


def test_log_size_is_bounded() -> None:
    async def check() -> None:
        store = MemoryStore()
        most = 0
        async with owned_log(store, 1) as (log, _):
            compaction = Compaction(log)
            await log.commit(completed("kept"))
            for number in range(60):
                expired = completed(f"k{number}", size=70_000, time=0.0)
                await log.commit(expired)
                if compaction.is_due():
                    assert await compaction.run()
                records = (await store.list("partitions/")).records
                most = max(most, sum(len(r.value) for r in records))
        assert most < 20 * 70_000
        assert "kept" in await recover_keys(store)

    run_with_timeout(check)

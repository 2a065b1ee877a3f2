"""Results that were moved to chunks at bulk instances can still be read."""

from __future__ import annotations

import contextlib
import json
import pathlib
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio

from plumvane import clock, hashing
from plumvane.errors import (
    BulkUnavailableError,
    KeyReusedError,
    NotFoundError,
    PlumvaneError,
)
from plumvane.partitions.compaction import Compaction
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.moving import ResultMover, key_hash
from plumvane.partitions.records import ResultsMoved
from plumvane.peers.messages import (
    ChunkRef,
    Claim,
    ClaimGranted,
    ClaimResult,
    Complete,
    Outcome,
)
from plumvane.requests.key_index import BUCKET_COUNT, KeyIndex
from plumvane.requests.ledger import OwnerState, RequestLedger
from plumvane.requests.moved_results import ResultChunkCache
from plumvane.store.memory import MemoryStore
from standins.launcher import TEAM, Fleet
from tests.batches import chunk_copies, referenced_chunks
from tests.chunks import MemoryChunks
from tests.fleets import Caller, running_fleet, wait_for
from tests.test_ledger import _NoSidecar

OUTER_DEADLINE_S = 30.0
RETENTION_S = 1000.0
BODY = b"x" * 70_000
KEYS = [f"k{number}" for number in range(9)]
BULKS = ("bulk-0", "bulk-1", "bulk-2")


class _Owner:
    """An owner whose results move to chunks only when a test moves them."""

    def __init__(
        self, log: PartitionLog, ledger: RequestLedger, chunks: MemoryChunks
    ) -> None:
        self.log = log
        self.ledger = ledger
        log.mover = ResultMover(chunks, ledger.apply_move)

    async def complete(self, key: str, body: bytes = BODY) -> None:
        message = Complete(0, "t", key, f"r-{key}", b"d", Outcome(200, body))
        assert (await self.ledger.complete(message)).durable

    async def complete_and_move_all(self) -> None:
        for key in KEYS:
            await self.complete(key, key.encode() + BODY)
        assert await Compaction(self.log).run()


@contextlib.asynccontextmanager
async def _open_owner(
    store: MemoryStore, chunks: MemoryChunks, epoch: int = 1
) -> AsyncIterator[_Owner]:
    log = PartitionLog(store, 0, epoch, retention_s=lambda: RETENTION_S)
    records = await log.recover()
    state = OwnerState(lambda: True, lambda: False, lambda: RETENTION_S)
    async with anyio.create_task_group() as group:
        group.start_soon(log.run)
        ledger = RequestLedger(
            0,
            log,
            state,
            _NoSidecar(),
            group.start_soon,
            ResultChunkCache(chunks),
        )
        for record in records:
            ledger.apply(record)
        ledger.finish_recovery()
        yield _Owner(log, ledger, chunks)
        group.cancel_scope.cancel()


def _claim(key: str, *, digest: bytes = b"d", idempotent: bool = True) -> Claim:
    deadline = clock.wall() + 60.0
    return Claim(0, "t", key, "new", digest, idempotent, deadline, "e", "s")


async def _error_of(call: Awaitable[object]) -> PlumvaneError | None:
    try:
        await call
    except PlumvaneError as error:
        return error
    return None


def _run(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await test()

    anyio.run(bounded)


def test_moved_results_leave_memory_and_can_be_read() -> None:
    async def test() -> None:
        store, chunks = MemoryStore(), MemoryChunks()
        async with _open_owner(store, chunks) as owner:
            await owner.complete_and_move_all()
            assert len(owner.ledger) == 0
            await _check_all_results(owner)
        async with _open_owner(store, chunks, 2) as owner:
            assert len(owner.ledger) == 0
            await _check_all_results(owner)

    async def _check_all_results(owner: _Owner) -> None:
        for key in KEYS:
            found = await owner.ledger.lookup("t", key)
            assert found.outcome.body == key.encode() + BODY and found.durable
            again = await owner.ledger.claim(_claim(key))
            assert isinstance(again, ClaimResult) and again == found
            late_message = Complete(
                0, "t", key, "late", b"d", Outcome(200, b"other")
            )
            assert (
                await owner.ledger.complete(late_message)
            ).outcome == found.outcome
            reused_error = await _error_of(
                owner.ledger.claim(_claim(key, digest=b"other"))
            )
            assert isinstance(reused_error, KeyReusedError)
        unknown_error = await _error_of(owner.ledger.lookup("t", "unknown"))
        assert isinstance(unknown_error, NotFoundError)
        granted = await owner.ledger.claim(_claim("fresh"))
        assert isinstance(granted, ClaimGranted)

    _run(test)


def test_unreachable_moved_result_is_unavailable_and_not_run_again() -> None:
    async def test() -> None:
        chunks = MemoryChunks()
        async with _open_owner(MemoryStore(), chunks) as owner:
            await owner.complete_and_move_all()
            chunks.live_instances = 0
            late_message = Complete(
                0, "t", "k0", "late", b"d", Outcome(200, b"")
            )
            for call in (
                owner.ledger.claim(_claim("k0")),
                owner.ledger.claim(_claim("k0", idempotent=False)),
                owner.ledger.lookup("t", "k0"),
                owner.ledger.cancel("t", "k0"),
                owner.ledger.complete(late_message),
            ):
                error = await _error_of(call)
                assert isinstance(error, BulkUnavailableError), error
                assert error.retry_after_s
            chunks.live_instances = 1
            found = await owner.ledger.lookup("t", "k0")
            assert found.request_id == "r-k0"

    _run(test)


def test_nothing_moves_without_two_bulk_instances() -> None:
    async def test() -> None:
        for up, refuse in ((1, False), (2, True)):
            chunks = MemoryChunks()
            chunks.live_instances, chunks.fail_writes = up, refuse
            async with _open_owner(MemoryStore(), chunks) as owner:
                await owner.complete_and_move_all()
                assert len(owner.ledger) == len(KEYS)
                assert not list(owner.ledger.chunks())
                chunks.live_instances = 0
                found = await owner.ledger.lookup("t", "k0")
                assert found.outcome.body == b"k0" + BODY

    _run(test)


def test_index_finds_each_key_until_its_chunk_is_forgotten() -> None:
    index = KeyIndex()
    refs = [ChunkRef(f"digest-{n}", 0, 100, ("a", "b")) for n in range(50)]
    for number, ref in enumerate(refs):
        names = [f"{number}-{n}" for n in range(100)]
        hashes = b"".join(key_hash("t", name) for name in names)
        index.add(ResultsMoved(ref, hashes, float(number)))
        index.add(ResultsMoved(ref, hashes, float(number)))
    assert list(index.chunks()) == refs
    for number, ref in enumerate(refs):
        assert index.find(key_hash("t", f"{number}-7")) == [ref]
    for _ in range(BUCKET_COUNT):
        index.remove_before(25.0)
    assert list(index.chunks()) == refs[25:]
    assert index.find(key_hash("t", "24-7")) == []
    assert index.find(key_hash("t", "25-7")) == [refs[25]]
    entries = sum(len(bucket or b"") for bucket in index._buckets)
    assert entries == 25 * 100 * 8


def _keys_of_one_partition(count: int) -> tuple[int, list[str]]:
    """Returns a partition and some keys that belong to it."""
    partition = hashing.partition_of(TEAM, "moved-0")
    names = (f"moved-{number}" for number in range(count * 1000))
    found = [n for n in names if hashing.partition_of(TEAM, n) == partition]
    return partition, found[:count]


def _owner_name(fleet: Fleet, partition: int) -> str:
    key = f"owners/partition/{partition:04}"
    status, value = fleet.call("GET", f"{fleet['store'].url}/keys/{key}")
    return str(json.loads(value)["name"]) if status == 200 else ""


def _log_bytes(fleet: Fleet, partition: int) -> int:
    """Returns the size of a partition's segments in the store, in bytes."""
    size = 0
    for number in range(50):
        key = f"partitions/{partition:04}/segments/{number:08}"
        status, value = fleet.call("GET", f"{fleet['store'].url}/keys/{key}")
        size += len(value) if status == 200 else 0
    return size


def test_moved_results_survive_loss_of_owner_and_bulk_instance() -> None:
    partition, keys = _keys_of_one_partition(12)
    with running_fleet(entries=2, engines=0, services=1, bulks=3) as fleet:
        caller = Caller(fleet)
        answers = {
            key: caller.quote(
                fleet["entry-0"], {"load": key + "x" * 70_000}, key=key
            )
            for key in keys
        }
        assert {status for status, _ in answers.values()} == {200}
        max_log_bytes = len(keys) // 2 * 70_000
        wait_for(
            lambda: _log_bytes(fleet, partition) < max_log_bytes, "the move"
        )
        killed_bulk = next(
            bulk
            for bulk in BULKS
            if list(pathlib.Path(fleet.folder, f"{bulk}-data").glob("??/*"))
        )
        owner = _owner_name(fleet, partition)
        other = "entry-1" if owner == "entry-0" else "entry-0"
        fleet[owner].kill()
        fleet.deregister_instance(owner)
        fleet[killed_bulk].kill()
        fleet.deregister_instance(killed_bulk)
        again = {
            key: caller.quote(
                fleet[other], {"load": key + "x" * 70_000}, key=key
            )
            for key in keys
        }
        stored = {key: caller.result(fleet[other], key) for key in keys}
        remaining_bulks = [bulk for bulk in BULKS if bulk != killed_bulk]
        referenced = referenced_chunks(fleet)
        # More than half of the results moved, three in each chunk.
        assert len(referenced) > len(keys) // 2 // 3

        def is_copied() -> bool:
            found = chunk_copies(fleet, remaining_bulks)
            return all(found.get(digest) == 2 for digest in referenced)

        wait_for(is_copied, "two copies of each chunk", 120.0)
        _, body = fleet.call("GET", f"{fleet['service-0'].url}/executions")
    assert again == answers
    assert stored == answers
    assert set(json.loads(body)["by_body"].values()) == {1}

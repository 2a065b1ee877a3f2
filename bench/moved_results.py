"""Memory and store size per result, for results in the log and in chunks.

The ledger of one partition runs in this process, its log is in a store process
and the chunks are written to two folders. Each measurement waits until no
compaction is due. Run with `python -m bench.moved_results`; with `--nomove`
results stay in the log. `--index_keys` measures only the index of moved keys.
Figures are printed as JSON lines.
"""

from __future__ import annotations

import gc
import json
import os
import pathlib
import tempfile
from collections.abc import Iterable

import anyio
from absl import app, flags

from bench import usage
from plumvane.chunks.folder import ChunkFolder, digest_of
from plumvane.partitions.compaction import Compaction
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.moving import KEY_HASH_BYTES, ResultMover
from plumvane.partitions.records import ResultsMoved
from plumvane.peers.messages import ChunkRef, Complete, Outcome, Settled
from plumvane.requests.claims import ClaimedRun
from plumvane.requests.key_index import KeyIndex
from plumvane.requests.ledger import OwnerState, RequestLedger, RunControl
from plumvane.requests.moved_results import ResultChunkCache
from plumvane.store.http import HttpStore
from standins.launcher import Fleet

__all__ = ["main"]

_MOVE = flags.DEFINE_bool("move", True, "Move results to chunks.")
_RESULTS = flags.DEFINE_multi_integer(
    "results",
    [10_000, 30_000, 50_000],
    "Number of results at each measurement.",
)
_BODY = flags.DEFINE_integer("body", 1000, "Size of a result body in bytes.")

_INDEX_KEYS = flags.DEFINE_multi_integer(
    "index_keys", [], "Number of keys at each measurement of the index."
)

CONCURRENT_REQUESTS = 500
# A chunk of 150 to 200 KB holds about this many results of about 1.3 KB.
KEYS_PER_CHUNK = 130
COMPACTION_POLL_S = 0.2
RETENTION_S = 86_400.0


class _StubRunControl(RunControl):
    async def settle(self, run: ClaimedRun) -> Settled:
        return Settled("unknown")

    async def stop(self, run: ClaimedRun) -> None:
        return

    async def acknowledge(self, run: ClaimedRun) -> None:
        return


class _FolderChunkStore:
    """Chunk store over two folders that replace two bulk instances."""

    def __init__(self, paths: list[pathlib.Path]) -> None:
        self._folders = [ChunkFolder(path) for path in paths]

    def available(self) -> bool:
        return True

    async def store(self, data: bytes) -> tuple[str, tuple[str, ...]]:
        for folder in self._folders:
            await folder.store(digest_of(data), data)
        return digest_of(data), ("127.0.0.1:7001", "127.0.0.1:7002")

    async def fetch(self, digest: str, addresses: Iterable[str]) -> bytes:
        return await self._folders[0].fetch(digest)


async def _compact_when_due(compaction: Compaction) -> None:
    while True:
        await anyio.sleep(COMPACTION_POLL_S)
        if compaction.is_due():
            await compaction.run()


async def _complete_requests(
    ledger: RequestLedger, first: int, count: int
) -> None:
    """Completes requests with distinct random result bodies."""
    async with anyio.create_task_group() as group:
        for number in range(first, first + count):
            body = os.urandom(_BODY.value)
            key = f"caller-key-{number:012}"
            message = Complete(
                0, "intake", key, f"r0000-{number:024}", b"d" * 32,
                Outcome(200, body),
            )  # fmt: skip
            group.start_soon(ledger.complete, message)


async def _measure(store_url: str, folders: list[pathlib.Path]) -> None:
    store = HttpStore(store_url)
    chunks = _FolderChunkStore(folders)
    log = PartitionLog(store, 0, 1, retention_s=lambda: RETENTION_S)
    await log.recover()
    state = OwnerState(lambda: True, lambda: False, lambda: RETENTION_S)
    async with anyio.create_task_group() as group:
        ledger = RequestLedger(
            0,
            log,
            state,
            _StubRunControl(),
            group.start_soon,
            ResultChunkCache(chunks),
        )
        if _MOVE.value:
            log.mover = ResultMover(chunks, ledger.apply_move)
        group.start_soon(log.run)
        compaction = Compaction(log)
        group.start_soon(_compact_when_due, compaction)
        completed = 0
        for target in _RESULTS.value:
            while completed < target:
                await _complete_requests(
                    ledger,
                    completed,
                    min(CONCURRENT_REQUESTS, target - completed),
                )
                completed += CONCURRENT_REQUESTS
            while compaction.is_due():
                await anyio.sleep(COMPACTION_POLL_S)
            await _print_figures(store, ledger, target)
        group.cancel_scope.cancel()


async def _print_figures(
    store: HttpStore, ledger: RequestLedger, target: int
) -> None:
    gc.collect()
    resident_mb = usage.resident_mb(os.getpid())
    store_bytes = 0
    for number in range(100_000):
        key = f"partitions/0000/segments/{number:08}"
        record = await store.get(key)
        if record is not None:
            store_bytes += len(record.value)
        elif number * 20 > target:
            break
    figures = {
        "move": _MOVE.value,
        "results": target,
        "bodies_in_memory": len(ledger),
        "resident_mb": round(resident_mb, 2),
        "store_bytes": store_bytes,
        "chunks": sum(1 for _ in ledger.chunks()),
    }
    print(json.dumps(figures), flush=True)


def _measure_index() -> None:
    index = KeyIndex()
    keys = 0
    for target in _INDEX_KEYS.value:
        while keys < target:
            digest = os.urandom(32).hex()
            ref = ChunkRef(digest, 0, KEYS_PER_CHUNK, ("bulk-0", "bulk-1"))
            hashes = os.urandom(KEYS_PER_CHUNK * KEY_HASH_BYTES)
            index.add(ResultsMoved(ref, hashes, 0.0))
            keys += KEYS_PER_CHUNK
        resident_mb = round(usage.resident_mb(os.getpid()), 2)
        print(json.dumps({"keys": keys, "resident_mb": resident_mb}))


def main(argv: list[str]) -> None:
    """Runs the measurements."""
    del argv
    if _INDEX_KEYS.value:
        _measure_index()
        return
    with (
        tempfile.TemporaryDirectory() as name,
        Fleet(pathlib.Path(name)) as fleet,
    ):
        fleet.start_platform()
        fleet.wait_started()
        folders = [pathlib.Path(name, f"bulk-{n}") for n in range(2)]
        for folder in folders:
            folder.mkdir()
        anyio.run(_measure, fleet["store"].url, folders)


if __name__ == "__main__":
    app.run(main)

"""Tests of the chunk folder and of the tracking of references."""

from __future__ import annotations

import os
import pathlib
import tempfile
from unittest import mock

import anyio

from plumvane import clock
from plumvane.chunks.folder import PARTIAL_FILE_EXPIRY_S, ChunkFolder, digest_of
from plumvane.chunks.references import (
    MAX_QUERY_GAP_S,
    QUERY_CYCLE_S,
    RETENTION_S,
    ReferenceTracker,
)
from plumvane.errors import BadRequestError, BulkUnavailableError, NotFoundError

DATA = b"some results" * 100
DIGEST = digest_of(DATA)


def _corrupt(path: pathlib.Path) -> None:
    path.write_bytes(b"x" + path.read_bytes()[1:])


def test_corrupt_chunk_is_not_found_and_can_be_stored_again() -> None:
    async def check(folder: pathlib.Path) -> None:
        chunks = ChunkFolder(folder)
        await chunks.store(DIGEST, DATA)
        _corrupt(folder / DIGEST[:2] / DIGEST)
        await chunks.store(DIGEST, DATA)
        assert await chunks.fetch(DIGEST) == DATA
        _corrupt(folder / DIGEST[:2] / DIGEST)
        try:
            await chunks.fetch(DIGEST)
        except NotFoundError:
            pass
        else:
            raise AssertionError("the corrupt chunk was returned")
        assert await chunks.find([DIGEST]) == ()

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(check, pathlib.Path(folder))


def test_scrub_removes_corrupt_chunks_and_expired_partial_files() -> None:
    async def check(folder: pathlib.Path) -> None:
        chunks = ChunkFolder(folder)
        await chunks.store(DIGEST, DATA)
        other = digest_of(b"other")
        await chunks.store(other, b"other")
        _corrupt(folder / DIGEST[:2] / DIGEST)
        expired = folder / DIGEST[:2] / f".{DIGEST}.stale"
        recent = folder / DIGEST[:2] / f".{DIGEST}.young"
        for path in (expired, recent):
            path.write_bytes(b"half")
        os.utime(
            expired, (0, expired.stat().st_mtime - 2 * PARTIAL_FILE_EXPIRY_S)
        )
        await chunks.scrub()
        assert await chunks.find([DIGEST, other]) == (other,)
        assert (expired.exists(), recent.exists()) == (False, True)

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(check, pathlib.Path(folder))


def test_wrong_digest_and_unwritable_folder_are_reported_as_errors() -> None:
    async def check(folder: pathlib.Path) -> None:
        chunks = ChunkFolder(folder)
        for digest, data in ((DIGEST, b"else"), ("../../etc/passwd", DATA)):
            try:
                await chunks.store(digest, data)
            except BadRequestError:
                continue
            raise AssertionError(f"{digest} was accepted")
        # A file occupies the path of the chunk's folder.
        (folder / DIGEST[:2]).write_bytes(b"")
        try:
            await chunks.store(DIGEST, DATA)
        except BulkUnavailableError:
            return
        raise AssertionError("the chunk was accepted")

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(check, pathlib.Path(folder))


def test_only_chunks_past_their_retention_are_removed() -> None:
    async def check(folder: pathlib.Path) -> None:
        chunks = ChunkFolder(folder)
        contents = (b"asked for", b"written again", b"young", b"forgotten")
        digests = [digest_of(data) for data in contents]
        for digest, data in zip(digests, contents, strict=True):
            await chunks.store(digest, data)
        for digest in digests:
            if digest != digests[2]:
                os.utime(folder / digest[:2] / digest, (0, 1000.0))
        assert await chunks.find(digests[:1]) == (digests[0],)
        await chunks.store(digests[1], contents[1])
        assert await chunks.remove_unreferenced(2000.0) == 1
        assert await chunks.find(digests) == tuple(digests[:3])

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(check, pathlib.Path(folder))


def test_nothing_is_removed_before_a_full_cycle_of_queries() -> None:
    now = [1000.0]
    with mock.patch.object(clock, "monotonic", lambda: now[0]):
        tracker = ReferenceTracker()
        assert tracker.removal_cutoff() is None
        for _ in range(int(QUERY_CYCLE_S / 10)):
            tracker.record_query()
            assert tracker.removal_cutoff() is None
            now[0] += 10
        cutoff = tracker.removal_cutoff()
        assert cutoff is not None
        assert cutoff <= clock.wall() - RETENTION_S
        # After a gap in the queries a full cycle has to pass again.
        now[0] += MAX_QUERY_GAP_S + 1
        assert tracker.removal_cutoff() is None
        tracker.record_query()
        assert tracker.removal_cutoff() is None

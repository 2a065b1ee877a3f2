"""Chunks on the disk."""

from __future__ import annotations

import os
import pathlib
import tempfile
from unittest import mock

import anyio

from plumvane import clock
from plumvane.chunks.folder import STALE_S, ChunkFolder, digest_of
from plumvane.chunks.references import (
    SETTLED_S,
    SILENCE_S,
    UNREFERENCED_S,
    References,
)
from plumvane.errors import BadRequestError, BulkUnavailableError, NotFoundError

DATA = b"some results" * 100
DIGEST = digest_of(DATA)


def _damage(path: pathlib.Path) -> None:
    path.write_bytes(b"x" + path.read_bytes()[1:])


def test_damaged_chunk_is_not_found_and_can_be_stored_again() -> None:
    async def check(folder: pathlib.Path) -> None:
        chunks = ChunkFolder(folder)
        await chunks.store(DIGEST, DATA)
        _damage(folder / DIGEST[:2] / DIGEST)
        await chunks.store(DIGEST, DATA)
        assert await chunks.fetch(DIGEST) == DATA
        _damage(folder / DIGEST[:2] / DIGEST)
        try:
            await chunks.fetch(DIGEST)
        except NotFoundError:
            pass
        else:
            raise AssertionError("the damaged chunk was given")
        assert await chunks.find([DIGEST]) == ()

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(check, pathlib.Path(folder))


def test_scrub_removes_damaged_chunks_and_stale_partial_files() -> None:
    async def check(folder: pathlib.Path) -> None:
        chunks = ChunkFolder(folder)
        await chunks.store(DIGEST, DATA)
        other = digest_of(b"other")
        await chunks.store(other, b"other")
        _damage(folder / DIGEST[:2] / DIGEST)
        stale = folder / DIGEST[:2] / f".{DIGEST}.stale"
        young = folder / DIGEST[:2] / f".{DIGEST}.young"
        for path in (stale, young):
            path.write_bytes(b"half")
        os.utime(stale, (0, stale.stat().st_mtime - 2 * STALE_S))
        await chunks.scrub()
        assert await chunks.find([DIGEST, other]) == (other,)
        assert (stale.exists(), young.exists()) == (False, True)

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(check, pathlib.Path(folder))


def test_wrong_digest_and_unwritable_disk_are_errors_with_codes() -> None:
    async def check(folder: pathlib.Path) -> None:
        chunks = ChunkFolder(folder)
        for digest, data in ((DIGEST, b"else"), ("../../etc/passwd", DATA)):
            try:
                await chunks.store(digest, data)
            except BadRequestError:
                continue
            raise AssertionError(f"{digest} was taken")
        # A file stands where the chunk's folder must be.
        (folder / DIGEST[:2]).write_bytes(b"")
        try:
            await chunks.store(DIGEST, DATA)
        except BulkUnavailableError:
            return
        raise AssertionError("the chunk was taken")

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(check, pathlib.Path(folder))


def test_only_chunks_unreferenced_for_long_are_removed() -> None:
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


def test_nothing_is_removed_before_the_owners_have_asked_for_all() -> None:
    now = [1000.0]
    with mock.patch.object(clock, "monotonic", lambda: now[0]):
        asked = References()
        assert asked.unreferenced_before() is None
        for _ in range(int(SETTLED_S / 10)):
            asked.note_asked()
            assert asked.unreferenced_before() is None
            now[0] += 10
        before = asked.unreferenced_before()
        assert before is not None
        assert before <= clock.wall() - UNREFERENCED_S
        # A silence of all owners starts the time anew.
        now[0] += SILENCE_S + 1
        assert asked.unreferenced_before() is None
        asked.note_asked()
        assert asked.unreferenced_before() is None

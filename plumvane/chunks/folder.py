"""Chunks as files below one data folder."""

from __future__ import annotations

import hashlib
import os
import pathlib
import secrets
import threading
from collections.abc import Iterable

import anyio
import anyio.to_thread

from plumvane import clock, events
from plumvane.errors import (
    BadRequestError,
    BulkUnavailableError,
    NotFoundError,
)

__all__ = ["ChunkFolder", "digest_of"]

HEX_DIGITS = frozenset("0123456789abcdef")
SCRUB_BYTES_PER_S = 8 * 1024 * 1024
# A partial file of this age is left over from a crash.
STALE_S = 600.0
# The time of a chunk's last reference is kept to this, as its file's time.
REFERENCE_S = 3600.0


def digest_of(data: bytes) -> str:
    """Returns the SHA-256 of a chunk, in hex."""
    return hashlib.sha256(data).hexdigest()


class ChunkFolder:
    """Keeps immutable chunks; a stored chunk survives a crash."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Opens the folder.

        Args:
            folder: Data folder; it must exist.
        """
        self._folder = folder
        # Nobody refers to a chunk anew while it is being removed.
        self._lock = threading.Lock()

    async def store(self, digest: str, data: bytes) -> None:
        """Writes a chunk and forces it to the disk.

        Raises:
            BadRequestError: The digest is not the data's.
            BulkUnavailableError: The disk does not take it.
        """
        if digest_of(data) != digest:
            raise BadRequestError("The chunk does not match its digest.")
        path = self._path(digest)
        try:
            await anyio.to_thread.run_sync(self._write, path, digest, data)
        except OSError as error:
            raise BulkUnavailableError(
                f"The chunk cannot be written: {error.strerror}."
            ) from error

    async def fetch(self, digest: str) -> bytes:
        """Returns a chunk.

        Raises:
            NotFoundError: There is no such chunk, or it is damaged.
        """
        path = self._path(digest)
        data = await anyio.to_thread.run_sync(_read_whole, path, digest)
        if data is None:
            raise NotFoundError(f"There is no whole chunk {digest} here.")
        return data

    async def find(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Returns those of some chunks that are here, as referred to now."""
        paths = [(digest, self._path(digest)) for digest in digests]
        return await anyio.to_thread.run_sync(self._existing, paths)

    async def remove_unreferenced(self, before: float) -> int:
        """Removes chunks that nobody has referred to for long.

        Args:
            before: When they were last referred to at the latest, seconds
                since the Unix epoch.

        Returns:
            How many were removed.
        """
        return await anyio.to_thread.run_sync(self._remove_before, before)

    async def scrub(self) -> None:
        """Reads every chunk once, slowly, and removes damaged ones.

        Files that a crash left behind half written are removed too.
        """
        for path in await anyio.to_thread.run_sync(self._files):
            if path.name.startswith("."):
                await anyio.to_thread.run_sync(_remove_stale, path)
                continue
            data = await anyio.to_thread.run_sync(_read_whole, path, path.name)
            await anyio.sleep(len(data or b"") / SCRUB_BYTES_PER_S)

    def _path(self, digest: str) -> pathlib.Path:
        if len(digest) != 64 or not set(digest) <= HEX_DIGITS:
            raise BadRequestError("A digest is 64 lower-case hex digits.")
        return self._folder / digest[:2] / digest

    def _files(self) -> list[pathlib.Path]:
        return sorted(self._folder.glob("??/*")) + sorted(
            self._folder.glob("??/.*")
        )

    def _existing(
        self, paths: list[tuple[str, pathlib.Path]]
    ) -> tuple[str, ...]:
        return tuple(digest for digest, path in paths if self._refer(path))

    def _refer(self, path: pathlib.Path) -> bool:
        """Notes that a chunk is referred to; returns whether it is here."""
        with self._lock:
            try:
                if path.stat().st_mtime < clock.wall() - REFERENCE_S:
                    os.utime(path)
            except FileNotFoundError:
                return False
        return True

    def _remove_before(self, before: float) -> int:
        removed = 0
        for path in self._folder.glob("??/*"):
            with self._lock:
                if _is_chunk(path) and path.stat().st_mtime < before:
                    path.unlink()
                    removed += 1
        return removed

    def _write(self, path: pathlib.Path, digest: str, data: bytes) -> None:
        is_here = self._refer(path)
        if not is_here or _read_whole(path, digest) is None:
            path.parent.mkdir(exist_ok=True)
            partial = path.with_name(f".{digest}.{secrets.token_hex(4)}")
            with open(partial, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(partial, path)
        _sync_folder(path.parent)
        _sync_folder(self._folder)


def _read_whole(path: pathlib.Path, digest: str) -> bytes | None:
    """Reads a chunk; a damaged one is removed and None returned."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        events.log(
            events.Event.CHUNK_DAMAGED, chunk=digest, cause=str(error.strerror)
        )
        return None
    if digest_of(data) != digest:
        events.log(
            events.Event.CHUNK_DAMAGED, chunk=digest, cause="wrong digest"
        )
        path.unlink(missing_ok=True)
        return None
    return data


def _is_chunk(path: pathlib.Path) -> bool:
    return len(path.name) == 64 and path.is_file()


def _remove_stale(path: pathlib.Path) -> None:
    """Removes a partial file that no running write can own."""
    try:
        if path.stat().st_mtime < clock.wall() - STALE_S:
            path.unlink()
    except FileNotFoundError:
        return


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)

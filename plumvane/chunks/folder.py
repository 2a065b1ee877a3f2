"""Stores chunks as files in a data folder."""

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
# A partially written file that is older than this was left by a crash.
PARTIAL_FILE_EXPIRY_S = 600.0
# Resolution of a chunk's last reference time, which is kept as the modification
# time of its file.
REFERENCE_GRANULARITY_S = 3600.0


def digest_of(data: bytes) -> str:
    """Returns the SHA-256 of a chunk, in hex."""
    return hashlib.sha256(data).hexdigest()


class ChunkFolder:
    """Stores immutable chunks durably: a stored chunk survives a crash."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Opens the folder.

        Args:
            folder: Existing data folder.
        """
        self._folder = folder
        # Makes checking a chunk's reference time and removing the chunk atomic,
        # so that no new reference is recorded during the removal.
        self._lock = threading.Lock()

    async def store(self, digest: str, data: bytes) -> None:
        """Writes a chunk and syncs it to the disk.

        Raises:
            BadRequestError: The digest is invalid or does not match the data.
            BulkUnavailableError: The file cannot be written.
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
            NotFoundError: The chunk does not exist or is corrupt.
        """
        path = self._path(digest)
        data = await anyio.to_thread.run_sync(_read_verified, path, digest)
        if data is None:
            raise NotFoundError(f"Chunk {digest} does not exist or is corrupt.")
        return data

    async def find(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Returns the digests that exist, and marks them as referenced now."""
        paths = [(digest, self._path(digest)) for digest in digests]
        return await anyio.to_thread.run_sync(self._reference_existing, paths)

    async def remove_unreferenced(self, before: float) -> int:
        """Removes chunks whose last reference is older than a given time.

        Args:
            before: The time, seconds since the Unix epoch.

        Returns:
            Number of removed chunks.
        """
        return await anyio.to_thread.run_sync(self._remove_unreferenced, before)

    async def scrub(self) -> None:
        """Reads every chunk once at a limited rate and removes corrupt ones.

        Partially written files that a crash left behind are removed too.
        """
        for path in await anyio.to_thread.run_sync(self._list_files):
            if path.name.startswith("."):
                await anyio.to_thread.run_sync(_remove_expired_partial, path)
                continue
            data = await anyio.to_thread.run_sync(
                _read_verified, path, path.name
            )
            await anyio.sleep(len(data or b"") / SCRUB_BYTES_PER_S)

    def _path(self, digest: str) -> pathlib.Path:
        if len(digest) != 64 or not set(digest) <= HEX_DIGITS:
            raise BadRequestError(
                "A digest must be 64 lower-case hexadecimal digits."
            )
        return self._folder / digest[:2] / digest

    def _list_files(self) -> list[pathlib.Path]:
        return sorted(self._folder.glob("??/*")) + sorted(
            self._folder.glob("??/.*")
        )

    def _reference_existing(
        self, paths: list[tuple[str, pathlib.Path]]
    ) -> tuple[str, ...]:
        return tuple(
            digest for digest, path in paths if self._record_reference(path)
        )

    def _record_reference(self, path: pathlib.Path) -> bool:
        """Records a reference to a chunk; returns whether it exists."""
        with self._lock:
            try:
                if (
                    path.stat().st_mtime
                    < clock.wall() - REFERENCE_GRANULARITY_S
                ):
                    os.utime(path)
            except FileNotFoundError:
                return False
        return True

    def _remove_unreferenced(self, before: float) -> int:
        removed = 0
        for path in self._folder.glob("??/*"):
            with self._lock:
                if _is_chunk(path) and path.stat().st_mtime < before:
                    path.unlink()
                    removed += 1
        return removed

    def _write(self, path: pathlib.Path, digest: str, data: bytes) -> None:
        exists = self._record_reference(path)
        if not exists or _read_verified(path, digest) is None:
            path.parent.mkdir(exist_ok=True)
            partial_path = path.with_name(f".{digest}.{secrets.token_hex(4)}")
            with open(partial_path, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(partial_path, path)
        _sync_folder(path.parent)
        _sync_folder(self._folder)


def _read_verified(path: pathlib.Path, digest: str) -> bytes | None:
    """Returns a chunk, or None if it is missing, unreadable or corrupt.

    A corrupt file is removed.
    """
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
            events.Event.CHUNK_DAMAGED, chunk=digest, cause="digest mismatch"
        )
        path.unlink(missing_ok=True)
        return None
    return data


def _is_chunk(path: pathlib.Path) -> bool:
    return len(path.name) == 64 and path.is_file()


def _remove_expired_partial(path: pathlib.Path) -> None:
    """Removes a partial file that is too old for a write in progress."""
    try:
        if path.stat().st_mtime < clock.wall() - PARTIAL_FILE_EXPIRY_S:
            path.unlink()
    except FileNotFoundError:
        return


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)

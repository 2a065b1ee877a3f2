"""Chunks as files below one data folder."""

from __future__ import annotations

import hashlib
import os
import pathlib
import secrets

import anyio.to_thread

from plumvane.errors import BadRequestError, NotFoundError

__all__ = ["ChunkFolder", "digest_of"]


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

    async def store(self, digest: str, data: bytes) -> None:
        """Writes a chunk and forces it to the disk.

        Raises:
            BadRequestError: The digest is not the data's.
        """
        if digest_of(data) != digest:
            raise BadRequestError("The chunk does not match its digest.")
        await anyio.to_thread.run_sync(self._write, digest, data)

    async def fetch(self, digest: str) -> bytes:
        """Returns a chunk.

        Raises:
            NotFoundError: There is no such chunk, or it is damaged.
        """
        try:
            data = await anyio.to_thread.run_sync(self._path(digest).read_bytes)
        except FileNotFoundError:
            raise NotFoundError(f"There is no chunk {digest}.") from None
        if digest_of(data) != digest:
            raise NotFoundError(f"Chunk {digest} is damaged here.")
        return data

    def _path(self, digest: str) -> pathlib.Path:
        if len(digest) != 64 or not digest.isalnum():
            raise BadRequestError("A digest is 64 hex digits.")
        return self._folder / digest[:2] / digest

    def _write(self, digest: str, data: bytes) -> None:
        path = self._path(digest)
        if path.exists():
            return
        path.parent.mkdir(exist_ok=True)
        partial = path.with_name(f".{digest}.{secrets.token_hex(4)}")
        with open(partial, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(partial, path)
        _sync_folder(path.parent)


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)

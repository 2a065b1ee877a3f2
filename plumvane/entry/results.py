"""Reads the results of a batch job in the order of its items."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator

import msgspec

from plumvane.chunks.cache import ChunkCache
from plumvane.chunks.client import ChunkClient
from plumvane.peers.messages import ChunkRef, FailedItem, ResultPage

__all__ = ["ResultReader"]

# Result chunks that go on in the next page are kept for it.
CACHED_CHUNKS = 8

_results_decoder = msgspec.msgpack.Decoder(list[tuple[int, bytes]])
_input_decoder = msgspec.msgpack.Decoder(list[bytes])


class ResultReader:
    """Joins result lines and failed items, a page of references at a time."""

    def __init__(
        self, chunks: ChunkClient, pages: AsyncIterator[ResultPage]
    ) -> None:
        """Creates a reader.

        Args:
            chunks: Client of the bulk instances.
            pages: Pages of references, in the order of the items.
        """
        self._results = ChunkCache(chunks, CACHED_CHUNKS)
        self._inputs = ChunkCache(chunks, 1)
        self._pages = pages

    async def blocks(self) -> AsyncIterator[bytes]:
        """Yields the lines of each page, joined.

        Raises:
            BulkUnavailableError: A chunk cannot be read now.
        """
        from_item = 0
        async for page in self._pages:
            lines_by_index: dict[int, bytes] = {}
            for ref in page.results:
                lines_by_index.update(
                    await self._read(ref, from_item, page.next_item)
                )
            for item in page.failed:
                lines_by_index[item.index] = await self._failed(page, item)
            if lines_by_index:
                yield b"".join(
                    lines_by_index[index] + b"\n"
                    for index in sorted(lines_by_index)
                )
            from_item = page.next_item

    async def _read(
        self, ref: ChunkRef, from_item: int, next_item: int
    ) -> dict[int, bytes]:
        """Returns the lines of a chunk that belong to a page, by index."""
        data = await self._results.fetch(ref)
        wanted = set(ref.covered())
        return {
            index: line
            for index, line in _results_decoder.decode(data)
            if index in wanted and from_item <= index < next_item
        }

    async def _failed(self, page: ResultPage, item: FailedItem) -> bytes:
        answer = {
            "id": None,
            "custom_id": await self._custom_id(page, item.index),
            "response": None,
            "error": {
                "code": f"item_{item.kind.value}",
                "message": item.cause,
            },
        }
        return json.dumps(answer).encode()

    async def _custom_id(self, page: ResultPage, index: int) -> str | None:
        for chunk in page.chunks:
            offset = index - chunk.first_item
            if 0 <= offset < chunk.items:
                lines = _input_decoder.decode(await self._inputs.fetch(chunk))
                return str(json.loads(lines[offset])["custom_id"])
        return None

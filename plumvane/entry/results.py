"""Reads the results of a batch job in the order of its items."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator

import msgspec

from plumvane.chunks.cache import ChunkCache
from plumvane.chunks.client import ChunkClient
from plumvane.peers.messages import ChunkRef, FailedItem, ResultPage

__all__ = ["ResultReader"]

# A result chunk may cover several pages, so recently read chunks are cached.
CACHED_CHUNKS = 8

_results_decoder = msgspec.msgpack.Decoder(list[tuple[int, bytes]])
_input_decoder = msgspec.msgpack.Decoder(list[bytes])


class ResultReader:
    """Merges result lines and failed items, one page at a time."""

    def __init__(
        self, chunks: ChunkClient, pages: AsyncIterator[ResultPage]
    ) -> None:
        """Creates a reader.

        Args:
            chunks: Client of the bulk instances.
            pages: Pages of references, in item order.
        """
        self._results = ChunkCache(chunks, CACHED_CHUNKS)
        self._inputs = ChunkCache(chunks, 1)
        self._pages = pages

    async def blocks(self) -> AsyncIterator[bytes]:
        """Yields the lines of each page as one block, in item order.

        Raises:
            BulkUnavailableError: A chunk is currently unavailable.
        """
        from_item = 0
        async for page in self._pages:
            lines_by_index: dict[int, bytes] = {}
            for ref in page.results:
                lines_by_index.update(
                    await self._read_lines(ref, from_item, page.next_item)
                )
            for item in page.failed:
                lines_by_index[item.index] = await self._failed_line(page, item)
            if lines_by_index:
                yield b"".join(
                    lines_by_index[index] + b"\n"
                    for index in sorted(lines_by_index)
                )
            from_item = page.next_item

    async def _read_lines(
        self, ref: ChunkRef, from_item: int, next_item: int
    ) -> dict[int, bytes]:
        """Returns the lines of a chunk within a page, by item index."""
        data = await self._results.fetch(ref)
        covered_indices = set(ref.covered())
        return {
            index: line
            for index, line in _results_decoder.decode(data)
            if index in covered_indices and from_item <= index < next_item
        }

    async def _failed_line(self, page: ResultPage, item: FailedItem) -> bytes:
        result = {
            "id": None,
            "custom_id": await self._custom_id(page, item.index),
            "response": None,
            "error": {
                "code": f"item_{item.kind.value}",
                "message": item.cause,
            },
        }
        return json.dumps(result).encode()

    async def _custom_id(self, page: ResultPage, index: int) -> str | None:
        for chunk in page.chunks:
            offset = index - chunk.first_item
            if 0 <= offset < chunk.items:
                lines = _input_decoder.decode(await self._inputs.fetch(chunk))
                return str(json.loads(lines[offset])["custom_id"])
        return None

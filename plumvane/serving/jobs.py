"""Records of batch jobs in the store: head, items, results and progress."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

import msgspec
import xxhash

from plumvane.decoding import decode
from plumvane.errors import ProtocolError

__all__ = [
    "PAGE_BYTES",
    "Item",
    "ItemProgress",
    "ItemResult",
    "Job",
    "Submission",
    "decode_items",
    "decode_progress",
    "decode_result",
    "encode_items",
    "encode_progress",
    "encode_result",
    "pack_items",
    "results_page",
]

# Largest total size of the items in one value, in bytes; the store allows
# values of 1 MiB.
ITEMS_VALUE_BYTES = 600_000
# Largest total size of the texts in one page of results, in bytes; the platform
# allows responses of 1 MB.
PAGE_BYTES = 800_000

T = TypeVar("T")


class Item(msgspec.Struct, frozen=True):
    """An item of a batch job.

    Attributes:
        item_id: Identifier, unique in the job.
        path: Path of its request.
        headers: Headers of its request, by name.
        body: Body of its request.
        output_tokens: Largest number of tokens that it generates; 0 if unknown.
    """

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    output_tokens: int = 0


class Submission(msgspec.Struct, frozen=True):
    """A batch job as submitted by its caller.

    Attributes:
        job_id: Identifier of the job.
        host: Host header of its route and its items.
        items: Items in the order of submission.
    """

    job_id: str
    host: str
    items: tuple[Item, ...]


class ItemResult(msgspec.Struct, frozen=True):
    """The final outcome of an item.

    Attributes:
        item_id: Identifier of the item.
        is_completed: Whether the text is complete; False if the item was given
            up.
        text: Data of its events, separated by line feeds.
    """

    item_id: str
    is_completed: bool
    text: str

    def digest(self) -> str:
        """Returns a digest that identifies the result in logs."""
        fields = f"{self.item_id}\0{self.is_completed}\0{self.text}"
        return xxhash.xxh3_64_hexdigest(fields.encode())


class ItemProgress(msgspec.Struct, frozen=True):
    """Checkpoint of an unfinished item, for the job's next owner.

    Attributes:
        item_id: Identifier of the item.
        last_event_id: Number of the last event received.
        texts: Data of the events received.
        version: Software version of the upstreams that sent them.
    """

    item_id: str
    last_event_id: int
    texts: list[str]
    version: str = ""


class Job(msgspec.Struct):
    """Head record of a batch job; items and results have keys of their own.

    Each write of results also writes the head, conditional on the revision that
    the writer has read, so that two owners cannot list an item twice.

    Attributes:
        job_id: Identifier of the job.
        host: Host header of its route and its items.
        item_ids: Identifiers of its items in the order of submission.
        chunk_by_item: For each item, the number of the value that holds it.
        submitted_ms: Unix time of its acceptance in milliseconds.
        due_ms: Unix time in milliseconds at which all results are due.
        retention_ms: Unix time in milliseconds after which unfinished items may
            be given up.
        max_attempts: Number of failed runs after which an item is given up.
        owner: Incarnation of the worker that runs it; empty if there is none.
        is_ended: Whether its caller has ended it.
        listed_ids: Identifiers of the items with a result, by position.
        failures_by_id: Number of failed runs by item.
        has_progress: Whether the last owner stored checkpoints of its items.
        team: Team that submitted it; empty if callers needed no keys.
        route_name: Name of the route that accepted it; empty in heads of
            earlier releases.
        path_prefix: Path prefix that the route had then.
    """

    job_id: str
    host: str
    item_ids: list[str]
    chunk_by_item: list[int]
    submitted_ms: int
    due_ms: int
    retention_ms: int
    max_attempts: int
    owner: str = ""
    is_ended: bool = False
    listed_ids: list[str] = []
    failures_by_id: dict[str, int] = {}
    has_progress: bool = False
    team: str = ""
    route_name: str = ""
    path_prefix: str = ""

    def is_open(self) -> bool:
        """Returns whether further results can be appended."""
        return not self.is_ended and len(self.listed_ids) < len(self.item_ids)

    def pending_ids(self) -> list[str]:
        """Returns the items without a result, in the order of submission."""
        listed = set(self.listed_ids)
        return [i for i in self.item_ids if i not in listed]

    def append_result(self, item_id: str) -> int | None:
        """Assigns the next result position to an item.

        Returns:
            The position, or None if the item has one already or the job has
            ended.
        """
        if self.is_ended or item_id in self.listed_ids:
            return None
        self.listed_ids.append(item_id)
        return len(self.listed_ids) - 1

    def encode(self) -> bytes:
        """Encodes the head for the store."""
        return _encoder.encode(self)

    @classmethod
    def decode(cls, value: bytes) -> Job:
        """Decodes a head from the store.

        Raises:
            ProtocolError: The value is not a head of this version.
        """
        return _decode(_job_decoder, value, "head")


_encoder = msgspec.msgpack.Encoder()
_job_decoder = msgspec.msgpack.Decoder(Job)
_items_decoder = msgspec.msgpack.Decoder(list[Item])
_progress_decoder = msgspec.msgpack.Decoder(list[ItemProgress])
_result_decoder = msgspec.msgpack.Decoder(ItemResult)


def pack_items(items: tuple[Item, ...]) -> list[list[Item]]:
    """Splits items into chunks that each fit one value of the store.

    Args:
        items: Items in the order of submission.
    """
    chunks: list[list[Item]] = [[]]
    size = 0
    for item in items:
        item_size = len(item.body) + len(item.path) + _headers_size(item)
        if chunks[-1] and size + item_size > ITEMS_VALUE_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(item)
        size += item_size
    return chunks


def results_page(
    results_by_position: Mapping[int, ItemResult], position: int
) -> list[ItemResult]:
    """Returns consecutive results that fit one page.

    Args:
        results_by_position: Known results.
        position: Position of the first result.
    """
    page: list[ItemResult] = []
    size = 0
    while result := results_by_position.get(position + len(page)):
        size += len(result.text)
        if page and size > PAGE_BYTES:
            break
        page.append(result)
    return page


def _headers_size(item: Item) -> int:
    return sum(len(name) + len(value) for name, value in item.headers.items())


def encode_items(items: list[Item]) -> bytes:
    """Encodes items for the store."""
    return _encoder.encode(items)


def decode_items(value: bytes) -> list[Item]:
    """Decodes items from the store.

    Raises:
        ProtocolError: The value is not a list of items of this version.
    """
    return _decode(_items_decoder, value, "list of items")


def encode_result(result: ItemResult) -> bytes:
    """Encodes a result for the store."""
    return _encoder.encode(result)


def decode_result(value: bytes) -> ItemResult:
    """Decodes a result from the store.

    Raises:
        ProtocolError: The value is not a result of this version.
    """
    return _decode(_result_decoder, value, "result")


def encode_progress(progress: list[ItemProgress]) -> bytes:
    """Encodes the checkpoints of a job's items for the store."""
    return _encoder.encode(progress)


def decode_progress(value: bytes) -> list[ItemProgress]:
    """Decodes the checkpoints of a job's items from the store.

    Raises:
        ProtocolError: The value is not a checkpoint of this version.
    """
    return _decode(_progress_decoder, value, "checkpoint")


def _decode(decoder: msgspec.msgpack.Decoder[T], value: bytes, what: str) -> T:
    try:
        return decode(decoder, value)
    except msgspec.MsgspecError as error:
        raise ProtocolError(
            f"The {what} of a batch job cannot be decoded: {error}."
        ) from error

"""Batch jobs as they are kept in the store: head, items and results."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from plumvane.errors import ProtocolError

__all__ = [
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

# Largest encoded value for items, in bytes: the store takes 1 MiB.
ITEMS_VALUE_BYTES = 600_000
# Largest text of the results in one answer to a read, in bytes: the platform
# allows answers of 1 MB.
PAGE_BYTES = 800_000


class Item(msgspec.Struct, frozen=True):
    """An item of a batch job.

    Attributes:
        item_id: Identifier, unique in the job.
        path: Path that it is sent to.
        headers: Headers that it is sent with, by name.
        body: Its body.
        output_tokens: Most tokens that it generates; 0 if unknown.
    """

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    output_tokens: int = 0


class Submission(msgspec.Struct, frozen=True):
    """A batch job as its caller hands it in.

    Attributes:
        job_id: Identifier of the job.
        host: Host header that its items are routed by.
        items: Its items in the caller's order.
    """

    job_id: str
    host: str
    items: tuple[Item, ...]


class ItemResult(msgspec.Struct, frozen=True):
    """The final outcome of an item.

    Attributes:
        item_id: Identifier of the item.
        is_completed: Whether it has its whole text; otherwise it was given up.
        text: Data of its events, separated by line feeds.
    """

    item_id: str
    is_completed: bool
    text: str


class ItemProgress(msgspec.Struct, frozen=True):
    """How far an item is that its worker has handed over.

    Attributes:
        item_id: Identifier of the item.
        last_event_id: Number of the last event that it has.
        texts: Data of the events that it has.
    """

    item_id: str
    last_event_id: int
    texts: list[str]


class Job(msgspec.Struct):
    """Head of a batch job; its items and results have keys of their own.

    Every change of a job's results also writes its head at the revision that
    the writer has seen, so that two owners cannot list an item twice.

    Attributes:
        job_id: Identifier of the job.
        host: Host header that its items are routed by.
        item_ids: Identifiers of its items in the caller's order.
        chunk_by_item: For each item, the number of the value with its body.
        submitted_ms: Unix time of its acceptance in milliseconds.
        due_ms: Unix time in milliseconds at which all results are due.
        retention_ms: Unix time in milliseconds after which items may be given
            up.
        max_attempts: Failed runs after which an item is given up.
        owner: Incarnation of the worker that runs it; empty if none does.
        is_ended: Whether its caller has ended it.
        listed_ids: Identifiers of the items with a result, by position.
        failures_by_id: Failed runs by item.
        has_progress: Whether the last owner left the progress of its items.
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

    def is_open(self) -> bool:
        """Returns whether items may still get results."""
        return not self.is_ended and len(self.listed_ids) < len(self.item_ids)

    def pending_ids(self) -> list[str]:
        """Returns the items without a result, in the caller's order."""
        listed = set(self.listed_ids)
        return [i for i in self.item_ids if i not in listed]

    def append_result(self, item_id: str) -> int | None:
        """Gives an item the next position.

        Returns:
            The position, or None if it has one or the job has ended.
        """
        if self.is_ended or item_id in self.listed_ids:
            return None
        self.listed_ids.append(item_id)
        return len(self.listed_ids) - 1

    def encode(self) -> bytes:
        """Returns its value for the store."""
        return _encoder.encode(self)

    @classmethod
    def decode(cls, value: bytes) -> Job:
        """Reads a job from the store's value.

        Raises:
            ProtocolError: The value is no job of this version.
        """
        try:
            return _job_decoder.decode(value)
        except msgspec.MsgspecError as error:
            raise ProtocolError(
                f"The head of a batch job is not understood: {error}."
            ) from error


_encoder = msgspec.msgpack.Encoder()
_job_decoder = msgspec.msgpack.Decoder(Job)
_items_decoder = msgspec.msgpack.Decoder(list[Item])
_progress_decoder = msgspec.msgpack.Decoder(list[ItemProgress])
_result_decoder = msgspec.msgpack.Decoder(ItemResult)


def pack_items(items: tuple[Item, ...]) -> list[list[Item]]:
    """Parts items into runs that each fit one value of the store.

    Args:
        items: The items in the caller's order.
    """
    runs: list[list[Item]] = [[]]
    size = 0
    for item in items:
        item_size = len(item.body) + len(item.path) + _headers_size(item)
        if runs[-1] and size + item_size > ITEMS_VALUE_BYTES:
            runs.append([])
            size = 0
        runs[-1].append(item)
        size += item_size
    return runs


def results_page(
    results_by_position: Mapping[int, ItemResult], position: int
) -> list[ItemResult]:
    """Returns the results from a position on that fit one answer.

    Args:
        results_by_position: Results that are known.
        position: First position that is wanted.
    """
    found: list[ItemResult] = []
    size = 0
    while result := results_by_position.get(position + len(found)):
        size += len(result.text)
        if found and size > PAGE_BYTES:
            break
        found.append(result)
    return found


def _headers_size(item: Item) -> int:
    return sum(len(name) + len(value) for name, value in item.headers.items())


def encode_items(items: list[Item]) -> bytes:
    """Returns items as a value for the store."""
    return _encoder.encode(items)


def decode_items(value: bytes) -> list[Item]:
    """Reads items from the store's value."""
    return _items_decoder.decode(value)


def encode_result(result: ItemResult) -> bytes:
    """Returns a result as a value for the store."""
    return _encoder.encode(result)


def decode_result(value: bytes) -> ItemResult:
    """Reads a result from the store's value."""
    return _result_decoder.decode(value)


def encode_progress(progress: list[ItemProgress]) -> bytes:
    """Returns the progress of a job's items as a value for the store."""
    return _encoder.encode(progress)


def decode_progress(value: bytes) -> list[ItemProgress]:
    """Reads the progress of a job's items from the store's value."""
    return _progress_decoder.decode(value)

"""Batch calls of callers in the platform's form."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from plumvane.errors import InvalidJsonError
from plumvane.platform import names
from plumvane.serving.jobs import Item, ItemResult, Submission

__all__ = ["decode_submission", "encode_results"]

MAX_ITEMS = 200


class _Item(msgspec.Struct):
    """An item.

    Attributes:
        id: Identifier of the item.
        path: Path that it is sent to.
        headers: Headers that it is sent with.
        body: Its body, as base64 text on the wire.
    """

    id: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""


class _Submission(msgspec.Struct):
    items: list[_Item]


class _Result(msgspec.Struct):
    id: str
    state: str
    text: str


class _Results(msgspec.Struct, rename="kebab"):
    """Results from a position on.

    Attributes:
        total: Number of the job's items.
        next_token: Position after the last result here.
        results: The results.
    """

    total: int
    next_token: int
    results: list[_Result]


_decoder = msgspec.json.Decoder(_Submission)


def decode_submission(job_id: str, host: str, body: bytes) -> Submission:
    """Reads a submitted batch job.

    Args:
        job_id: Identifier of the request, which is that of the job.
        host: Host header of the request.
        body: Body of the request.

    Raises:
        InvalidJsonError: The body is not a batch job.
    """
    try:
        found = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise InvalidJsonError(
            f"The body is not a batch job: {error}."
        ) from error
    if not 0 < len(found.items) <= MAX_ITEMS:
        raise InvalidJsonError(
            f"The job has {len(found.items)} items; "
            f"1 to {MAX_ITEMS} are allowed."
        )
    items = [
        Item(i.id, i.path, i.headers, i.body, _output_tokens(i.headers))
        for i in found.items
    ]
    return Submission(job_id, host, tuple(items))


def _output_tokens(headers: dict[str, str]) -> int:
    """Returns the most tokens that an item generates; 0 if it says none."""
    for name, value in headers.items():
        if name.lower() == names.TOKEN_USAGE_HEADER:
            try:
                return max(0, int(value.partition(",")[2]))
            except ValueError:
                return 0
    return 0


def encode_results(
    total: int, position: int, results: Sequence[ItemResult]
) -> bytes:
    """Returns the answer to a read of a job.

    Args:
        total: Number of the job's items.
        position: Position of the first result.
        results: The results.
    """
    rows = [
        _Result(
            result.item_id,
            "completed" if result.is_completed else "dead_letter",
            result.text,
        )
        for result in results
    ]
    return msgspec.json.encode(_Results(total, position + len(rows), rows))

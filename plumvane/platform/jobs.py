"""Decoding of batch jobs and encoding of their results."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from plumvane.errors import InvalidJsonError
from plumvane.platform import names
from plumvane.serving.jobs import Item, ItemResult, Submission

__all__ = ["decode_submission", "encode_results"]

MAX_ITEMS = 200


class _Item(msgspec.Struct):
    """A batch item.

    Attributes:
        id: Identifier of the item.
        path: Path of its request.
        headers: Headers of its request.
        body: Body of its request; base64 in JSON.
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
    """A page of results.

    Attributes:
        total: Number of items in the job.
        next_token: Position after the last result of the page.
        results: Results of the page.
    """

    total: int
    next_token: int
    results: list[_Result]


_decoder = msgspec.json.Decoder(_Submission)


def decode_submission(job_id: str, host: str, body: bytes) -> Submission:
    """Decodes a submitted batch job.

    Args:
        job_id: Identifier of the request, which is also the job's identifier.
        host: Host header of the request.
        body: Body of the request.

    Raises:
        InvalidJsonError: The body is not a valid batch job.
    """
    try:
        submission = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise InvalidJsonError(
            f"The body is not a valid batch job: {error}."
        ) from error
    if not 0 < len(submission.items) <= MAX_ITEMS:
        raise InvalidJsonError(
            f"The job has {len(submission.items)} items; "
            f"1 to {MAX_ITEMS} are allowed."
        )
    items = [
        Item(i.id, i.path, i.headers, i.body, _output_tokens(i.headers))
        for i in submission.items
    ]
    return Submission(job_id, host, tuple(items))


def _output_tokens(headers: dict[str, str]) -> int:
    """Returns an item's limit on output tokens; 0 if it sets none."""
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
    """Encodes a page of results.

    Args:
        total: Number of items in the job.
        position: Position of the first result.
        results: Results of the page.
    """
    encoded = [
        _Result(
            result.item_id,
            "completed" if result.is_completed else "dead_letter",
            result.text,
        )
        for result in results
    ]
    return msgspec.json.encode(
        _Results(total, position + len(encoded), encoded)
    )

"""Decoding of batch jobs and encoding of their results."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated

import msgspec

from plumvane.decoding import decode
from plumvane.errors import InvalidJsonError
from plumvane.platform import names
from plumvane.serving.jobs import Item, ItemResult, Submission

__all__ = ["decode_submission", "encode_results"]

MAX_ITEMS = 200


# What an HTTP request can carry (RFC 9110, section 5); an item that cannot be
# sent must not be accepted. Patterns end with \\Z since $ allows a line feed.
_Identifier = Annotated[str, msgspec.Meta(pattern=r"^[\x21-\x7e]+\Z")]
_Path = Annotated[str, msgspec.Meta(pattern=r"^/[\x21-\x7e]*\Z")]
_HeaderName = Annotated[
    str, msgspec.Meta(pattern=r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
]
_HeaderValue = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^([\x21-\x7e\x80-\xff]"
        r"([\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?)?\Z"
    ),
]


class _Item(msgspec.Struct):
    """A batch item.

    Attributes:
        id: Identifier of the item.
        path: Path of its request.
        headers: Headers of its request.
        body: Body of its request; base64 in JSON.
    """

    id: _Identifier
    path: _Path
    headers: dict[_HeaderName, _HeaderValue] = {}
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
        submission = decode(_decoder, body)
    except msgspec.MsgspecError as error:
        raise InvalidJsonError(
            f"The body is not a valid batch job: {error}."
        ) from error
    if not 0 < len(submission.items) <= MAX_ITEMS:
        raise InvalidJsonError(
            f"The job has {len(submission.items)} items; "
            f"1 to {MAX_ITEMS} are allowed."
        )
    if len({item.id for item in submission.items}) < len(submission.items):
        raise InvalidJsonError("Two items of the job have the same id.")
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
                return max(0, int(value.split(",")[1]))
            except (IndexError, ValueError):
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

"""Validation of the input of a batch job."""

from __future__ import annotations

from collections.abc import AsyncIterator
from unittest import mock

import anyio

from plumvane.entry import batches
from plumvane.entry.batches import JobInput
from plumvane.errors import (
    BadRequestError,
    BodyTooLargeError,
    BulkUnavailableError,
    PlumvaneError,
)
from tests.batches import item_lines

LINES = item_lines([f"plan {n}" for n in range(1000)]).splitlines(True)


class _ChunkStore:
    """Stores chunks in memory, or rejects them when unavailable."""

    def __init__(self, *, is_unavailable: bool = False) -> None:
        self.is_unavailable = is_unavailable
        self.stored: list[bytes] = []

    async def store(self, data: bytes) -> tuple[str, tuple[str, ...]]:
        if self.is_unavailable:
            raise BulkUnavailableError("No instance.", retry_after_s=5.0)
        self.stored.append(data)
        return f"chunk-{len(self.stored)}", ("one", "two")


def _read(body: bytes, *, is_unavailable: bool = False) -> JobInput:
    async def blocks() -> AsyncIterator[bytes]:
        for start in range(0, len(body), 1000):
            yield body[start : start + 1000]

    chunks = _ChunkStore(is_unavailable=is_unavailable)
    job_input = JobInput(chunks)  # type: ignore[arg-type]
    anyio.run(job_input.read, blocks())
    return job_input


def _refusal(body: bytes, **fields: bool) -> PlumvaneError:
    try:
        _read(body, **fields)
    except PlumvaneError as error:
        assert error.not_run
        return error
    raise AssertionError("the input was accepted")


def test_input_is_split_into_chunks_that_cover_it() -> None:
    with mock.patch.object(batches, "CHUNK_BYTES", 4096):
        job_input = _read(b"".join(LINES))
    assert job_input.items == 1000
    ends = [ref.first_item + ref.items for ref in job_input.refs]
    assert [ref.first_item for ref in job_input.refs] == [0, *ends[:-1]]
    assert len(ends) > 1 and ends[-1] == 1000


def test_error_names_the_malformed_line() -> None:
    lines = [*LINES]
    lines[699] = b'{"custom_id": "item-699", "body": \n'
    refusal = _refusal(b"".join(lines))
    assert isinstance(refusal, BadRequestError)
    assert "Line 700 " in refusal.detail


def test_error_names_the_lines_of_a_repeated_custom_id() -> None:
    lines = [*LINES]
    lines[800] = lines[20]
    refusal = _refusal(b"".join(lines))
    assert isinstance(refusal, BadRequestError)
    assert "Line 801 repeats the custom_id of line 21." in refusal.detail


def test_exceeded_limits_are_too_large_errors() -> None:
    body = b"".join(LINES)
    for name, value in (
        ("MAX_ITEMS", 999),
        ("MAX_JOB_BYTES", len(body) // 2),
        ("MAX_LINE_BYTES", 50),
    ):
        with mock.patch.object(batches, name, value):
            refusal = _refusal(body)
        assert isinstance(refusal, BodyTooLargeError)
        assert str(value) in refusal.detail


def test_job_without_items_or_chunks_is_refused() -> None:
    assert isinstance(_refusal(b"\n\n"), BadRequestError)
    refusal = _refusal(LINES[0], is_unavailable=True)
    assert isinstance(refusal, BulkUnavailableError)
    assert refusal.retry_after_s

"""Commands on batch jobs."""

from __future__ import annotations

import os
import secrets
import sys
import time
from collections.abc import Iterator
from typing import Any, BinaryIO
from urllib.parse import quote

from absl import flags

from plumvane.cli.output import format_table, format_time
from plumvane.cli.registry import (
    EXIT_JOB_FAILED,
    EXIT_SUCCESS,
    Context,
    command,
)
from plumvane.errors import BadRequestError, PlumvaneError

__all__: list[str] = []

BLOCK_BYTES = 256 * 1024
POLL_S = 1.0
# `jobs watch` gives up after this long without an answer.
UNANSWERED_S = 120.0
SHOWN_FAILURES = 20

_KEY = flags.DEFINE_string(
    "key", None, "Idempotency key of a new job; one is made if absent."
)
_DEADLINE = flags.DEFINE_string(
    "deadline", None, "Deadline of a new job, seconds since the epoch."
)
_TO = flags.DEFINE_string("to", None, "File that results are written to.")


@command("jobs submit", "FILE|-")
def submit(context: Context) -> int:
    """Submits a job of JSONL; the same --key and file are the same job."""
    key = _KEY.value or f"job-{secrets.token_hex(12)}"
    headers = {"idempotency-key": key}
    if _DEADLINE.value:
        headers["plumvane-deadline"] = _DEADLINE.value
    if not _KEY.value:
        context.output.write_message(
            f"key {key}; give --key={key} to send it again"
        )
    with _open_input(context.argument(0, "FILE")) as file:
        job = context.client.json(
            "POST",
            "/v1/batches",
            content=_blocks(context, file),
            headers=headers,
        )
    context.output.finish_progress()
    context.output.write_result(job, _text(job))
    return EXIT_SUCCESS


@command("jobs list")
def list_jobs(context: Context) -> int:
    """Shows the team's jobs, oldest first."""
    answer = context.client.json("GET", "/v1/batches")
    context.output.write_result(answer, _table(answer["jobs"]))
    return EXIT_SUCCESS


@command("jobs show", "JOB")
def show(context: Context) -> int:
    """Shows a job's progress and its failed items."""
    job = context.client.json("GET", _path(context))
    context.output.write_result(job, _text(job))
    return EXIT_SUCCESS


@command("jobs watch", "JOB")
def watch(context: Context) -> int:
    """Follows a job to its end; exit code 6 if not all items are done."""
    shown = -1
    answered = time.monotonic()
    while True:
        job = _poll(context, answered)
        if job is not None:
            answered = time.monotonic()
            ended = job["done"] + job["failed_count"]
            label = f"{ended} of {job['items']} items, {job['state']}"
            context.output.show_progress(ended, job["items"], label)
            if not sys.stderr.isatty() and ended != shown:
                context.output.write_message(label)
            shown = ended
            if job["state"] != "running":
                break
        time.sleep(POLL_S)
    context.output.finish_progress()
    context.output.write_result(job, _text(job))
    whole = job["state"] == "completed" and not job["failed_count"]
    return EXIT_SUCCESS if whole else EXIT_JOB_FAILED


@command("jobs cancel", "JOB")
def cancel(context: Context) -> int:
    """Cancels a job; what is done stays readable."""
    job = context.client.json("POST", f"{_path(context)}/cancel")
    context.output.write_result(job, _text(job))
    return EXIT_SUCCESS


@command("jobs results", "JOB")
def results(context: Context) -> int:
    """Writes the result lines to standard output or to --to."""
    with context.client.download(f"{_path(context)}/results") as blocks:
        if not _TO.value:
            for block in blocks:
                context.output.write_bytes(block)
            return EXIT_SUCCESS
        # The file appears only once it is whole.
        part = f"{_TO.value}.part"
        with open(part, "wb") as file:
            for block in blocks:
                file.write(block)
    os.replace(part, _TO.value)
    return EXIT_SUCCESS


def _poll(context: Context, answered: float) -> Any:
    try:
        return context.client.json("GET", _path(context))
    except PlumvaneError as error:
        if error.status != 503 or time.monotonic() - answered > UNANSWERED_S:
            raise
        context.output.write_message(f"{error}; asking again")
        return None


def _path(context: Context) -> str:
    return "/v1/batches/" + quote(context.argument(0, "JOB"), safe="")


def _open_input(path: str) -> BinaryIO:
    if path == "-":
        return sys.stdin.buffer
    try:
        return open(path, "rb")
    except OSError as error:
        raise BadRequestError(
            f"{path}: {error.strerror}.", remedy="Name a readable file."
        ) from error


def _blocks(context: Context, file: BinaryIO) -> Iterator[bytes]:
    """Yields the file in blocks and shows how much is sent."""
    total = os.fstat(file.fileno()).st_size
    sent = 0
    while block := file.read(BLOCK_BYTES):
        yield block
        sent += len(block)
        if total:
            context.output.show_progress(sent, total, f"{sent} bytes sent")


def _table(jobs: list[dict[str, Any]]) -> str:
    rows = [
        (
            job["id"],
            job["state"],
            f"{job['done']}/{job['items']}",
            job["failed_count"],
            format_time(job["created"]),
            format_time(job["deadline"]),
            format_time(job["expected_finish"]),
        )
        for job in jobs
    ]
    heads = (
        "JOB",
        "STATE",
        "DONE",
        "FAILED",
        "CREATED (UTC)",
        "DEADLINE (UTC)",
        "EXPECTED (UTC)",
    )
    return format_table(heads, rows)


def _text(job: dict[str, Any]) -> str:
    text = _table([job])
    failed = job["failed"][:SHOWN_FAILURES]
    if failed:
        rows = [(item["index"] + 1, item["cause"]) for item in failed]
        text += "\n\n" + format_table(("LINE", "CAUSE"), rows)
        left = job["failed_count"] - len(failed)
        text += f"\n{left} more" if left else ""
    return text

"""Commands for batch jobs."""

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

UPLOAD_BLOCK_BYTES = 256 * 1024
POLL_INTERVAL_S = 1.0
# `jobs watch` fails after this long without a successful poll. Until then it
# retries if the entry is unreachable or returns 503.
UNAVAILABLE_LIMIT_S = 120.0
MAX_SHOWN_FAILURES = 20

_KEY = flags.DEFINE_string(
    "key", None, "Idempotency key of a new job; generated if absent."
)
_DEADLINE = flags.DEFINE_string(
    "deadline", None, "Deadline of a new job, in seconds since the Unix epoch."
)
_RESULTS_FILE = flags.DEFINE_string("to", None, "File to write the results to.")


@command("jobs submit", "FILE|-")
def submit(context: Context) -> int:
    """Submits a JSONL file; idempotent for the same --key and file."""
    key = _KEY.value or f"job-{secrets.token_hex(12)}"
    headers = {"idempotency-key": key}
    if _DEADLINE.value:
        headers["plumvane-deadline"] = _DEADLINE.value
    if not _KEY.value:
        context.output.write_message(
            f"key {key}; give --key={key} to resubmit the same job"
        )
    with _open_input(context.argument(0, "FILE")) as file:
        job = context.client.json(
            "POST",
            "/v1/batches",
            content=_read_blocks(context, file),
            headers=headers,
        )
    context.output.finish_progress()
    context.output.write_result(job, _format_job(job))
    return EXIT_SUCCESS


@command("jobs list")
def list_jobs(context: Context) -> int:
    """Lists the team's jobs, oldest first."""
    response = context.client.json("GET", "/v1/batches")
    context.output.write_result(response, _format_jobs(response["jobs"]))
    return EXIT_SUCCESS


@command("jobs show", "JOB")
def show(context: Context) -> int:
    """Shows a job's progress and its failed items."""
    job = context.client.json("GET", _job_path(context))
    context.output.write_result(job, _format_job(job))
    return EXIT_SUCCESS


@command("jobs watch", "JOB")
def watch(context: Context) -> int:
    """Waits until a job ends; exit code 6 unless every item succeeds."""
    last_shown = -1
    last_response = time.monotonic()
    while True:
        job = _poll_job(context, last_response)
        if job is not None:
            last_response = time.monotonic()
            ended = job["done"] + job["failed_count"]
            label = f"{ended} of {job['items']} items, {job['state']}"
            context.output.show_progress(ended, job["items"], label)
            if not sys.stderr.isatty() and ended != last_shown:
                context.output.write_message(label)
            last_shown = ended
            if job["state"] != "running":
                break
        time.sleep(POLL_INTERVAL_S)
    context.output.finish_progress()
    context.output.write_result(job, _format_job(job))
    succeeded = job["state"] == "completed" and not job["failed_count"]
    return EXIT_SUCCESS if succeeded else EXIT_JOB_FAILED


@command("jobs cancel", "JOB")
def cancel(context: Context) -> int:
    """Cancels a job; results of completed items stay available."""
    job = context.client.json("POST", f"{_job_path(context)}/cancel")
    context.output.write_result(job, _format_job(job))
    return EXIT_SUCCESS


@command("jobs results", "JOB")
def results(context: Context) -> int:
    """Writes the results to standard output or to the file of --to."""
    with context.client.download(f"{_job_path(context)}/results") as blocks:
        if not _RESULTS_FILE.value:
            for block in blocks:
                context.output.write_bytes(block)
            return EXIT_SUCCESS
        # Renamed once complete, so that the file never holds partial results.
        partial_path = f"{_RESULTS_FILE.value}.part"
        with open(partial_path, "wb") as file:
            for block in blocks:
                file.write(block)
    os.replace(partial_path, _RESULTS_FILE.value)
    return EXIT_SUCCESS


def _poll_job(context: Context, last_response: float) -> Any:
    try:
        return context.client.json("GET", _job_path(context))
    except PlumvaneError as error:
        if (
            error.status != 503
            or time.monotonic() - last_response > UNAVAILABLE_LIMIT_S
        ):
            raise
        context.output.write_message(f"{error}; retrying")
        return None


def _job_path(context: Context) -> str:
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


def _read_blocks(context: Context, file: BinaryIO) -> Iterator[bytes]:
    """Yields the file in blocks and shows the progress of the upload."""
    total = os.fstat(file.fileno()).st_size
    sent = 0
    while block := file.read(UPLOAD_BLOCK_BYTES):
        yield block
        sent += len(block)
        if total:
            context.output.show_progress(sent, total, f"{sent} bytes sent")


def _format_jobs(jobs: list[dict[str, Any]]) -> str:
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
    headers = (
        "JOB",
        "STATE",
        "DONE",
        "FAILED",
        "CREATED (UTC)",
        "DEADLINE (UTC)",
        "EXPECTED (UTC)",
    )
    return format_table(headers, rows)


def _format_job(job: dict[str, Any]) -> str:
    text = _format_jobs([job])
    failed = job["failed"][:MAX_SHOWN_FAILURES]
    if failed:
        rows = [(item["index"] + 1, item["cause"]) for item in failed]
        text += "\n\n" + format_table(("LINE", "CAUSE"), rows)
        remaining = job["failed_count"] - len(failed)
        text += f"\n{remaining} more" if remaining else ""
    return text

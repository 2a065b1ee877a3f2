"""Shared fixtures: fleets of real processes, and a client for them."""

from __future__ import annotations

import contextlib
import json
import pathlib
import tempfile
import time
from collections.abc import Callable, Iterator
from typing import Any

import httpcore

from plumvane.events import Event
from standins.launcher import (
    MODEL,
    OPERATOR_TOKEN,
    SERVICE,
    TEAM_TOKEN,
    Fleet,
    Process,
)

__all__ = [
    "OPERATOR",
    "TEAM",
    "Caller",
    "running_fleet",
    "silent_peers",
    "wait_for",
]

TEAM = {"authorization": f"Bearer {TEAM_TOKEN}"}
OPERATOR = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
OUTER_DEADLINE_S = 60.0
POLL_INTERVAL_S = 0.05


@contextlib.contextmanager
def running_fleet(
    *,
    entries: int = 2,
    engines: int = 1,
    services: int = 0,
    bulks: int = 0,
    proxied: bool = False,
    engine_flags: tuple[str, ...] = (),
    service_flags: tuple[str, ...] = (),
    document: dict[str, Any] | None = None,
    prepare: Callable[[Fleet], None] = lambda fleet: None,
) -> Iterator[Fleet]:
    """Starts a fleet, waits until it is ready and yields it.

    Instances are `entry-N`, `engine-N` with `engine-N-sidecar`, `service-N`
    with `service-N-sidecar`, and `bulk-N`.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(pathlib.Path(folder)) as fleet,
    ):
        prepare(fleet)
        fleet.start_platform()
        if proxied:
            fleet.start_proxy()
        for number in range(entries):
            fleet.start_entry(f"entry-{number}")
        for number in range(bulks):
            fleet.start_bulk(f"bulk-{number}")
        for number in range(engines):
            fleet.start_engine(f"engine-{number}", *engine_flags)
        for number in range(services):
            fleet.start_service(f"service-{number}", *service_flags)
        revision = fleet.apply_document(
            fleet["entry-0"], document or fleet.default_document(), 0
        )
        fleet.wait_ready(revision)
        yield fleet


def wait_for(
    condition: Callable[[], Any],
    description: str,
    timeout_s: float = OUTER_DEADLINE_S,
) -> Any:
    """Waits until a condition is true and returns its value.

    Raises:
        AssertionError: The condition was not true within the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"not seen in {timeout_s} s: {description}")


def silent_peers(process: Process) -> set[str]:
    """Returns the peers whose connections a process closed as silent."""
    log = process.log.read_text(encoding="utf-8")
    # The last line may be incomplete.
    messages = [json.loads(line) for line in log.split("\n")[:-1]]
    return {
        message["peer"]
        for message in messages
        if message.get("event") == Event.PEER_SILENT.number
    }


class Caller:
    """A client of the fleet with the token of one team."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def complete(
        self,
        entry: Process,
        prompt: str,
        *,
        key: str | None = None,
        max_tokens: int = 6,
        **fields: Any,
    ) -> tuple[int, Any]:
        """Requests a completion; returns the status and the JSON."""
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
        status, answer = self._fleet.call(
            "POST",
            f"{entry.url}/v1/completions",
            {**body, **fields},
            self._headers(key),
        )
        return status, json.loads(answer)

    def stream(
        self,
        entry: Process,
        prompt: str,
        *,
        key: str | None = None,
        max_tokens: int = 6,
    ) -> Iterator[dict[str, Any]]:
        """Yields the events of a streamed completion as they arrive."""
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
        with httpcore.stream(
            "POST",
            f"{entry.url}/v1/completions",
            headers=list(self._headers(key).items()),
            content=json.dumps({**body, "stream": True}).encode(),
            extensions={"timeout": {"read": OUTER_DEADLINE_S}},
        ) as response:
            partial_line = b""
            for data in response.iter_stream():
                *lines, partial_line = (partial_line + data).split(b"\n")
                for line in lines:
                    if line.startswith(b"data: {"):
                        yield json.loads(line[6:])

    def quote(
        self,
        entry: Process,
        body: Any,
        *,
        key: str | None = None,
        timeout_s: float = OUTER_DEADLINE_S,
    ) -> tuple[int, Any]:
        """Calls the quotes service; returns the status and the JSON."""
        headers = self._headers(key)
        headers["plumvane-deadline"] = str(time.time() + timeout_s)
        status, answer = self._fleet.call(
            "POST",
            f"{entry.url}/v1/services/{SERVICE}",
            body,
            headers,
        )
        return status, json.loads(answer)

    def result(self, entry: Process, key: str) -> tuple[int, Any]:
        """Reads a stored result; returns the status and the JSON."""
        status, answer = self._fleet.call(
            "GET", f"{entry.url}/v1/requests/{key}", None, TEAM
        )
        return status, json.loads(answer)

    def submit(
        self,
        entry: Process,
        lines: bytes,
        *,
        key: str,
        deadline: float | None = None,
    ) -> tuple[int, Any]:
        """Submits a batch job as JSONL; returns the status and the JSON."""
        headers = self._headers(key)
        if deadline is not None:
            headers["plumvane-deadline"] = str(deadline)
        status, answer = self._fleet.call_raw(
            "POST", f"{entry.url}/v1/batches", lines, headers
        )
        return status, json.loads(answer)

    def job(self, entry: Process, job_id: str) -> Any:
        """Returns a job's progress."""
        _, answer = self._fleet.call(
            "GET", f"{entry.url}/v1/batches/{job_id}", None, TEAM
        )
        return json.loads(answer)

    def cancel_job(self, entry: Process, job_id: str) -> tuple[int, Any]:
        """Cancels a job; returns the status and the JSON."""
        status, answer = self._fleet.call(
            "POST", f"{entry.url}/v1/batches/{job_id}/cancel", None, TEAM
        )
        return status, json.loads(answer)

    def job_results(self, entry: Process, job_id: str) -> list[Any]:
        """Returns a job's result lines."""
        _, answer = self._fleet.call(
            "GET", f"{entry.url}/v1/batches/{job_id}/results", None, TEAM
        )
        return [json.loads(line) for line in answer.splitlines()]

    def _headers(self, key: str | None) -> dict[str, str]:
        return {**TEAM, "idempotency-key": key} if key else dict(TEAM)

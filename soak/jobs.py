"""Batch jobs as submitted, and checks of their results as read."""

from __future__ import annotations

import base64
import dataclasses
import json
import random
from collections.abc import Callable
from typing import Any

from plumvane import clock
from plumvane.platform import names
from soak.streams import decode_text, find_error

__all__ = ["SETTLE_S", "SubmittedJob"]

# Numbers of items of a job, and of events of an item. Items that end at
# different times are listed one by one, also by a new owner.
JOB_SIZES = (4, 6, 12)
ITEM_SIZES = (10, 20, 60, 120)
# Seconds after which a result that one read returned must be found by all.
SETTLE_S = 1.0


@dataclasses.dataclass(slots=True)
class _ReadResult:
    """A result of a job.

    Attributes:
        result: The result as first read.
        read_at: Monotonic time in seconds at which it was first read.
    """

    result: dict[str, Any]
    read_at: float


class SubmittedJob:
    """A job as submitted, and its results as read so far by all clients.

    Attributes:
        job_id: Identifier of the job.
        paths_by_item: Path of each item.
        events_by_item: Number of events of the text of each item.
        team: Team that submitted it.
        may_have_ended: Whether a client has asked to end the job.
        results: Results by position.
    """

    def __init__(
        self,
        job_id: str,
        new_id: Callable[[], str],
        rng: random.Random,
        team: str = "",
    ) -> None:
        """Draws a job.

        Args:
            job_id: Identifier of the job.
            new_id: Returns a new identifier for an item.
            rng: Draws the size of the job.
            team: Team that submits it.
        """
        self.job_id = job_id
        self.team = team
        ok_items = rng.choice(JOB_SIZES) - 2
        item_kinds = ["ok"] * ok_items + ["failing", "impossible"]
        self.paths_by_item = {
            new_id(): f"/plan/{item_kind}/{job_id}" for item_kind in item_kinds
        }
        self.events_by_item = {
            item_id: rng.choice(ITEM_SIZES) for item_id in self.paths_by_item
        }
        self.may_have_ended = False
        self.results: list[_ReadResult] = []

    def body(self) -> bytes:
        """Returns the body of the submission."""
        rows = [
            {
                "id": item_id,
                "path": path,
                "headers": {
                    names.TOKEN_USAGE_HEADER: "100,"
                    f"{self.events_by_item[item_id] * 10}",
                    names.PROMPT_HEADER.decode(): f"part0-0:50,{item_id}:50",
                },
                "body": base64.b64encode(item_id.encode()).decode(),
                "tokens": 300,
            }
            for item_id, path in self.paths_by_item.items()
        ]
        return json.dumps({"items": rows}).encode()

    def has_all_results(self) -> bool:
        """Returns whether all items have a result that was read."""
        return len(self.results) == len(self.paths_by_item)

    def check_status(self, status: int) -> str:
        """Returns the error of a call on the accepted job, or ""."""
        return f"LOST: got status {status}" if status in (404, 410) else ""

    def check_read_status(self, status: int) -> str:
        """Returns the error of a read of the accepted job, or ""."""
        if status in (500, 502, 504):
            return f"got status {status} in place of 503"
        return self.check_status(status)

    def add_page(
        self, position: int, page: dict[str, Any], sent_at: float
    ) -> str:
        """Adds a page of results; returns its first error, or "".

        Results with errors are added too, so that each is reported once.

        Args:
            position: First position that was read.
            page: The response.
            sent_at: Monotonic time in seconds at which the read was sent.
        """
        if page["total"] != len(self.paths_by_item):
            return f"MIXED: unexpected total {page['total']}"
        if not page["results"] and position < len(self.results):
            age_s = sent_at - self.results[position].read_at
            if age_s > SETTLE_S:
                return (
                    f"LOST: nothing is at position {position}, which was read "
                    f"{age_s:.1f} s before"
                )
        errors = [
            self._add_result(index, result)
            for index, result in enumerate(page["results"], start=position)
        ]
        return next((error for error in errors if error), "")

    def _add_result(self, position: int, result: dict[str, Any]) -> str:
        if position > len(self.results):
            return f"LOST: position {len(self.results)} is missing"
        if position < len(self.results):
            known = self.results[position].result
            if known == result:
                return ""
            return (
                f"TWICE: the result at position {position} has changed from "
                f"{_summary(known)} to {_summary(result)}"
            )
        error = self._check_result(result)
        self.results.append(_ReadResult(result, clock.monotonic()))
        return f"{error} at position {position}" if error else ""

    def _check_result(self, result: dict[str, Any]) -> str:
        item_id = result["id"]
        if item_id not in self.paths_by_item:
            return f"MIXED: item {item_id} is not part of this job"
        if any(earlier.result["id"] == item_id for earlier in self.results):
            return f"TWICE: item {item_id} is listed twice"
        is_ok = "/ok/" in self.paths_by_item[item_id]
        if result["state"] != "completed":
            if is_ok and not self.may_have_ended:
                return f"MIXED: item {item_id} has state {result['state']}"
            return ""
        if not is_ok:
            return f"MIXED: item {item_id} has state {result['state']}"
        try:
            events = decode_text(result["text"])
        except ValueError:
            return f"MIXED: item {item_id} has text {result['text'][:100]!r}"
        total = self.events_by_item[item_id]
        if len(events) != total:
            return (
                f"MIXED: the text of item {item_id} has {len(events)} of "
                f"{total} events"
            )
        error = find_error(events, (item_id,))
        return f"{error} in the text of item {item_id}" if error else ""


def _summary(result: dict[str, Any]) -> str:
    text = result["text"]
    return f"{result['id']} {result['state']} {text[-40:]!r}"

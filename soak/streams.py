"""Checks of streams and texts that servers made, as clients read them."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Sequence

from standins.server_events import ServerEvent

__all__ = ["StreamReading", "decode_text", "find_error"]


def find_error(
    events: Sequence[ServerEvent], request_ids: Collection[str]
) -> str:
    """Returns the first error of a stream or a text, or "".

    Args:
        events: Its events, of one or more runs.
        request_ids: Identifiers of the requests that its runs may belong to.
    """
    for number, event in enumerate(events, start=1):
        if event.request_id not in request_ids:
            return f"MIXED: event {number} belongs to {event.request_id}"
        if event.number != number:
            return f"ORDER: event {event.number} stands in place of {number}"
        if event.version != events[0].version:
            return (
                f"ORDER: event {number} is of version {event.version}, event 1 "
                f"of version {events[0].version}"
            )
    return ""


def decode_text(text: str) -> list[ServerEvent]:
    """Decodes the text of a batch result, which has an event on each line.

    Raises:
        ValueError: A line is not one whole event.
    """
    return [ServerEvent.decode(line) for line in text.split("\n")]


@dataclasses.dataclass
class StreamReading:
    """A stream that a client reads in one or more attempts.

    Attributes:
        total: Number of its events.
        request_ids: Identifiers of the client's attempts.
        events: Events that were read.
        first_request_id: Attempt that brought the first event, or "".
        is_complete: Whether the stream has ended as complete.
        error: First error, or "".
    """

    total: int
    request_ids: list[str] = dataclasses.field(default_factory=list)
    events: list[ServerEvent] = dataclasses.field(default_factory=list)
    first_request_id: str = ""
    is_complete: bool = False
    error: str = ""
    _buffer: bytes = b""

    def start(self, request_id: str) -> None:
        """Starts an attempt; an event that was cut off is not part of it."""
        self.request_ids.append(request_id)
        self._buffer = b""

    def feed(self, data: bytes) -> None:
        """Adds data of the current attempt."""
        *blocks, self._buffer = (self._buffer + data).split(b"\n\n")
        for block in blocks:
            self._add(block.decode("utf-8", "replace"))

    def finish(self) -> None:
        """Records that the current attempt has ended as complete."""
        self.is_complete = True
        if len(self.events) != self.total or self._buffer:
            self._fail(
                f"ORDER: the stream ends as complete after "
                f"{len(self.events)} of {self.total} events"
            )

    def _add(self, block: str) -> None:
        id_line, _, data_line = block.partition("\n")
        try:
            event = ServerEvent.decode(data_line.removeprefix("data: "))
        except ValueError:
            self._fail(f"MIXED: {block[:100]!r} is not an event")
            return
        if id_line != f"id: {event.number}":
            self._fail(f"MIXED: {block[:100]!r} has two numbers")
        if not self.events:
            self.first_request_id = self.request_ids[-1]
        self.events.append(event)
        self._fail(find_error(self.events, self.request_ids))

    def _fail(self, error: str) -> None:
        self.error = self.error or error

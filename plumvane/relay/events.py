"""Whole events of an upstream's stream (text/event-stream)."""

from __future__ import annotations

import dataclasses

from plumvane.errors import UpstreamLostError

__all__ = ["EventStreamParser", "StreamEvent"]

# Larger events are taken for garbage; the platform's are below 1 KB.
MAX_EVENT_BYTES = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event.

    Attributes:
        raw: Its bytes with the blank line that ends it.
        event_id: Its number, or None if it has none.
        data: Its data, lines joined by line feeds.
    """

    raw: bytes
    event_id: int | None
    data: str


class EventStreamParser:
    """Cuts a stream into events and checks that their numbers follow."""

    def __init__(self, last_event_id: int | None = None) -> None:
        """Creates the reader.

        Args:
            last_event_id: Number of the last event that was had before.
        """
        self.last_event_id = last_event_id
        self._rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that are whole now.

        Raises:
            UpstreamLostError: The stream is garbled.
        """
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            raise UpstreamLostError("An event of the stream has no end.")
        return [self._take(block + b"\n\n") for block in blocks]

    def finish(self) -> None:
        """Checks that the stream does not end inside an event.

        Raises:
            UpstreamLostError: It does.
        """
        if self._rest.strip():
            raise UpstreamLostError("The stream ends inside an event.")

    def _take(self, raw: bytes) -> StreamEvent:
        event_id: int | None = None
        data: list[str] = []
        for line in raw.decode("utf-8", "replace").split("\n"):
            field, _, value = line.partition(":")
            if field == "id":
                event_id = _number(value)
            elif field == "data":
                data.append(value.removeprefix(" "))
        if event_id is not None:
            last = self.last_event_id
            if last is not None and event_id != last + 1:
                raise UpstreamLostError(
                    f"Event {event_id} follows event {last} in the stream."
                )
            self.last_event_id = event_id
        return StreamEvent(raw, event_id, "\n".join(data))


def _number(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise UpstreamLostError(
            f"The stream has an event with the id {text[:40]!r}."
        ) from None

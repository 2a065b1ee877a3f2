"""Parser of server-sent events (text/event-stream) of upstreams."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator

import anyio

from plumvane.errors import UpstreamLostError

__all__ = ["EventStreamParser", "StreamEvent", "read_events"]

# Limit on the size of one event; a larger one counts as a malformed stream.
# Events of the platform are below 1 KB.
MAX_EVENT_BYTES = 65_536
# Fields of lines that need not belong to a numbered event or to data; the empty
# one is that of a comment.
AUXILIARY_FIELDS = frozenset({"", "event", "retry"})


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One server-sent event.

    Attributes:
        raw: Bytes of the event, with the blank line that ends it.
        event_id: Sequence number from the id field, or None.
        data: Values of the data fields, joined by line feeds.
    """

    raw: bytes
    event_id: int | None
    data: str


class EventStreamParser:
    """Splits a stream into events and checks that their ids are consecutive."""

    def __init__(self, last_event_id: int | None = None) -> None:
        """Creates the parser.

        Args:
            last_event_id: Id of the event after which the stream resumes, or
                None for a stream from its start.
        """
        self.last_event_id = last_event_id
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds data and returns the events that it completes.

        Raises:
            UpstreamLostError: The stream is malformed, or an event is missing.
        """
        # The end of an event may be split between two parts of the data.
        search_from = max(0, len(self._buffer) - 1)
        self._buffer += data
        events: list[StreamEvent] = []
        event_start = 0
        while (end := self._buffer.find(b"\n\n", search_from)) >= 0:
            search_from = end + 2
            raw = bytes(self._buffer[event_start:search_from])
            events.append(self._parse_event(raw))
            event_start = search_from
        del self._buffer[:event_start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise UpstreamLostError(
                f"An event of the stream is over {MAX_EVENT_BYTES} bytes."
            )
        return events

    def finish(self, *, ends_with_connection: bool = False) -> None:
        """Checks that the stream does not break off.

        Args:
            ends_with_connection: Whether nothing but the end of its connection
                marks its end. One that has no event then broke off.

        Raises:
            UpstreamLostError: The last event is truncated, or there is none.
        """
        if self._buffer.strip():
            raise UpstreamLostError("The stream ends inside an event.")
        if ends_with_connection and self.last_event_id is None:
            raise UpstreamLostError(
                "The connection ended before the stream's first event."
            )

    def _parse_event(self, raw: bytes) -> StreamEvent:
        event_id: int | None = None
        data: list[str] = []
        is_auxiliary = True
        for line in raw.decode("utf-8", "replace").split("\n"):
            field, _, value = line.partition(":")
            if field == "id":
                event_id = _parse_event_id(value)
            elif field == "data":
                data.append(value.removeprefix(" "))
            elif field not in AUXILIARY_FIELDS:
                is_auxiliary = False
        if event_id is None and not data and not is_auxiliary:
            # Such as the text of an error behind the events.
            raise UpstreamLostError(
                f"The stream has a part that is no event: {raw[:40]!r}."
            )
        if event_id is not None:
            last = self.last_event_id
            if last is not None and event_id != last + 1:
                raise UpstreamLostError(
                    f"Event {event_id} follows event {last} in the stream."
                )
            self.last_event_id = event_id
        return StreamEvent(raw, event_id, "\n".join(data))


async def read_events(
    parts: AsyncIterator[bytes],
    parser: EventStreamParser,
    idle_timeout_s: float | None,
    *,
    ends_with_connection: bool = False,
) -> AsyncIterator[StreamEvent]:
    """Yields the events of a stream as they arrive.

    Args:
        parts: The body of the response.
        parser: Parser of the stream.
        idle_timeout_s: Longest time without a complete event, in seconds,
            however many bytes arrive; None for no limit.
        ends_with_connection: Whether nothing but the end of the connection
            marks the end of the body.

    Raises:
        UpstreamLostError: The stream is malformed or breaks off, or no event
            was completed in time.
    """
    while True:
        events: list[StreamEvent] = []
        try:
            with anyio.fail_after(idle_timeout_s):
                while not events:
                    events = parser.feed(await anext(parts))
        except StopAsyncIteration:
            break
        except TimeoutError:
            raise UpstreamLostError(
                f"The stream had no complete event for {idle_timeout_s} s."
            ) from None
        for event in events:
            yield event
    parser.finish(ends_with_connection=ends_with_connection)


def _parse_event_id(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise UpstreamLostError(
            f"The stream has an event with a malformed id: {text[:40]!r}."
        ) from None

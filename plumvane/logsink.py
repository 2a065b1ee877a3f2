"""Log destination that writes from a bounded queue in its own thread."""

from __future__ import annotations

import collections
import threading
import time
from collections.abc import Callable
from typing import Any, TextIO

import msgspec

__all__ = ["LogSink"]

# Maximum number of queued lines; about 1 MB at 0.3 KB a line.
MAX_QUEUED_LINES = 4096
# Fields that each message has, and that are always encodable.
IDENTIFYING_FIELDS = frozenset({"event", "message_type", "timestamp"})
# Time that `close` waits for queued lines to be written, in seconds.
CLOSE_TIMEOUT_S = 0.5


class LogSink:
    """An eliot destination that never blocks its caller.

    Messages that arrive while the queue is full are dropped and counted. The
    count is logged once the stream accepts data again.
    """

    def __init__(
        self,
        stream: TextIO,
        make_drop_message: Callable[[int], dict[str, Any]],
        max_queued_lines: int = MAX_QUEUED_LINES,
    ) -> None:
        """Starts the writing thread.

        Args:
            stream: Stream that the lines are written to.
            make_drop_message: Returns the message that reports a number of
                dropped lines.
            max_queued_lines: Maximum number of queued lines.
        """
        self._stream = stream
        self._make_drop_message = make_drop_message
        self._max_queued_lines = max_queued_lines
        self._messages: collections.deque[dict[str, Any]] = collections.deque()
        # Only callers change `_dropped`, and only the writing thread changes
        # the number already reported.
        self._dropped = 0
        self._dropped_reported = 0
        self._drop_lock = threading.Lock()
        self._wake = threading.Event()
        self._is_closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Queues a message, or drops it if the queue is full."""
        if len(self._messages) >= self._max_queued_lines:
            with self._drop_lock:
                self._dropped += 1
            return
        self._messages.append(message)
        self._wake.set()

    def close(self) -> None:
        """Stops the thread after it has written the queue.

        Waits `CLOSE_TIMEOUT_S` at most; lines still queued then may be lost.
        """
        self._is_closing = True
        self._wake.set()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._messages:
                self._write(self._messages.popleft())
            self._report_drops()
            self._stream.flush()
            if self._is_closing and not self._messages:
                return

    def _report_drops(self) -> None:
        count = self._dropped - self._dropped_reported
        if count:
            self._dropped_reported += count
            drop_message = self._make_drop_message(count)
            self._write({**drop_message, "timestamp": time.time()})

    def _write(self, message: dict[str, Any]) -> None:
        try:
            line = msgspec.json.encode(message, enc_hook=str)
        except (OverflowError, RecursionError, TypeError, ValueError):
            line = msgspec.json.encode(_as_text(message))
        self._stream.write(line.decode() + "\n")


def _as_text(message: dict[str, Any]) -> dict[str, Any]:
    """Returns a message whose values JSON can hold.

    Fields may contain what others have written, such as large numbers.
    """
    return {
        name: value if name in IDENTIFYING_FIELDS else ascii(value)
        for name, value in message.items()
    }

"""Writes log lines to a stream by a thread, from a bounded queue."""

from __future__ import annotations

import collections
import threading
import time
from collections.abc import Callable
from typing import Any, TextIO

import msgspec

__all__ = ["LogSink"]

# Lines that wait for the stream; at 0.3 KB a line about a megabyte.
QUEUED_LINES = 4096
# Time that the end of the process waits for the last lines, in seconds.
CLOSE_S = 0.5


class LogSink:
    """A destination of eliot's that never blocks its caller.

    Lines that find the queue full are dropped and counted; the count is
    written once the stream is read again.
    """

    def __init__(
        self,
        stream: TextIO,
        describe_drops: Callable[[int], dict[str, Any]],
        queued_lines: int = QUEUED_LINES,
    ) -> None:
        """Starts the writing thread.

        Args:
            stream: Where the lines go.
            describe_drops: Returns the message for a number of dropped lines.
            queued_lines: Most lines that wait.
        """
        self._stream = stream
        self._describe_drops = describe_drops
        self._queued_lines = queued_lines
        self._messages: collections.deque[dict[str, Any]] = collections.deque()
        # Counted by callers alone; the writing thread keeps what it has told.
        self._dropped = 0
        self._dropped_told = 0
        self._drop_lock = threading.Lock()
        self._filled = threading.Event()
        self._has_ended = False
        self._thread = threading.Thread(target=self._write_all, daemon=True)
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Takes a message; called by eliot."""
        if len(self._messages) >= self._queued_lines:
            with self._drop_lock:
                self._dropped += 1
            return
        self._messages.append(message)
        self._filled.set()

    def close(self) -> None:
        """Writes what waits, for a bounded time."""
        self._has_ended = True
        self._filled.set()
        self._thread.join(CLOSE_S)

    def _write_all(self) -> None:
        while True:
            self._filled.wait()
            self._filled.clear()
            while self._messages:
                self._write(self._messages.popleft())
            self._tell_drops()
            self._stream.flush()
            if self._has_ended and not self._messages:
                return

    def _tell_drops(self) -> None:
        count = self._dropped - self._dropped_told
        if count:
            self._dropped_told += count
            described = self._describe_drops(count)
            self._write({**described, "timestamp": time.time()})

    def _write(self, message: dict[str, Any]) -> None:
        line = msgspec.json.encode(message, enc_hook=str)
        self._stream.write(line.decode() + "\n")

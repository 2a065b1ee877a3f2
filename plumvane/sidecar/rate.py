"""Measured rate of batch items."""

from __future__ import annotations

from collections import deque

__all__ = ["ItemRate"]

# Completions that the rate is measured over.
ITEMS = 256
MIN_ITEMS = 8
MIN_TIME_S = 0.001


class ItemRate:
    """Items a second while items run; idle time does not count."""

    def __init__(self) -> None:
        """Creates a rate that is not known."""
        self._completed: deque[float] = deque(maxlen=ITEMS)
        self._last = 0.0

    @property
    def per_s(self) -> float:
        """Items a second; 0 if not known."""
        if len(self._completed) < MIN_ITEMS:
            return self._last
        took_s = max(self._completed[-1] - self._completed[0], MIN_TIME_S)
        return (len(self._completed) - 1) / took_s

    def add(self, now: float) -> None:
        """Takes a completion in.

        Args:
            now: Monotonic time in seconds.
        """
        self._completed.append(now)

    def mark_idle(self) -> None:
        """Keeps the rate over a time without items."""
        self._last = self.per_s
        self._completed.clear()

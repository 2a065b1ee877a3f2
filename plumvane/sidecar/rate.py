"""Throughput measurement of batch items."""

from __future__ import annotations

from collections import deque

__all__ = ["ItemRate"]

# Number of completions over which the rate is measured.
WINDOW_ITEMS = 256
MIN_ITEMS = 8
MIN_WINDOW_S = 0.001


class ItemRate:
    """Items completed per second, not counting idle time."""

    def __init__(self) -> None:
        """Creates an estimate without measurements."""
        self._completion_times: deque[float] = deque(maxlen=WINDOW_ITEMS)
        self._last_rate = 0.0

    @property
    def per_s(self) -> float:
        """Items per second, or 0 if unknown."""
        if len(self._completion_times) < MIN_ITEMS:
            return self._last_rate
        window_s = max(
            self._completion_times[-1] - self._completion_times[0], MIN_WINDOW_S
        )
        return (len(self._completion_times) - 1) / window_s

    def add(self, now: float) -> None:
        """Records the completion of an item.

        Args:
            now: Monotonic time of the completion, in seconds.
        """
        self._completion_times.append(now)

    def mark_idle(self) -> None:
        """Keeps the current rate and restarts the window after idle time."""
        self._last_rate = self.per_s
        self._completion_times.clear()

"""Monotonic clock for deadlines and wall clock for stored records."""

from __future__ import annotations

import time

__all__ = ["monotonic", "remaining", "wall"]


def monotonic() -> float:
    """Returns the monotonic clock in seconds."""
    return time.monotonic()


def wall() -> float:
    """Returns the time in seconds since the Unix epoch."""
    return time.time()


def remaining(deadline: float) -> float:
    """Returns the seconds until a monotonic deadline, at least zero.

    Args:
        deadline: Monotonic time in seconds.
    """
    return max(0.0, deadline - time.monotonic())

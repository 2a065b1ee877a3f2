"""Monotonic clock for deadlines and wall clock for stored records."""

from __future__ import annotations

import time

__all__ = ["monotonic", "remaining", "wall"]

# Unlike CLOCK_MONOTONIC it advances while the machine is suspended, during
# which leases expire elsewhere. Only Linux has it.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic() -> float:
    """Returns the monotonic clock in seconds, including suspensions."""
    return time.clock_gettime(_CLOCK)


def wall() -> float:
    """Returns the time in seconds since the Unix epoch."""
    return time.time()


def remaining(deadline: float) -> float:
    """Returns the seconds until a monotonic deadline, at least zero.

    Args:
        deadline: Monotonic time in seconds.
    """
    return max(0.0, deadline - monotonic())

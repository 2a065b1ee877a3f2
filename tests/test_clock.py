"""Tests of the clock that deadlines and the age of views go by."""

from __future__ import annotations

import time
from unittest import mock

from plumvane import clock


# Guards against a worker that wakes from a suspension with an old view of the
# job heads, takes it for current and denies results that another owner listed.
def test_deadlines_pass_while_the_machine_is_suspended() -> None:
    # CLOCK_MONOTONIC stops during a suspension, CLOCK_BOOTTIME does not.
    seconds_by_clock = {
        time.CLOCK_BOOTTIME: 100.0,
        time.CLOCK_MONOTONIC: 100.0,
    }
    with (
        mock.patch("time.clock_gettime", seconds_by_clock.__getitem__),
        mock.patch(
            "time.monotonic", lambda: seconds_by_clock[time.CLOCK_MONOTONIC]
        ),
    ):
        read_at, deadline = clock.monotonic(), clock.monotonic() + 3.0
        seconds_by_clock[time.CLOCK_BOOTTIME] += 5.0
        assert clock.monotonic() - read_at == 5.0
        assert clock.remaining(deadline) == 0.0

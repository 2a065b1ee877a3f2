"""Tests of the commit rate limit that the logs of one instance share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from unittest import mock

import anyio

from plumvane import clock
from plumvane.partitions.budget import CommitBudget

OUTER_DEADLINE_S = 30.0
# Time by which each sleep overruns, in seconds.
SLEEP_OVERRUN_S = 1e-6
TOLERANCE_S = 1e-3


class _FakeClock:
    """Clock that advances by the duration of each sleep."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    async def sleep(self, delay: float) -> None:
        self.now += delay + SLEEP_OVERRUN_S
        await anyio.lowlevel.checkpoint()


async def _acquire_many(budget: CommitBudget, count: int) -> None:
    for _ in range(count):
        await budget.acquire()


def _run_with_timeout(test: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await test()

    anyio.run(run)


def test_one_log_may_use_the_whole_budget() -> None:
    async def check() -> None:
        fake_clock = _FakeClock()
        with (
            mock.patch.object(clock, "monotonic", fake_clock.monotonic),
            mock.patch.object(anyio, "sleep", fake_clock.sleep),
        ):
            budget = CommitBudget(lambda: 16)
            fake_clock.now += 10.0
            await _acquire_many(budget, 160)
            assert fake_clock.now == 1010.0
            await _acquire_many(budget, 320)
            assert abs(fake_clock.now - 1011.0) < TOLERANCE_S

    _run_with_timeout(check)


def test_budget_follows_the_number_of_owned_partitions() -> None:
    async def check() -> None:
        fake_clock = _FakeClock()
        owned = 16
        with (
            mock.patch.object(clock, "monotonic", fake_clock.monotonic),
            mock.patch.object(anyio, "sleep", fake_clock.sleep),
        ):
            budget = CommitBudget(lambda: owned)
            fake_clock.now += 10.0
            await _acquire_many(budget, 1)
            owned = 2
            await _acquire_many(budget, 20)
            assert fake_clock.now == 1010.0
            await _acquire_many(budget, 40)
            assert abs(fake_clock.now - 1011.0) < TOLERANCE_S

    _run_with_timeout(check)

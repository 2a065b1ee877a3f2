"""The commits that the logs of one instance share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from unittest import mock

import anyio

from plumvane import clock
from plumvane.partitions.budget import CommitBudget

OUTER_DEADLINE_S = 30.0
# A pause ends this much late, as pauses do.
LATE_S = 1e-6
TOLERANCE_S = 1e-3


class _Clock:
    """A clock that the pauses of its user move."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    async def sleep(self, delay: float) -> None:
        self.now += delay + LATE_S
        await anyio.lowlevel.checkpoint()


async def _take(budget: CommitBudget, count: int) -> None:
    for _ in range(count):
        await budget.take()


def _run(test: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await test()

    anyio.run(run)


def test_one_log_may_use_what_the_others_leave() -> None:
    async def check() -> None:
        time = _Clock()
        with (
            mock.patch.object(clock, "monotonic", time.monotonic),
            mock.patch.object(anyio, "sleep", time.sleep),
        ):
            budget = CommitBudget(lambda: 16)
            time.now += 10.0
            await _take(budget, 160)
            assert time.now == 1010.0
            await _take(budget, 320)
            assert abs(time.now - 1011.0) < TOLERANCE_S

    _run(check)


def test_budget_follows_the_partitions_that_are_owned() -> None:
    async def check() -> None:
        time = _Clock()
        owned = 16
        with (
            mock.patch.object(clock, "monotonic", time.monotonic),
            mock.patch.object(anyio, "sleep", time.sleep),
        ):
            budget = CommitBudget(lambda: owned)
            time.now += 10.0
            await _take(budget, 1)
            owned = 2
            await _take(budget, 20)
            assert time.now == 1010.0
            await _take(budget, 40)
            assert abs(time.now - 1011.0) < TOLERANCE_S

    _run(check)

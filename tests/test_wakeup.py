"""The event of one waiter."""

from __future__ import annotations

import anyio

from plumvane.wakeup import WakeUp

OUTER_DEADLINE_S = 30.0
ROUNDS = 100


def test_each_set_wakes_the_waiter_and_none_is_lost() -> None:
    async def check() -> None:
        there, back = WakeUp(), WakeUp()
        woken: list[int] = []

        async def wait() -> None:
            for number in range(ROUNDS):
                await there.wait()
                woken.append(number)
                back.set()

        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(wait)
                for number in range(ROUNDS):
                    assert len(woken) == number
                    there.set()
                    await back.wait()
        assert len(woken) == ROUNDS

    anyio.run(check)


def test_a_cancelled_wait_leaves_later_ones_whole() -> None:
    async def check() -> None:
        event = WakeUp()
        with anyio.move_on_after(0) as scope:
            await event.wait()
        assert scope.cancelled_caught
        with anyio.fail_after(OUTER_DEADLINE_S):
            event.set()
            await event.wait()
            event.set()
            event.clear()
            async with anyio.create_task_group() as group:
                group.start_soon(event.wait)
                await anyio.lowlevel.checkpoint()
                event.set()

    anyio.run(check)

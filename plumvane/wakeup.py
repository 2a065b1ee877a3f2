"""An event that one task waits for again and again."""

from __future__ import annotations

import asyncio

__all__ = ["WakeUp"]


class WakeUp:
    """Wakes its one waiter; waiting clears it.

    An anyio Event is set once, so a waiter in a loop makes a new one each
    time, which costs more than the wait itself.
    """

    __slots__ = ("_future", "_is_set")

    def __init__(self) -> None:
        """Creates an event that is not set."""
        self._is_set = False
        self._future: asyncio.Future[None] | None = None

    def set(self) -> None:
        """Wakes the waiter, or lets the next wait return at once."""
        self._is_set = True
        if self._future is not None and not self._future.done():
            self._future.set_result(None)

    def clear(self) -> None:
        """Forgets that it was set."""
        self._is_set = False

    async def wait(self) -> None:
        """Waits until it is set, and clears it."""
        while not self._is_set:
            self._future = asyncio.get_running_loop().create_future()
            try:
                await self._future
            finally:
                self._future = None
        self._is_set = False

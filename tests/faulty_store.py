"""A Memory store whose writes lose answers, get lost or land late."""

from __future__ import annotations

import collections
import enum
from collections.abc import Awaitable, Callable
from typing import Any

from plumvane import clock
from plumvane.errors import ConflictError, StoreUnavailableError
from plumvane.store.memory import MemoryStore

__all__ = ["Fault", "FaultyStore"]


WATCH_STEP_S = 0.1


class Fault(enum.Enum):
    """What becomes of one write."""

    NONE = "none"
    LOSE_RESPONSE = "the write happens; its answer is lost"
    LOSE_REQUEST = "the write does not happen"
    DELAY = "the write waits for `apply_delayed_writes`"
    CRASH = "the writer is stopped before the write"
    CRASH_AFTER = "the writer is stopped after the write"


class Crash(BaseException):
    """Ends the writer as a kill does."""


class FaultyStore(MemoryStore):
    """Applies the next fault of a list to each write.

    Attributes:
        faults: Faults of the next writes; none once it is empty.
        down: Whether every call fails.
        writes: How many writes were tried.
    """

    def __init__(self) -> None:
        super().__init__()
        self.faults: collections.deque[Fault] = collections.deque()
        self.down = False
        self.writes = 0
        self._late: list[Callable[[], Awaitable[Any]]] = []

    async def apply_delayed_writes(self) -> int:
        """Lets the delayed writes happen; returns how many took effect."""
        landed = 0
        late, self._late = self._late, []
        for write in late:
            try:
                await write()
                landed += 1
            except ConflictError:
                continue
        return landed

    async def get(self, key: str) -> Any:
        self._check()
        return await super().get(key)

    async def list(self, prefix: str, **page: Any) -> Any:
        self._check()
        return await super().list(prefix, **page)

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> Any:
        while True:
            self._check()
            step = min(deadline, clock.monotonic() + WATCH_STEP_S)
            found = await super().watch(prefix, after_revision, deadline=step)
            self._check()
            if found.records or clock.monotonic() >= deadline:
                return found

    async def put(self, key: str, value: bytes, **options: Any) -> int:
        inner = super().put
        return await self._faulted(lambda: inner(key, value, **options))

    async def delete(self, key: str, **options: Any) -> None:
        inner = super().delete
        await self._faulted(lambda: inner(key, **options))

    async def grant_lease(self, ttl_s: float) -> Any:
        self._check()
        return await super().grant_lease(ttl_s)

    async def renew_lease(self, lease_id: str) -> Any:
        self._check()
        return await super().renew_lease(lease_id)

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailableError("The store is down.")

    async def _faulted(self, write: Callable[[], Awaitable[Any]]) -> Any:
        self._check()
        self.writes += 1
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if fault is Fault.CRASH:
            raise Crash
        if fault is Fault.LOSE_REQUEST:
            raise StoreUnavailableError("The call was lost.")
        if fault is Fault.DELAY:
            self._late.append(write)
            raise StoreUnavailableError("The call is late.")
        answer = await write()
        if fault is Fault.CRASH_AFTER:
            raise Crash
        if fault is Fault.LOSE_RESPONSE:
            raise StoreUnavailableError("The answer was lost.")
        return answer

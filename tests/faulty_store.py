"""In-memory store that injects faults into writes."""

from __future__ import annotations

import collections
import enum
from collections.abc import Awaitable, Callable
from typing import Any

from plumvane import clock
from plumvane.errors import ConflictError, StoreUnavailableError
from plumvane.store.memory import MemoryStore

__all__ = ["Fault", "FaultyStore"]


# Interval at which a waiting watch checks for an outage, in seconds.
WATCH_STEP_S = 0.1


class Fault(enum.Enum):
    """Fault injected into one write."""

    NONE = "none"
    LOSE_RESPONSE = "the write is applied; its response is lost"
    LOSE_REQUEST = "the write is not applied"
    DELAY = "the write is held back until `apply_delayed_writes`"
    CRASH = "the writer crashes before the write"
    CRASH_AFTER = "the writer crashes after the write"


class Crash(BaseException):
    """Ends the writer like a process crash.

    It is no `Exception`, so that no error handler of the writer catches it.
    """


class FaultyStore(MemoryStore):
    """Injects the next fault of a queue into each write.

    Attributes:
        faults: Faults of the next writes; once empty, writes succeed.
        down: Whether every call fails.
        writes: Number of attempted writes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.faults: collections.deque[Fault] = collections.deque()
        self.down = False
        self.writes = 0
        self._delayed_writes: list[Callable[[], Awaitable[Any]]] = []

    async def apply_delayed_writes(self) -> int:
        """Applies the delayed writes; returns how many did not conflict."""
        applied = 0
        delayed, self._delayed_writes = self._delayed_writes, []
        for write in delayed:
            try:
                await write()
                applied += 1
            except ConflictError:
                continue
        return applied

    async def get(self, key: str) -> Any:
        self._raise_if_down()
        return await super().get(key)

    async def list(self, prefix: str, **page: Any) -> Any:
        self._raise_if_down()
        return await super().list(prefix, **page)

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> Any:
        while True:
            self._raise_if_down()
            step = min(deadline, clock.monotonic() + WATCH_STEP_S)
            result = await super().watch(prefix, after_revision, deadline=step)
            self._raise_if_down()
            if result.records or clock.monotonic() >= deadline:
                return result

    async def put(self, key: str, value: bytes, **options: Any) -> int:
        inner = super().put
        return await self._write_with_fault(
            lambda: inner(key, value, **options)
        )

    async def delete(self, key: str, **options: Any) -> None:
        inner = super().delete
        await self._write_with_fault(lambda: inner(key, **options))

    async def grant_lease(self, ttl_s: float) -> Any:
        self._raise_if_down()
        return await super().grant_lease(ttl_s)

    async def renew_lease(self, lease_id: str) -> Any:
        self._raise_if_down()
        return await super().renew_lease(lease_id)

    def _raise_if_down(self) -> None:
        if self.down:
            raise StoreUnavailableError("The store is down.")

    async def _write_with_fault(
        self, write: Callable[[], Awaitable[Any]]
    ) -> Any:
        self._raise_if_down()
        self.writes += 1
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if fault is Fault.CRASH:
            raise Crash
        if fault is Fault.LOSE_REQUEST:
            raise StoreUnavailableError("The request was lost.")
        if fault is Fault.DELAY:
            self._delayed_writes.append(write)
            raise StoreUnavailableError("The request is delayed.")
        result = await write()
        if fault is Fault.CRASH_AFTER:
            raise Crash
        if fault is Fault.LOSE_RESPONSE:
            raise StoreUnavailableError("The response was lost.")
        return result

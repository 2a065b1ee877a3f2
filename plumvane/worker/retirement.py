"""Empties a worker when the operators are about to remove it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from plumvane import events
from plumvane.errors import StoreUnavailableError
from plumvane.platform.retirement import (
    RetireState,
    retire_status,
    retired_instance,
)
from plumvane.store.base import Record, Store

__all__ = ["Retirement"]

# Pause after a write that failed, in seconds; the operators wait for it.
RETRY_S = 0.3


class Retirement:
    """Waits for the operators' request, hands over and tells them."""

    def __init__(
        self, name: str, store: Store, leave: Callable[[], Awaitable[None]]
    ) -> None:
        """Creates it.

        Args:
            name: Name of the instance.
            store: The platform's store.
            leave: Hands the instance's work over.
        """
        self._name = name
        self._store = store
        self._leave = leave
        self._asked = anyio.Event()

    def take_operator_change(self, record: Record) -> None:
        """Takes in a change of the operators' keys."""
        if retired_instance(record.key) == self._name and not record.deleted:
            self._asked.set()

    async def run(self) -> None:
        """Waits for the request and meets it."""
        await self._asked.wait()
        events.log(events.Event.RETIRE_STARTED)
        await self._tell(RetireState.RUNNING)
        await self._leave()
        await self._tell(RetireState.COMPLETED)
        events.log(events.Event.RETIRE_COMPLETED)

    async def _tell(self, state: RetireState) -> None:
        key, value = retire_status(self._name, state)
        while True:
            try:
                await self._store.put(key, value, expected_revision=None)
                return
            except StoreUnavailableError as error:
                events.log(
                    events.Event.REGISTRATION_DELAYED,
                    key=key,
                    error=error.detail,
                )
                await anyio.sleep(RETRY_S)

"""Drains a worker when the operators retire its instance."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from plumvane import events
from plumvane.errors import StoreUnavailableError
from plumvane.platform.retirement import (
    RetireState,
    instance_to_retire,
    retire_status,
)
from plumvane.store.base import Record, Store

__all__ = ["Retirement"]

# Delay before a failed write is retried, in seconds. It is short because the
# operators wait for the status.
RETRY_S = 0.3


class Retirement:
    """Drains the instance when operators request it and reports the status."""

    def __init__(
        self, name: str, store: Store, drain: Callable[[], Awaitable[None]]
    ) -> None:
        """Creates the handler of retirement requests.

        Args:
            name: Name of the instance.
            store: The platform's store.
            drain: Hands the instance's work over.
        """
        self._name = name
        self._store = store
        self._drain = drain
        self._requested = anyio.Event()

    def handle_operator_change(self, record: Record) -> None:
        """Checks a changed operator key for a request to this instance."""
        if instance_to_retire(record.key) == self._name and not record.deleted:
            self._requested.set()

    async def run(self) -> None:
        """Waits for a request, drains the instance and writes the status."""
        await self._requested.wait()
        events.log(events.Event.RETIRE_STARTED)
        await self._write_status(RetireState.RUNNING)
        await self._drain()
        await self._write_status(RetireState.COMPLETED)
        events.log(events.Event.RETIRE_COMPLETED)

    async def _write_status(self, state: RetireState) -> None:
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

"""Makes sure that the configuration in force is current."""

from __future__ import annotations

import anyio

from plumvane import clock, events
from plumvane.discovery.view import FleetView
from plumvane.errors import PlumvaneError

__all__ = ["ConfigurationCheck"]

# Shortest interval of the reads of the configuration, in seconds: all requests
# that wait share the next one.
READ_INTERVAL_S = 0.3
# Time limit of a read, in seconds; a slow store responds in less. Callers wait
# longer for an answer.
READ_TIMEOUT_S = 1.0


class ConfigurationCheck:
    """Reads the configuration for requests that it must not be too old for.

    The watch for changes cannot tell them: while it waits, its response may be
    lost.
    """

    def __init__(self, view: FleetView) -> None:
        """Creates the check.

        Args:
            view: Current configuration.
        """
        self._view = view
        self._reading = anyio.Lock()
        self._next_read_at = float("-inf")
        # Monotonic time at which the last read that failed was begun.
        self._failed_at = float("-inf")

    async def confirm_since(self, since: float) -> bool:
        """Returns whether the configuration has all changes up to a time.

        If that is not known, the configuration is read, unless another
        request's read, or one that failed, was begun after the call.

        Args:
            since: The monotonic time in seconds.
        """
        asked_at = clock.monotonic()
        if not self._view.operator_keys.is_failing:
            async with self._reading:
                await self._read(since, asked_at)
        return self._view.configuration_current_at() >= since

    async def _read(self, since: float, asked_at: float) -> None:
        if self._view.configuration_current_at() >= since:
            return
        if self._failed_at >= asked_at:
            return
        await anyio.sleep(max(0.0, clock.remaining(self._next_read_at)))
        began_at = clock.monotonic()
        self._next_read_at = began_at + READ_INTERVAL_S
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                await self._view.read_configuration()
        except (PlumvaneError, TimeoutError) as error:
            self._failed_at = began_at
            events.log(events.Event.CONFIGURATION_UNCONFIRMED, error=str(error))

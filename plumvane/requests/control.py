"""Interfaces of a ledger to the partition's owner and to running requests."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Callable

from plumvane.peers.messages import Settled
from plumvane.requests.claims import ClaimedRun

__all__ = ["OwnerState", "RunControl"]


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerState:
    """State of the owner's lease, of the store and of the configuration.

    Attributes:
        has_valid_lease: Returns whether the owner's lease is valid now.
        store_is_down: Returns whether the store is unavailable now.
        retention_s: Returns how long results are kept, in seconds.
    """

    has_valid_lease: Callable[[], bool]
    store_is_down: Callable[[], bool]
    retention_s: Callable[[], float]


class RunControl(abc.ABC):
    """Calls the sidecar and the entry that run a claimed request."""

    @abc.abstractmethod
    async def settle(self, run: ClaimedRun) -> Settled:
        """Asks a run's sidecar for its state and result.

        A sidecar that has not seen the run must not start it afterwards.

        Returns:
            The sidecar's reply; its state is `unknown` if the sidecar is lost.
        """

    @abc.abstractmethod
    async def stop(self, run: ClaimedRun) -> None:
        """Notifies the run's entry and sidecar that it was cancelled."""

    @abc.abstractmethod
    async def acknowledge(self, run: ClaimedRun) -> None:
        """Lets the run's sidecar discard the result, which is now stored."""

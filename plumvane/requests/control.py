"""Interfaces of a ledger to the partition's owner and to running requests."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Callable

from plumvane.errors import NotOwnerError, StoreUnavailableError
from plumvane.peers.messages import Settled
from plumvane.requests.claims import ClaimedRun

__all__ = ["OwnerState", "RunControl"]

RETRY_AFTER_S = 2.0


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

    def check_lease(self) -> None:
        """Raises NotOwnerError if the lease has lapsed and the store is up."""
        if not self.has_valid_lease() and not self.store_is_down():
            raise NotOwnerError("The owner's lease has lapsed.")

    def check_denial(self) -> None:
        """Checks that no other owner can have stored what is unknown here.

        Raises:
            NotOwnerError: The lease has lapsed; another instance may own the
                partition.
            StoreUnavailableError: The lease has lapsed and the store is down.
        """
        self.check_lease()
        if not self.has_valid_lease():
            raise StoreUnavailableError(
                "The owner cannot renew its lease.",
                retry_after_s=RETRY_AFTER_S,
            )


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

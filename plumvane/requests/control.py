"""What a ledger needs of its owner, and how it reaches the runs."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Callable

from plumvane.peers.messages import Settled
from plumvane.requests.claims import ClaimedRun

__all__ = ["OwnerState", "RunControl"]


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerState:
    """What the owner knows of its lease and of the store.

    Attributes:
        may_promise: Whether the owner's lease covers an answer now.
        store_is_down: Whether the store does not answer now.
        retention_s: How long results are kept, in seconds.
    """

    may_promise: Callable[[], bool]
    store_is_down: Callable[[], bool]
    retention_s: Callable[[], float]


class RunControl(abc.ABC):
    """Reaches the sidecars and entries that run a claimed request."""

    @abc.abstractmethod
    async def settle(self, run: ClaimedRun) -> Settled:
        """Asks a run's sidecar what became of it, and forbids an unseen run.

        Returns:
            The sidecar's word; `unknown` if it is lost.
        """

    @abc.abstractmethod
    async def stop(self, run: ClaimedRun) -> None:
        """Tells a run's entry and sidecar that it was cancelled."""

    @abc.abstractmethod
    async def acknowledge(self, run: ClaimedRun) -> None:
        """Lets a run's sidecar forget its answer."""

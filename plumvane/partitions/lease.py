"""The lease of an instance that owns partitions."""

from __future__ import annotations

import anyio

from plumvane import clock, events
from plumvane.errors import NotFoundError, StoreUnavailableError
from plumvane.store.base import Lease, Store

__all__ = ["INSTANCE_PREFIX", "InstanceLease"]

LEASE_TTL_S = 3.0
# An owner stops promising this long before its lease lapses.
LEASE_MARGIN_S = 0.3
INSTANCE_PREFIX = "owners/instance/"


class InstanceLease:
    """Grants, registers and renews one instance's lease.

    A lease is registered when the instance's key names it; before that other
    instances do not count it.
    """

    def __init__(self, store: Store, name: str) -> None:
        """Creates no lease yet.

        Args:
            store: The platform's store.
            name: Name of the instance.
        """
        self._store = store
        self._name = name
        self._granted: Lease | None = None
        self._registered: Lease | None = None
        self._lock = anyio.Lock()

    @property
    def lease_id(self) -> str | None:
        """Identifier of the registered lease, or None."""
        return None if self._registered is None else self._registered.lease_id

    def covers_now(self) -> bool:
        """Returns whether the lease covers an answer given now."""
        if self._registered is None:
            return False
        return clock.monotonic() < self._registered.deadline - LEASE_MARGIN_S

    async def obtain(self) -> tuple[str, bool]:
        """Renews the lease, or grants and registers a new one.

        Returns:
            The identifier of the registered lease, and whether it is new.

        Raises:
            StoreUnavailableError: The store does not answer.
        """
        async with self._lock:
            if self._registered is not None:
                try:
                    self._registered = await self._store.renew_lease(
                        self._registered.lease_id
                    )
                    return self._registered.lease_id, False
                except NotFoundError:
                    events.log(events.Event.LEASE_LOST, instance=self._name)
                    self._registered = self._granted = None
            lease = await self._register()
            self._registered = lease
            return lease.lease_id, True

    async def revoke(self) -> None:
        """Ends the lease; it lapses by itself if the store is away."""
        async with self._lock:
            lease, self._registered = self._registered, None
            self._granted = None
            if lease is None:
                return
            try:
                await self._store.revoke_lease(lease.lease_id)
            except StoreUnavailableError:
                return

    async def _register(self) -> Lease:
        """Writes the instance's key under a granted lease.

        A write whose answer is lost is repeated with the same lease: under
        another one, the first write could land late and end with its lease.
        """
        while True:
            if self._granted is None:
                self._granted = await self._store.grant_lease(LEASE_TTL_S)
            lease = self._granted
            try:
                await self._store.put(
                    INSTANCE_PREFIX + self._name,
                    lease.lease_id.encode(),
                    expected_revision=None,
                    lease_id=lease.lease_id,
                )
                return lease
            except NotFoundError:
                self._granted = None

"""Store lease of an instance that owns partitions."""

from __future__ import annotations

import anyio

from plumvane import clock, events
from plumvane.errors import NotFoundError, StoreUnavailableError
from plumvane.store.base import Lease, Store

__all__ = ["INSTANCE_PREFIX", "InstanceLease"]

LEASE_TTL_S = 3.0
# Safety margin before the lease expires, in seconds: within it the owner no
# longer relies on its ownership.
LEASE_MARGIN_S = 0.3
INSTANCE_PREFIX = "owners/instance/"


class InstanceLease:
    """Grants, registers and renews the lease of one instance.

    A lease is registered once the instance's key names it. Other instances
    ignore it until then.
    """

    def __init__(self, store: Store, name: str) -> None:
        """Initializes without a lease.

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

    def is_valid(self) -> bool:
        """Returns whether the lease is registered and not about to expire."""
        if self._registered is None:
            return False
        return clock.monotonic() < self._registered.deadline - LEASE_MARGIN_S

    async def obtain(self) -> tuple[str, bool]:
        """Renews the lease, or has a new one granted and registers it.

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
        """Revokes the lease; if the store is unavailable, it expires."""
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

        A write with a lost answer is retried with the same lease. With a new
        lease, the first write could still take effect after the second, and
        the key would be deleted when the first lease expires.
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

"""Registration of this instance: a key attached to a lease."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from plumvane import events
from plumvane.errors import NotFoundError, PlumvaneError
from plumvane.store.base import Store

__all__ = ["Registration"]

# Delay after a failed write, in seconds; a lease lasts at least ten times as
# long.
RETRY_S = 0.3


class Registration:
    """Keeps a leased key in the store and writes it again if it is deleted."""

    def __init__(
        self,
        store: Store,
        key: str,
        value: bytes,
        *,
        ttl_s: float,
        renew_s: float,
        is_present: Callable[[], bool],
    ) -> None:
        """Creates the registration.

        Args:
            store: The platform's store.
            key: The key.
            value: Value of the key.
            ttl_s: Time to live of the lease, in seconds.
            renew_s: Interval of renewals, in seconds.
            is_present: Returns whether the key is known to be in the store.
        """
        self._store = store
        self._key = key
        self._value = value
        self._ttl_s = ttl_s
        self._renew_s = renew_s
        self._is_present = is_present
        self._lease_id: str | None = None
        self._has_ended = False

    async def run(self) -> None:
        """Writes the key and renews its lease until `end` is called."""
        while not self._has_ended:
            try:
                await self._write_or_renew()
                await anyio.sleep(self._renew_s)
            except NotFoundError as error:
                self._lease_id = None
                events.log(
                    events.Event.LEASE_LOST, key=self._key, error=error.detail
                )
            except PlumvaneError as error:
                events.log(
                    events.Event.REGISTRATION_DELAYED,
                    key=self._key,
                    error=error.detail,
                )
                await anyio.sleep(RETRY_S)

    async def end(self) -> None:
        """Revokes the lease, which deletes the key.

        If the store does not respond, the key is deleted when its lease
        expires.
        """
        self._has_ended = True
        if self._lease_id is None:
            return
        try:
            await self._store.revoke_lease(self._lease_id)
        except PlumvaneError as error:
            events.log(
                events.Event.REGISTRATION_DELAYED,
                key=self._key,
                error=error.detail,
            )

    async def _write_or_renew(self) -> None:
        if self._lease_id is not None and self._is_present():
            await self._store.renew_lease(self._lease_id)
            return
        if self._lease_id is None:
            lease = await self._store.grant_lease(self._ttl_s)
            self._lease_id = lease.lease_id
        await self._store.put(
            self._key,
            self._value,
            expected_revision=None,
            lease_id=self._lease_id,
        )

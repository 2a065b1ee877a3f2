"""Administrative commands (orders) to an engine, guarded by a fenced lease."""

from __future__ import annotations

import json
import random
import secrets
from collections.abc import Callable

import anyio

from plumvane import clock, events
from plumvane.errors import PlumvaneError, UpstreamFailedError
from plumvane.fleet.current import CurrentDocument
from plumvane.httppool import NETWORK_ERRORS, HttpPool
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    Message,
    OrderLease,
    OrderLeaseGranted,
    PlanLoad,
)

__all__ = ["ORDER_TIMEOUT_S", "OrderSender"]

# An order is abandoned if the engine has not accepted it within this time.
ORDER_TIMEOUT_S = 5.0
# No order is sent within this time before the lease expires.
LEASE_MARGIN_S = 0.5
CALL_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 1.0
HTTP_CONFLICT = 409


class OrderSender:
    """Makes one engine load the version that the fleet document names."""

    def __init__(
        self,
        model: str,
        url: str,
        address: str,
        current: CurrentDocument,
        links: LinkPool,
        entries: Callable[[], list[str]],
    ) -> None:
        """Creates a sender without a lease.

        Args:
            model: Model behind the engine.
            url: Base URL of the engine; its host and port identify the engine
                in the lease records.
            address: Peer address of this sidecar.
            current: Fleet document in force.
            links: Connections to the entries.
            entries: Returns the peer addresses of the entries.
        """
        self._model = model
        self._url = url.rstrip("/")
        self._address = address
        self._upstream = self._url.rpartition("//")[2]
        self._current = current
        self._links = links
        self._entries = entries
        self._pool = HttpPool()
        self._holder = secrets.token_hex(8)
        self._fence = 0
        self._lease_deadline = 0.0
        self._send_after = 0.0
        self._loaded_version = ""
        # Whether the lease record in the store names the loaded version.
        self._is_load_recorded = True

    async def run(self) -> None:
        """Keeps the engine at the fleet document's version; never returns."""
        while True:
            target_version = self._target_version()
            if target_version and not (
                target_version == self._loaded_version
                and self._is_load_recorded
            ):
                try:
                    await self._load_version(target_version)
                except PlumvaneError as error:
                    events.log(
                        events.Event.ORDER_DELAYED,
                        model=self._model,
                        detail=error.detail,
                    )
                await anyio.sleep(RETRY_INTERVAL_S * random.uniform(0.8, 1.2))
                continue
            with anyio.move_on_after(RETRY_INTERVAL_S):
                await self._current.changed()

    def _target_version(self) -> str:
        model = self._current.document.models.get(self._model)
        return model.version if model is not None else ""

    async def _load_version(self, version: str) -> None:
        """Sends the order to load a version, if lease, rate and replicas allow.

        Raises:
            PlumvaneError: The load is not possible now and may be retried.
        """
        await self._obtain_lease()
        if self._loaded_version == version:
            return
        if clock.wall() < self._send_after:
            return
        await self._call_entry(
            PlanLoad(
                self._upstream,
                self._model,
                self._fence,
                bool(self._loaded_version),
            )
        )
        await self._send_order({"action": "load", "version": version})
        self._loaded_version = version
        self._is_load_recorded = False
        await self._obtain_lease()

    async def _obtain_lease(self) -> None:
        """Obtains or renews the lease and records the loaded version."""
        sent_at = clock.monotonic()
        reply = await self._call_entry(
            OrderLease(
                self._upstream,
                self._holder,
                self._fence,
                self._loaded_version,
                self._model,
                self._address,
            )
        )
        if not isinstance(reply, OrderLeaseGranted):
            raise PlumvaneError("The entry sent an unexpected reply.")
        if reply.fence != self._fence:
            self._loaded_version = reply.loaded
            self._send_after = reply.send_after
            if self._checks_orders():
                # The engine itself rejects late orders of earlier holders.
                self._send_after = 0.0
        self._fence = reply.fence
        self._is_load_recorded = True
        self._lease_deadline = sent_at + reply.ttl_s - LEASE_MARGIN_S

    def _checks_orders(self) -> bool:
        model = self._current.document.models.get(self._model)
        return model is not None and model.checks_orders

    async def _send_order(self, order: dict[str, str]) -> None:
        """Sends one order while the lease is valid.

        Raises:
            PlumvaneError: The lease has expired.
            UpstreamFailedError: The engine did not respond or rejected the
                order.
        """
        body = {**order, "model": self._model, "fence": self._fence}
        if clock.monotonic() >= self._lease_deadline:
            raise PlumvaneError("The lease for orders has expired.")
        try:
            with anyio.fail_after(ORDER_TIMEOUT_S):
                response = await self._pool.request(
                    "POST",
                    f"{self._url}/v1/orders",
                    content=json.dumps(body).encode(),
                )
        except (*NETWORK_ERRORS, TimeoutError) as error:
            raise UpstreamFailedError(
                f"The order to the engine failed: {type(error).__name__}."
            ) from error
        if response.status == HTTP_CONFLICT:
            events.log(events.Event.ORDER_REFUSED, model=self._model)
        if response.status != 200:
            raise UpstreamFailedError(
                f"The engine returned status {response.status} to an order."
            )

    async def _call_entry(self, message: Message) -> Message:
        """Calls one of two randomly chosen entries.

        Raises:
            PlumvaneError: No entry is known, or both calls failed.
        """
        addresses = self._entries()
        random.shuffle(addresses)
        error: PlumvaneError = PlumvaneError("No entry is known.")
        for address in addresses[:2]:
            try:
                return await self._links.call(
                    address,
                    message,
                    deadline=clock.monotonic() + CALL_TIMEOUT_S,
                )
            except PlumvaneError as call_error:
                error = call_error
        raise error

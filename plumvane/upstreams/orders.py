"""Orders to an engine, under a lease with a fencing number that rises."""

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

# An order that the engine has not taken by then is given up.
ORDER_TIMEOUT_S = 5.0
# An order is not sent this shortly before the lease lapses.
LEASE_MARGIN_S = 0.5
CALL_TIMEOUT_S = 3.0
RETRY_S = 1.0
HTTP_CONFLICT = 409


class OrderSender:
    """Orders one engine to load what the fleet document says."""

    def __init__(
        self,
        model: str,
        url: str,
        address: str,
        current: CurrentDocument,
        links: LinkPool,
        entries: Callable[[], list[str]],
    ) -> None:
        """Creates a sender that holds no lease.

        Args:
            model: Model behind the engine.
            url: Base URL of the engine; its address names it in the leases.
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
        self._loaded = ""
        # Whether the store holds what is loaded.
        self._is_told = True

    async def run(self) -> None:
        """Brings the engine to the document's version; runs always."""
        while True:
            wanted = self._wanted()
            if wanted and not (wanted == self._loaded and self._is_told):
                try:
                    await self._load(wanted)
                except PlumvaneError as error:
                    events.log(
                        events.Event.ORDER_DELAYED,
                        model=self._model,
                        detail=error.detail,
                    )
                await anyio.sleep(RETRY_S * random.uniform(0.8, 1.2))
                continue
            with anyio.move_on_after(RETRY_S):
                await self._current.changed()

    def _wanted(self) -> str:
        model = self._current.document.models.get(self._model)
        return model.version if model is not None else ""

    async def _load(self, version: str) -> None:
        """Orders a version, as soon as lease, rate and copies allow.

        Raises:
            PlumvaneError: Not now; try again later.
        """
        await self._obtain_lease()
        if self._loaded == version:
            return
        if clock.wall() < self._send_after:
            return
        await self._call(
            PlanLoad(
                self._upstream, self._model, self._fence, bool(self._loaded)
            )
        )
        await self._send({"action": "load", "version": version})
        self._loaded = version
        self._is_told = False
        await self._obtain_lease()

    async def _obtain_lease(self) -> None:
        """Renews the lease and tells what the engine has loaded."""
        sent = clock.monotonic()
        reply = await self._call(
            OrderLease(
                self._upstream,
                self._holder,
                self._fence,
                self._loaded,
                self._model,
                self._address,
            )
        )
        if not isinstance(reply, OrderLeaseGranted):
            raise PlumvaneError("The entry's reply is not understood.")
        if reply.fence != self._fence:
            self._loaded = reply.loaded
            self._send_after = reply.send_after
            if self._checks_orders():
                self._send_after = 0.0
        self._fence = reply.fence
        self._is_told = True
        self._lease_deadline = sent + reply.ttl_s - LEASE_MARGIN_S

    def _checks_orders(self) -> bool:
        model = self._current.document.models.get(self._model)
        return model is not None and model.checks_orders

    async def _send(self, order: dict[str, str]) -> None:
        """Sends one order if the lease covers it.

        Raises:
            PlumvaneError: The lease has lapsed, or the engine refused.
        """
        body = {**order, "model": self._model, "fence": self._fence}
        if clock.monotonic() >= self._lease_deadline:
            raise PlumvaneError("The lease for orders has lapsed.")
        try:
            with anyio.fail_after(ORDER_TIMEOUT_S):
                response = await self._pool.request(
                    "POST",
                    f"{self._url}/v1/orders",
                    content=json.dumps(body).encode(),
                )
        except (*NETWORK_ERRORS, TimeoutError) as error:
            raise UpstreamFailedError(
                f"The engine was lost: {type(error).__name__}."
            ) from error
        if response.status == HTTP_CONFLICT:
            events.log(events.Event.ORDER_REFUSED, model=self._model)
        if response.status != 200:
            raise UpstreamFailedError(
                f"The engine answered {response.status} to an order."
            )

    async def _call(self, message: Message) -> Message:
        """Calls one of the entries.

        Raises:
            PlumvaneError: No entry did what was asked.
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
            except PlumvaneError as caught:
                error = caught
        raise error

"""Leases for orders to engines, and the plan of loads, in the store."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from plumvane import clock
from plumvane.errors import (
    ConflictError,
    OverloadedError,
    StoreUnavailableError,
)
from plumvane.fleet.current import CurrentDocument
from plumvane.peers.messages import OrderLease, OrderLeaseGranted, PlanLoad
from plumvane.store.base import ABSENT, Store, list_pages
from plumvane.upstreams.orders import ORDER_TIMEOUT_S

__all__ = ["OrderLeases"]

LEASE_TTL_S = 6.0
# Clocks of instances differ by less than this.
CLOCK_MARGIN_S = 1.0
# A copy that changes counts as away for this.
CHANGE_S = 30.0
PREFIX = "orders/upstreams/"
LOADS_KEY = "orders/loads"
MAX_CHANGES = 10_000
# Sidecars of one engine that its lease remembers.
MAX_ADDRESSES = 8
PAGE_RECORDS = 500


class _LeaseRecord(msgspec.Struct, frozen=True):
    """Who may order an engine.

    Attributes:
        fence: Fencing number; rises with each holder.
        holder: Incarnation of the sidecar.
        deadline: End of the lease, seconds since the Unix epoch.
        loaded: Version that the engine was last ordered to load.
        model: Model of the engine.
        addresses: Peer addresses of its sidecars that had the lease, the
            last holder's last.
    """

    fence: int
    holder: str
    deadline: float
    loaded: str = ""
    model: str = ""
    addresses: tuple[str, ...] = ()


class _Change(msgspec.Struct, frozen=True):
    """A load that was planned."""

    upstream: str
    model: str
    time: float


class _Loads(msgspec.Struct, frozen=True):
    """Loads of the last while, oldest first."""

    changes: tuple[_Change, ...] = ()


class OrderLeases:
    """Serves the sidecars, which have no connection to the store."""

    def __init__(
        self,
        store: Store,
        current: CurrentDocument,
        sidecars: Callable[[str], set[str]],
    ) -> None:
        """Creates the service.

        Args:
            store: The platform's store.
            current: Fleet document in force.
            sidecars: Returns the addresses of a model's live sidecars.
        """
        self._store = store
        self._current = current
        self._sidecars = sidecars

    async def grant(self, message: OrderLease) -> OrderLeaseGranted:
        """Grants or renews the lease for orders to an engine.

        Raises:
            ConflictError: Another sidecar holds it.
            StoreUnavailableError: The store does not answer.
        """
        key = PREFIX + message.upstream
        found = await self._store.get(key)
        now = clock.wall()
        send_after = 0.0
        fence, loaded = 1, ""
        addresses: tuple[str, ...] = ()
        if found is not None:
            old = msgspec.json.decode(found.value, type=_LeaseRecord)
            fence, loaded = old.fence, old.loaded
            addresses = old.addresses
            is_own = (old.holder, old.fence) == (message.holder, message.fence)
            if is_own and now < old.deadline:
                loaded = message.loaded
            elif now < old.deadline + CLOCK_MARGIN_S:
                raise ConflictError("Another sidecar orders this engine.")
            else:
                fence += 1
                send_after = old.deadline + ORDER_TIMEOUT_S + CLOCK_MARGIN_S
        others = [a for a in addresses if a != message.address]
        record = _LeaseRecord(
            fence,
            message.holder,
            now + LEASE_TTL_S,
            loaded,
            message.model,
            (*others, message.address)[-MAX_ADDRESSES:],
        )
        await self._write(
            key,
            msgspec.json.encode(record),
            ABSENT if found is None else found.revision,
        )
        return OrderLeaseGranted(fence, LEASE_TTL_S, send_after, loaded)

    async def plan_load(self, message: PlanLoad) -> None:
        """Counts a load against the weight store's rate.

        Raises:
            OverloadedError: The rate is used up, or the copy is the last of
                a model in use.
            StoreUnavailableError: The store does not answer.
        """
        found = await self._store.get(LOADS_KEY)
        loads = _Loads()
        if found is not None:
            loads = msgspec.json.decode(found.value, type=_Loads)
        now = clock.wall()
        self._check_rate(loads, now)
        if message.in_use:
            await self._check_copies(loads, message, now)
        kept = [c for c in loads.changes if now - c.time < CHANGE_S]
        last = loads.changes[-1:]
        planned = _Change(message.upstream, message.model, now)
        changes = (*(kept or last), planned)[-MAX_CHANGES:]
        await self._write(
            LOADS_KEY,
            msgspec.json.encode(_Loads(changes)),
            ABSENT if found is None else found.revision,
        )

    def _check_rate(self, loads: _Loads, now: float) -> None:
        interval_s = self._current.document.load_interval_s
        if loads.changes and now < loads.changes[-1].time + interval_s:
            raise OverloadedError("The weight store's rate is used up.")

    async def _check_copies(
        self, loads: _Loads, message: PlanLoad, now: float
    ) -> None:
        changing = {
            change.upstream
            for change in loads.changes
            if change.model == message.model
            and change.upstream != message.upstream
            and now - change.time < CHANGE_S
        }
        copies = await self._live_upstreams(message.model)
        if not copies - changing - {message.upstream}:
            raise OverloadedError(
                f"This is the last copy of {message.model!r} in use."
            )

    async def _live_upstreams(self, model: str) -> set[str]:
        """Returns the engines with a version loaded and a live sidecar.

        A live sidecar that has had no lease is not counted: it may stand at
        an engine that has another one.
        """
        live = self._sidecars(model)
        found = set()
        async for page in list_pages(self._store, PREFIX, PAGE_RECORDS):
            for record in page:
                lease = msgspec.json.decode(record.value, type=_LeaseRecord)
                is_live = lease.model == model and live & set(lease.addresses)
                if is_live and lease.loaded:
                    found.add(record.key.removeprefix(PREFIX))
        return found

    async def _write(self, key: str, value: bytes, expected: int) -> None:
        """Writes by compare-and-swap; settles a lost answer by reading."""
        try:
            await self._store.put(key, value, expected_revision=expected)
        except (ConflictError, StoreUnavailableError):
            found = await self._store.get(key)
            if found is None or found.value != value:
                raise

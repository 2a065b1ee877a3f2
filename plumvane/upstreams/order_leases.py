"""Leases for orders to engines and the plan of weight loads, in the store."""

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
# Upper bound on the clock difference between two instances.
MAX_CLOCK_SKEW_S = 1.0
# A replica counts as unavailable for this long after its load is planned.
LOAD_WINDOW_S = 30.0
LEASE_KEY_PREFIX = "orders/upstreams/"
LOADS_KEY = "orders/loads"
MAX_PLANNED_LOADS = 10_000
# Sidecar addresses that are kept in the lease record of an engine.
MAX_ADDRESSES = 8
PAGE_RECORDS = 500


class _LeaseRecord(msgspec.Struct, frozen=True):
    """Lease for sending orders to an engine.

    Attributes:
        fence: Fencing number; increases with each new lease.
        holder: Incarnation of the sidecar.
        deadline: Expiry of the lease, seconds since the Unix epoch.
        loaded: Version that the engine was last ordered to load.
        model: Model of the engine.
        addresses: Peer addresses of the sidecars that have held the lease; the
            current holder's is last.
    """

    fence: int
    holder: str
    deadline: float
    loaded: str = ""
    model: str = ""
    addresses: tuple[str, ...] = ()


class _PlannedLoad(msgspec.Struct, frozen=True):
    """A planned load of weights."""

    upstream: str
    model: str
    time: float


class _LoadPlan(msgspec.Struct, frozen=True):
    """Recently planned loads, oldest first."""

    changes: tuple[_PlannedLoad, ...] = ()


class OrderLeases:
    """Grants leases and plans loads for sidecars, which lack store access."""

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
            sidecars: Returns the peer addresses of a model's live sidecars.
        """
        self._store = store
        self._current = current
        self._sidecars = sidecars

    async def grant(self, message: OrderLease) -> OrderLeaseGranted:
        """Grants or renews the lease for orders to an engine.

        Raises:
            ConflictError: Another sidecar holds the lease, or the record was
                changed concurrently.
            StoreUnavailableError: The store does not respond.
        """
        key = LEASE_KEY_PREFIX + message.upstream
        stored = await self._store.get(key)
        now = clock.wall()
        send_after = 0.0
        fence, loaded = 1, ""
        addresses: tuple[str, ...] = ()
        if stored is not None:
            previous = msgspec.json.decode(stored.value, type=_LeaseRecord)
            fence, loaded = previous.fence, previous.loaded
            addresses = previous.addresses
            is_renewal = (previous.holder, previous.fence) == (
                message.holder,
                message.fence,
            )
            if is_renewal and now < previous.deadline:
                loaded = message.loaded
            elif now < previous.deadline + MAX_CLOCK_SKEW_S:
                raise ConflictError(
                    "Another sidecar holds the lease for orders to this engine."
                )
            else:
                fence += 1
                send_after = (
                    previous.deadline + ORDER_TIMEOUT_S + MAX_CLOCK_SKEW_S
                )
        other_addresses = [
            address for address in addresses if address != message.address
        ]
        record = _LeaseRecord(
            fence,
            message.holder,
            now + LEASE_TTL_S,
            loaded,
            message.model,
            (*other_addresses, message.address)[-MAX_ADDRESSES:],
        )
        await self._write(
            key,
            msgspec.json.encode(record),
            ABSENT if stored is None else stored.revision,
        )
        return OrderLeaseGranted(fence, LEASE_TTL_S, send_after, loaded)

    async def plan_load(self, message: PlanLoad) -> None:
        """Plans a load within the rate limit of the weight store.

        Raises:
            OverloadedError: The rate limit is reached, or the engine is the
                last replica in use of its model.
            ConflictError: The plan was changed concurrently.
            StoreUnavailableError: The store does not respond.
        """
        stored = await self._store.get(LOADS_KEY)
        plan = _LoadPlan()
        if stored is not None:
            plan = msgspec.json.decode(stored.value, type=_LoadPlan)
        now = clock.wall()
        self._check_rate(plan, now)
        if message.in_use:
            await self._check_replicas(plan, message, now)
        recent = [
            load for load in plan.changes if now - load.time < LOAD_WINDOW_S
        ]
        newest = plan.changes[-1:]
        new_load = _PlannedLoad(message.upstream, message.model, now)
        changes = (*(recent or newest), new_load)[-MAX_PLANNED_LOADS:]
        await self._write(
            LOADS_KEY,
            msgspec.json.encode(_LoadPlan(changes)),
            ABSENT if stored is None else stored.revision,
        )

    def _check_rate(self, plan: _LoadPlan, now: float) -> None:
        interval_s = self._current.document.load_interval_s
        if plan.changes and now < plan.changes[-1].time + interval_s:
            raise OverloadedError(
                "The load rate limit of the weight store is reached."
            )

    async def _check_replicas(
        self, plan: _LoadPlan, message: PlanLoad, now: float
    ) -> None:
        loading = {
            load.upstream
            for load in plan.changes
            if load.model == message.model
            and load.upstream != message.upstream
            and now - load.time < LOAD_WINDOW_S
        }
        replicas = await self._live_upstreams(message.model)
        if not replicas - loading - {message.upstream}:
            raise OverloadedError(
                f"This engine is the last copy of {message.model!r} in use."
            )

    async def _live_upstreams(self, model: str) -> set[str]:
        """Returns the engines with a loaded version and a live sidecar.

        Only sidecars that have held a lease count, as the lease record names
        their engine. Any other may be a second sidecar of an engine that is
        already counted.
        """
        live = self._sidecars(model)
        upstreams = set()
        async for page in list_pages(
            self._store, LEASE_KEY_PREFIX, PAGE_RECORDS
        ):
            for record in page:
                lease = msgspec.json.decode(record.value, type=_LeaseRecord)
                is_live = lease.model == model and live & set(lease.addresses)
                if is_live and lease.loaded:
                    upstreams.add(record.key.removeprefix(LEASE_KEY_PREFIX))
        return upstreams

    async def _write(self, key: str, value: bytes, expected: int) -> None:
        """Writes by compare-and-swap.

        After an error the key is read back: the write may have succeeded even
        though its response was lost.
        """
        try:
            await self._store.put(key, value, expected_revision=expected)
        except (ConflictError, StoreUnavailableError):
            stored = await self._store.get(key)
            if stored is None or stored.value != value:
                raise

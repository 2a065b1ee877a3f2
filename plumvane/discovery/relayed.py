"""Store client that falls back to peers while the store is unreachable."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import TypeVar

import anyio
import msgspec

from plumvane import clock, events
from plumvane.discovery.mirror import OUTAGE_S, Mirror
from plumvane.discovery.peer_calls import register_handlers
from plumvane.discovery.peer_store import PeerEntry, PeerStore
from plumvane.discovery.registration import Registration
from plumvane.errors import PlumvaneError, StoreUnavailableError
from plumvane.peers.link import LinkPool
from plumvane.peers.server import PeerServer
from plumvane.store.base import (
    Lease,
    Record,
    TransactionalStore,
    WatchResult,
    Write,
)

__all__ = ["PEER_PREFIX", "PeerEntry", "RelayedStore"]

PEER_PREFIX = "plumvane/peers/"
# Delay between two reads of changed entries, in seconds: in proportion to the
# number of peers, so that reads of all of them stay below a rate, in calls per
# second, while instances come and go. It is shorter than their time to live.
MIN_PEER_PAUSE_S = 1.0
MAX_PEER_PAUSE_S = 3.0
MAX_PEER_READ_RATE = 25.0
# Time to live of a peer's entry, in seconds: long enough to survive short
# outages. A stale entry costs one failed call.
PEER_TTL_S = 10.0
PEER_RENEW_S = 3.0
# Longest wait of a watch of the entries, in seconds.
PEER_ENTRIES_WATCH_S = 10.0
# Delay between the end of a watch and the next read of its keys, in seconds. A
# store that drops its history cuts the watches before; one that is begun again
# too early hears neither of changes nor of the loss.
SETTLING_S = 0.25
# Interval of the direct probes of an unreachable store, in seconds.
PROBE_INTERVAL_S = 0.5
# Nonexistent key that is read to probe the store.
PROBE_KEY = "plumvane/probe"


T = TypeVar("T")


class RelayedStore(TransactionalStore):
    """Calls the store directly, or through a peer that can reach it.

    The store may reject some instances while it serves the others. A failed
    read is retried through a peer at once, a failed write only if it certainly
    was not applied. While the store is unreachable all calls go to peers.
    """

    def __init__(
        self,
        store: TransactionalStore,
        name: str,
        address: str,
        rng: random.Random,
        role: str = "",
        *,
        listen_address: str = "",
    ) -> None:
        """Creates the store.

        Args:
            store: The platform's store.
            name: Name of this instance.
            address: Address at which peers reach this instance.
            rng: Random source for the choice of peers.
            role: Role of this instance, published to its peers.
            listen_address: Address to listen on for peers, if it differs.
        """
        self.links = LinkPool(name)
        self.server = PeerServer(listen_address or address)
        self._store = store
        # Registered instances, including this one.
        self.peers_by_name: dict[str, PeerEntry] = {}
        # The store as peers reach it.
        self.through_peers = PeerStore(
            self.links, name, self.peers_by_name, rng
        )
        self._peers = Mirror(
            self,
            PEER_PREFIX,
            self._apply_peer,
            pause_s=MIN_PEER_PAUSE_S,
            watch_s=lambda: PEER_ENTRIES_WATCH_S,
        )
        key = PEER_PREFIX + name
        self._registration = Registration(
            self,
            key,
            PeerEntry(address, role).encode(),
            ttl_s=PEER_TTL_S,
            renew_s=PEER_RENEW_S,
            is_present=lambda: key in self._peers.records_by_key,
        )
        self._unreachable = anyio.Event()
        self._unreachable_since = float("-inf")
        self._outage_ended_at = float("-inf")
        # Set when the store is found silent or responds again, then replaced.
        self._path_changed = anyio.Event()
        # Prefixes that were last watched through peers.
        self._relayed_prefixes: set[str] = set()
        register_handlers(self.server, store, self._is_unreachable)

    def _is_unreachable(self) -> bool:
        return self._unreachable.is_set()

    @property
    def has_listed_peers(self) -> bool:
        """Whether all peers were listed once."""
        return self._peers.loaded.is_set()

    def outage_ended_at(self) -> float:
        """Returns when the store's last outage ended for this instance.

        Unlike a watch that waits, calls that fail show an outage. The time is a
        monotonic one in seconds, infinite while the outage lasts.
        """
        if self._is_unreachable() and self._is_outage():
            return float("inf")
        return self._outage_ended_at

    def _is_outage(self) -> bool:
        return clock.monotonic() - self._unreachable_since >= OUTAGE_S

    async def run(self) -> None:
        """Serves and discovers peers, and probes the store, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.links.run)
            group.start_soon(self.server.run)
            group.start_soon(self._peers.run)
            group.start_soon(self._registration.run)
            group.start_soon(self._probe)

    def _apply_peer(self, record: Record) -> None:
        name = record.key.removeprefix(PEER_PREFIX)
        self.peers_by_name.pop(name, None)
        pause_s = len(self._peers.records_by_key) / MAX_PEER_READ_RATE
        self._peers.pause_s = min(
            max(pause_s, MIN_PEER_PAUSE_S), MAX_PEER_PAUSE_S
        )
        if record.deleted:
            return
        try:
            self.peers_by_name[name] = PeerEntry.decode(record.value)
        except msgspec.MsgspecError as error:
            events.log(
                events.Event.PEER_UNREADABLE,
                peer=name,
                revision=record.revision,
                error=str(error),
            )

    # Store interface

    async def get(self, key: str) -> Record | None:
        """See base class."""
        return await self._call(lambda store: store.get(key))

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int | None = None
    ) -> WatchResult:
        """See base class."""
        return await self._call(
            lambda store: store.list(prefix, after_key=after_key, limit=limit)
        )

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        """See base class; returns early if it is relayed by a peer.

        It also returns early if the store is found silent, or responds again,
        while it waits: the response may be lost although its connection lives.
        """
        ends_at = deadline

        def watch(store: TransactionalStore) -> Awaitable[WatchResult]:
            self._record_watch_source(prefix, store)
            return store.watch(prefix, after_revision, deadline=ends_at)

        if clock.remaining(deadline) > 0:
            result = await _unless(
                self._path_changed, lambda: self._call(watch)
            )
            if result is not None:
                return result
            await anyio.sleep(SETTLING_S)
            ends_at = clock.monotonic()
        return await self._call(watch)

    def _record_watch_source(
        self, prefix: str, store: TransactionalStore
    ) -> None:
        is_relayed = store is self.through_peers
        if is_relayed == (prefix in self._relayed_prefixes):
            return
        if is_relayed:
            self._relayed_prefixes.add(prefix)
        else:
            self._relayed_prefixes.discard(prefix)
        events.log(
            events.Event.WATCH_SOURCE,
            prefix=prefix,
            source="peers" if is_relayed else "store",
        )

    async def transact(
        self, writes: Sequence[Write], *, expected_by_key: Mapping[str, int]
    ) -> int:
        """See base class."""
        return await self._call(
            lambda store: store.transact(
                writes, expected_by_key=expected_by_key
            ),
            is_repeatable=False,
        )

    async def grant_lease(self, ttl_s: float) -> Lease:
        """See base class."""
        return await self._call(lambda store: store.grant_lease(ttl_s))

    async def renew_lease(self, lease_id: str) -> Lease:
        """See base class."""
        return await self._call(lambda store: store.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: str) -> None:
        """See base class."""
        await self._call(lambda store: store.revoke_lease(lease_id))

    # Direct and relayed calls

    async def _call(
        self,
        call: Callable[[TransactionalStore], Awaitable[T]],
        *,
        is_repeatable: bool = True,
    ) -> T:
        """Calls the store, or a peer if the store is unreachable.

        Args:
            call: Makes the call at the given store.
            is_repeatable: Whether the call may be repeated if it may already
                have been executed.
        """
        if not self._is_unreachable():
            try:
                return await call(self._store)
            except StoreUnavailableError as error:
                self._record_unreachable(error)
                if not (is_repeatable or error.not_run):
                    raise
        return await call(self.through_peers)

    def _record_unreachable(self, error: StoreUnavailableError) -> None:
        if not self._unreachable.is_set():
            self._unreachable.set()
            self._unreachable_since = clock.monotonic()
            events.log(events.Event.STORE_CUT, error=error.detail)
            # A store that refuses calls also ends those that wait.
            if not error.not_run:
                self._end_waits()

    def _end_waits(self) -> None:
        self._path_changed.set()
        self._path_changed = anyio.Event()

    async def _probe(self) -> None:
        while True:
            await self._unreachable.wait()
            # The first probe is immediate: the store may close waiting watches
            # and still serve other calls.
            if await self._can_reach_store():
                was_outage = self._is_outage()
                self._unreachable = anyio.Event()
                events.log(events.Event.STORE_REACHED)
                if was_outage:
                    self._outage_ended_at = clock.monotonic()
                    self._end_waits()
            else:
                await anyio.sleep(PROBE_INTERVAL_S)

    async def _can_reach_store(self) -> bool:
        try:
            await self._store.get(PROBE_KEY)
        except StoreUnavailableError:
            return False
        return True


async def _unless(
    event: anyio.Event, call: Callable[[], Awaitable[T]]
) -> T | None:
    """Returns the result of a call, or None if the event is set before.

    A call that sets the event itself is ended as well.
    """
    result: T | None = None
    failure: PlumvaneError | None = None

    async def end_call() -> None:
        await event.wait()
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(end_call)
        try:
            result = await call()
        except PlumvaneError as error:
            failure = error
        group.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return result

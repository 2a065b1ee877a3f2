"""Store client that falls back to peers while the store is unreachable."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import TypeVar

import anyio
import msgspec

from plumvane import clock, events
from plumvane.decoding import decode
from plumvane.discovery.mirror import OUTAGE_S, Mirror
from plumvane.discovery.peer_calls import PEER_WATCH_S, register_handlers
from plumvane.discovery.registration import Registration
from plumvane.errors import (
    DeadlineExceededError,
    LinkLostError,
    ProtocolError,
    StoreUnavailableError,
)
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import Done, Message
from plumvane.peers.messages.stores import (
    GrantStoreLease,
    ReadStore,
    RenewStoreLease,
    RevokeStoreLease,
    StoreLease,
    StoreRecords,
    StoreWritten,
    WatchStore,
    WriteStore,
)
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
# Timeout of a peer's reply in addition to the wait of its watch, in seconds.
PEER_TIMEOUT_S = 1.0
# Time for which a peer that did not reply is tried last, in seconds; network
# partitions last several seconds.
SILENCE_S = 5.0
# Maximum number of peers tried for one call. It is more than one because a
# network partition may affect several instances.
MAX_PEERS_TRIED = 2
# Interval of the direct probes of an unreachable store, in seconds.
PROBE_INTERVAL_S = 0.5
# Nonexistent key that is read to probe the store.
PROBE_KEY = "plumvane/probe"


class PeerEntry(msgspec.Struct, frozen=True):
    """Entry that an instance registers for its peers.

    Attributes:
        address: Address for peers.
        role: Role of the instance.
    """

    address: str
    role: str

    def encode(self) -> bytes:
        """Encodes the entry as a store value."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, value: bytes) -> PeerEntry:
        """Decodes an entry from a store value.

        Raises:
            msgspec.MsgspecError: The value is not a valid entry.
        """
        return decode(_peer_decoder, value)


_peer_decoder = msgspec.msgpack.Decoder(PeerEntry)

T = TypeVar("T")
R = TypeVar("R", bound=Message)
AddressList = list[str]


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
        self._own_name = name
        self._rng = rng
        # Registered instances, including this one.
        self.peers_by_name: dict[str, PeerEntry] = {}
        self._peers = Mirror(
            self, PEER_PREFIX, self._apply_peer, pause_s=MIN_PEER_PAUSE_S
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
        self._last_responding_address = ""
        self._silent_until_by_address: dict[str, float] = {}
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
        message = ReadStore(key)

        async def relay() -> Record | None:
            reply = await self._call_peer(message, StoreRecords)
            return reply.records[0] if reply.records else None

        return await self._call(lambda: self._store.get(key), relay)

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int | None = None
    ) -> WatchResult:
        """See base class."""
        message = ReadStore(prefix, True, after_key, limit)

        async def relay() -> WatchResult:
            reply = await self._call_peer(message, StoreRecords)
            return WatchResult(reply.records, reply.revision)

        return await self._call(
            lambda: self._store.list(prefix, after_key=after_key, limit=limit),
            relay,
        )

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        """See base class; returns early if it is relayed by a peer."""

        async def direct() -> WatchResult:
            self._record_watch_source(prefix, is_relayed=False)
            return await self._store.watch(
                prefix, after_revision, deadline=deadline
            )

        async def relay() -> WatchResult:
            self._record_watch_source(prefix, is_relayed=True)
            wait_s = min(clock.remaining(deadline), PEER_WATCH_S)
            message = WatchStore(prefix, after_revision, clock.wall() + wait_s)
            reply = await self._call_peer(message, StoreRecords, wait_s)
            return WatchResult(reply.records, reply.revision)

        return await self._call(direct, relay)

    def _record_watch_source(self, prefix: str, *, is_relayed: bool) -> None:
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
        message = WriteStore(tuple(writes), dict(expected_by_key))

        async def relay() -> int:
            return (await self._call_peer(message, StoreWritten)).revision

        return await self._call(
            lambda: self._store.transact(
                writes, expected_by_key=expected_by_key
            ),
            relay,
            is_repeatable=False,
        )

    async def grant_lease(self, ttl_s: float) -> Lease:
        """See base class."""

        async def relay() -> Lease:
            return _lease(
                await self._call_peer(GrantStoreLease(ttl_s), StoreLease)
            )

        return await self._call(lambda: self._store.grant_lease(ttl_s), relay)

    async def renew_lease(self, lease_id: str) -> Lease:
        """See base class."""

        async def relay() -> Lease:
            message = RenewStoreLease(lease_id)
            return _lease(await self._call_peer(message, StoreLease))

        return await self._call(
            lambda: self._store.renew_lease(lease_id), relay
        )

    async def revoke_lease(self, lease_id: str) -> None:
        """See base class."""

        async def relay() -> None:
            await self._call_peer(RevokeStoreLease(lease_id), Done)

        await self._call(lambda: self._store.revoke_lease(lease_id), relay)

    # Direct and relayed calls

    async def _call(
        self,
        direct: Callable[[], Awaitable[T]],
        relay: Callable[[], Awaitable[T]],
        *,
        is_repeatable: bool = True,
    ) -> T:
        """Calls the store, or a peer if the store is unreachable.

        Args:
            direct: Calls the store directly.
            relay: Relays the call through a peer.
            is_repeatable: Whether the call may be repeated if it may already
                have been executed.
        """
        if not self._is_unreachable():
            try:
                return await direct()
            except StoreUnavailableError as error:
                self._record_unreachable(error)
                if not (is_repeatable or error.not_run):
                    raise
        return await relay()

    def _record_unreachable(self, error: StoreUnavailableError) -> None:
        if not self._unreachable.is_set():
            self._unreachable.set()
            self._unreachable_since = clock.monotonic()
            events.log(events.Event.STORE_CUT, error=error.detail)

    async def _probe(self) -> None:
        while True:
            await self._unreachable.wait()
            # The first probe is immediate: the store may close waiting watches
            # and still serve other calls.
            if await self._can_reach_store():
                if self._is_outage():
                    self._outage_ended_at = clock.monotonic()
                self._unreachable = anyio.Event()
                events.log(events.Event.STORE_REACHED)
            else:
                await anyio.sleep(PROBE_INTERVAL_S)

    async def _can_reach_store(self) -> bool:
        try:
            await self._store.get(PROBE_KEY)
        except StoreUnavailableError:
            return False
        return True

    async def _call_peer(
        self, message: Message, kind: type[R], wait_s: float = 0.0
    ) -> R:
        """Relays a call through a peer.

        Raises:
            StoreUnavailableError: No peer can reach the store; unless
                `not_run` is set, a peer may have executed the call.
        """
        is_not_run = True
        for address in self._peers_by_preference()[:MAX_PEERS_TRIED]:
            sent_at = clock.monotonic()
            deadline = sent_at + wait_s + PEER_TIMEOUT_S
            try:
                reply = await self.links.call(
                    address, message, deadline=deadline
                )
            except StoreUnavailableError as error:
                is_not_run = is_not_run and error.not_run
            except (DeadlineExceededError, LinkLostError) as error:
                is_not_run = False
                self._record_silence(address)
                events.log(
                    events.Event.STORE_PEER_SILENT,
                    peer=address,
                    call=type(message).__name__,
                    after_s=round(clock.monotonic() - sent_at, 2),
                    error=error.detail,
                )
            else:
                if not isinstance(reply, kind):
                    raise ProtocolError(
                        f"Unexpected reply {type(reply).__name__} from a peer."
                    )
                self._last_responding_address = address
                return reply
            if isinstance(message, WriteStore) and not is_not_run:
                break
        raise StoreUnavailableError(
            "Neither the store nor any peer responds.", not_run=is_not_run
        )

    def _record_silence(self, address: str) -> None:
        now = clock.monotonic()
        self._silent_until_by_address = {
            other: until
            for other, until in self._silent_until_by_address.items()
            if until > now
        }
        self._silent_until_by_address[address] = now + SILENCE_S

    def _peers_by_preference(self) -> AddressList:
        """Returns the addresses of peers in the order in which to try them.

        The last one that replied comes first, silent ones last.
        """
        addresses = [
            entry.address
            for name, entry in self.peers_by_name.items()
            if name != self._own_name
        ]
        self._rng.shuffle(addresses)
        now = clock.monotonic()
        addresses.sort(
            key=lambda address: (
                self._silent_until_by_address.get(address, 0.0) > now,
                address != self._last_responding_address,
            )
        )
        return addresses


def _lease(reply: StoreLease) -> Lease:
    wait_s = reply.deadline - clock.wall()
    return Lease(reply.lease_id, clock.monotonic() + wait_s)

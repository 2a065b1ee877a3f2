"""The platform's store, through a peer while this instance cannot reach it."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import TypeVar

import anyio
import msgspec

from plumvane import clock, events
from plumvane.discovery.mirror import Mirror
from plumvane.discovery.peer_calls import PEER_WATCH_S, serve_peers
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
# Pause between two readings of changed entries, in seconds: they outlive it.
PEER_PAUSE_S = 1.0
# Entries of peers outlive short outages; a stale one costs one failed call.
PEER_TTL_S = 10.0
PEER_RENEW_S = 3.0
# Time for a peer's reply beyond what it waits itself, in seconds.
PEER_TIMEOUT_S = 1.0
# Time for which a peer that did not reply is asked last, in seconds: cuts last
# several.
SILENT_S = 5.0
# Peers that are asked for one call; several may be cut off together.
PEERS_ASKED = 2
# Pause between two tries to reach the store directly, in seconds.
PROBE_S = 0.5
# A key that does not exist; reading it shows whether the store answers.
PROBE_KEY = "plumvane/probe"


class PeerEntry(msgspec.Struct, frozen=True):
    """What an instance lists of itself.

    Attributes:
        address: Where peers reach it.
        role: What it does.
    """

    address: str
    role: str

    def encode(self) -> bytes:
        """Returns its value for the store."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, value: bytes) -> PeerEntry:
        """Reads an entry from the store's value.

        Raises:
            msgspec.MsgspecError: The value is no entry.
        """
        return msgspec.msgpack.decode(value, type=cls)


T = TypeVar("T")
R = TypeVar("R", bound=Message)
Addresses = list[str]


class RelayedStore(TransactionalStore):
    """Calls the store directly, or by a peer that reaches it.

    The store may turn some instances away while it serves the others. Reads
    that fail are repeated at a peer at once, writes only if it is certain that
    they did not happen. While the store is out of reach all calls go to peers.
    """

    def __init__(
        self,
        store: TransactionalStore,
        name: str,
        address: str,
        rng: random.Random,
        role: str = "",
    ) -> None:
        """Creates the store.

        Args:
            store: The platform's store.
            name: Name of this instance.
            address: Where peers reach this instance.
            rng: Chooses peers.
            role: What this instance does, for those who look for peers.
        """
        self.links = LinkPool(name)
        self.server = PeerServer(address)
        self._direct = store
        self._own_name = name
        self._rng = rng
        # Instances that are listed, this one among them.
        self.peers_by_name: dict[str, PeerEntry] = {}
        self._peers = Mirror(
            self, PEER_PREFIX, self._take_peer, pause_s=PEER_PAUSE_S
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
        self._cut = anyio.Event()
        self._last_good_address = ""
        self._silent_until_by_address: dict[str, float] = {}
        serve_peers(self.server, store, self._is_cut)

    def _is_cut(self) -> bool:
        return self._cut.is_set()

    async def run(self) -> None:
        """Serves peers, finds them and watches the way to the store."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.links.run)
            group.start_soon(self.server.run)
            group.start_soon(self._peers.run)
            group.start_soon(self._registration.run)
            group.start_soon(self._probe)

    def _take_peer(self, record: Record) -> None:
        name = record.key.removeprefix(PEER_PREFIX)
        self.peers_by_name.pop(name, None)
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

    # Calls of this instance

    async def get(self, key: str) -> Record | None:
        """See base class."""
        message = ReadStore(key)

        async def ask() -> Record | None:
            reply = await self._ask(message, StoreRecords)
            return reply.records[0] if reply.records else None

        return await self._call(lambda: self._direct.get(key), ask)

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int | None = None
    ) -> WatchResult:
        """See base class."""
        message = ReadStore(prefix, True, after_key, limit)

        async def ask() -> WatchResult:
            reply = await self._ask(message, StoreRecords)
            return WatchResult(reply.records, reply.revision)

        return await self._call(
            lambda: self._direct.list(prefix, after_key=after_key, limit=limit),
            ask,
        )

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        """See base class; through a peer it ends early."""

        async def ask() -> WatchResult:
            wait_s = min(clock.remaining(deadline), PEER_WATCH_S)
            message = WatchStore(prefix, after_revision, clock.wall() + wait_s)
            reply = await self._ask(message, StoreRecords, wait_s)
            return WatchResult(reply.records, reply.revision)

        return await self._call(
            lambda: self._direct.watch(
                prefix, after_revision, deadline=deadline
            ),
            ask,
        )

    async def transact(
        self, writes: Sequence[Write], *, expected_by_key: Mapping[str, int]
    ) -> int:
        """See base class."""
        message = WriteStore(tuple(writes), dict(expected_by_key))

        async def ask() -> int:
            return (await self._ask(message, StoreWritten)).revision

        return await self._call(
            lambda: self._direct.transact(
                writes, expected_by_key=expected_by_key
            ),
            ask,
            is_repeatable=False,
        )

    async def grant_lease(self, ttl_s: float) -> Lease:
        """See base class."""

        async def ask() -> Lease:
            return _lease(await self._ask(GrantStoreLease(ttl_s), StoreLease))

        return await self._call(lambda: self._direct.grant_lease(ttl_s), ask)

    async def renew_lease(self, lease_id: str) -> Lease:
        """See base class."""

        async def ask() -> Lease:
            message = RenewStoreLease(lease_id)
            return _lease(await self._ask(message, StoreLease))

        return await self._call(lambda: self._direct.renew_lease(lease_id), ask)

    async def revoke_lease(self, lease_id: str) -> None:
        """See base class."""

        async def ask() -> None:
            await self._ask(RevokeStoreLease(lease_id), Done)

        await self._call(lambda: self._direct.revoke_lease(lease_id), ask)

    # The way to the store

    async def _call(
        self,
        direct: Callable[[], Awaitable[T]],
        ask: Callable[[], Awaitable[T]],
        *,
        is_repeatable: bool = True,
    ) -> T:
        """Calls the store, or a peer if it is out of reach.

        Args:
            direct: Makes the call.
            ask: Has a peer make it.
            is_repeatable: Whether it may be made again if it may have been
                made already.
        """
        if not self._is_cut():
            try:
                return await direct()
            except StoreUnavailableError as error:
                self._take_cut(error)
                if not (is_repeatable or error.not_run):
                    raise
        return await ask()

    def _take_cut(self, error: StoreUnavailableError) -> None:
        if not self._cut.is_set():
            self._cut.set()
            events.log(events.Event.STORE_CUT, error=error.detail)

    async def _probe(self) -> None:
        while True:
            await self._cut.wait()
            # The first try is made at once: the store cuts watches that wait
            # and serves on.
            if await self._reaches_store():
                self._cut = anyio.Event()
                events.log(events.Event.STORE_REACHED)
            else:
                await anyio.sleep(PROBE_S)

    async def _reaches_store(self) -> bool:
        try:
            await self._direct.get(PROBE_KEY)
        except StoreUnavailableError:
            return False
        return True

    async def _ask(
        self, message: Message, kind: type[R], wait_s: float = 0.0
    ) -> R:
        """Has a peer make a call.

        Raises:
            StoreUnavailableError: No peer reaches the store; unless
                `not_run`, a peer may have made the call.
        """
        is_certain = True
        for address in self._peers_in_turn()[:PEERS_ASKED]:
            deadline = clock.monotonic() + wait_s + PEER_TIMEOUT_S
            try:
                reply = await self.links.call(
                    address, message, deadline=deadline
                )
            except StoreUnavailableError as error:
                is_certain = is_certain and error.not_run
            except (DeadlineExceededError, LinkLostError):
                is_certain = False
                self._take_silence(address)
            else:
                if not isinstance(reply, kind):
                    raise ProtocolError(f"{type(reply).__name__} from a peer.")
                self._last_good_address = address
                return reply
            if isinstance(message, WriteStore) and not is_certain:
                break
        raise StoreUnavailableError(
            "Neither the store nor a peer answers.", not_run=is_certain
        )

    def _take_silence(self, address: str) -> None:
        now = clock.monotonic()
        self._silent_until_by_address = {
            other: until
            for other, until in self._silent_until_by_address.items()
            if until > now
        }
        self._silent_until_by_address[address] = now + SILENT_S

    def _peers_in_turn(self) -> Addresses:
        """Returns the peers, the last good one first, silent ones last."""
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
                address != self._last_good_address,
            )
        )
        return addresses


def _lease(reply: StoreLease) -> Lease:
    wait_s = reply.deadline - clock.wall()
    return Lease(reply.lease_id, clock.monotonic() + wait_s)

"""Store client whose calls peers relay."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import TypeVar

import msgspec

from plumvane import clock, events
from plumvane.decoding import decode
from plumvane.discovery.peer_calls import PEER_WATCH_S
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
from plumvane.store.base import (
    Lease,
    Record,
    TransactionalStore,
    WatchResult,
    Write,
)

__all__ = ["PeerEntry", "PeerStore"]

# Timeout of a peer's reply in addition to the wait of its watch, in seconds.
PEER_TIMEOUT_S = 1.0
# Time for which a peer that did not reply is tried last, in seconds; network
# partitions last several seconds.
SILENCE_S = 5.0
# Maximum number of peers tried for one call. It is more than one because a
# network partition may affect several instances.
MAX_PEERS_TRIED = 2


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

R = TypeVar("R", bound=Message)
AddressList = list[str]


class PeerStore(TransactionalStore):
    """Calls the store through a peer that can reach it.

    Without a peer that can, calls raise a `StoreUnavailableError`; unless
    `not_run` is set, a peer may have executed the call.
    """

    def __init__(
        self,
        links: LinkPool,
        own_name: str,
        peers_by_name: Mapping[str, PeerEntry],
        rng: random.Random,
    ) -> None:
        """Creates the client.

        Args:
            links: Connections to the peers.
            own_name: Name of this instance.
            peers_by_name: Registered instances, including this one.
            rng: Random source for the choice of peers.
        """
        self._links = links
        self._own_name = own_name
        self._peers_by_name = peers_by_name
        self._rng = rng
        self._last_responding_address = ""
        self._silent_until_by_address: dict[str, float] = {}

    async def get(self, key: str) -> Record | None:
        """See base class."""
        reply = await self._call_peer(ReadStore(key), StoreRecords)
        return reply.records[0] if reply.records else None

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int | None = None
    ) -> WatchResult:
        """See base class."""
        message = ReadStore(prefix, True, after_key, limit)
        reply = await self._call_peer(message, StoreRecords)
        return WatchResult(reply.records, reply.revision)

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        """See base class; returns early, after `PEER_WATCH_S` at most."""
        wait_s = min(clock.remaining(deadline), PEER_WATCH_S)
        message = WatchStore(prefix, after_revision, clock.wall() + wait_s)
        reply = await self._call_peer(message, StoreRecords, wait_s)
        return WatchResult(reply.records, reply.revision)

    async def transact(
        self, writes: Sequence[Write], *, expected_by_key: Mapping[str, int]
    ) -> int:
        """See base class."""
        message = WriteStore(tuple(writes), dict(expected_by_key))
        return (await self._call_peer(message, StoreWritten)).revision

    async def grant_lease(self, ttl_s: float) -> Lease:
        """See base class."""
        return _lease(await self._call_peer(GrantStoreLease(ttl_s), StoreLease))

    async def renew_lease(self, lease_id: str) -> Lease:
        """See base class."""
        message = RenewStoreLease(lease_id)
        return _lease(await self._call_peer(message, StoreLease))

    async def revoke_lease(self, lease_id: str) -> None:
        """See base class."""
        await self._call_peer(RevokeStoreLease(lease_id), Done)

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
                reply = await self._links.call(
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
            for name, entry in self._peers_by_name.items()
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

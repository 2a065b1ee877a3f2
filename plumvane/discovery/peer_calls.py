"""Handlers that relay store calls on behalf of peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

from plumvane import clock
from plumvane.errors import StoreUnavailableError
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
from plumvane.peers.server import Call, PeerServer
from plumvane.store.base import Lease, TransactionalStore

__all__ = ["PEER_WATCH_S", "register_handlers"]

# Longest wait of a watch relayed for a peer, in seconds. It is short so that
# the peer soon tries another instance if this one is lost, and learns soon that
# the store has dropped the history that its watch needs.
PEER_WATCH_S = 1.0

M = TypeVar("M", bound=Message)
Handler = Callable[[TransactionalStore, M], Awaitable[Message]]


def register_handlers(
    server: PeerServer,
    store: TransactionalStore,
    is_unreachable: Callable[[], bool],
) -> None:
    """Registers the handlers of store calls by peers.

    Args:
        server: Server to which the peers connect.
        store: The platform's store.
        is_unreachable: Returns whether this instance cannot reach the store;
            calls by peers are then refused at once.
    """

    def register(kind: type[M], handler: Handler[M]) -> None:
        async def handle_if_reachable(call: Call, message: M) -> Message:
            if is_unreachable():
                raise StoreUnavailableError(
                    "This instance cannot reach the store.", not_run=True
                )
            return await handler(store, message)

        server.handle(kind, handle_if_reachable)

    register(ReadStore, _read)
    register(WatchStore, _watch)
    register(WriteStore, _write)
    register(GrantStoreLease, _grant)
    register(RenewStoreLease, _renew)
    register(RevokeStoreLease, _revoke)


async def _read(store: TransactionalStore, message: ReadStore) -> Message:
    if message.is_prefix:
        result = await store.list(
            message.key, after_key=message.after_key, limit=message.limit
        )
        return StoreRecords(result.records, result.revision)
    record = await store.get(message.key)
    return StoreRecords(() if record is None else (record,))


async def _watch(store: TransactionalStore, message: WatchStore) -> Message:
    wait_s = min(message.deadline - clock.wall(), PEER_WATCH_S)
    result = await store.watch(
        message.prefix,
        message.after_revision,
        deadline=clock.monotonic() + max(0.0, wait_s),
    )
    return StoreRecords(result.records, result.revision)


async def _write(store: TransactionalStore, message: WriteStore) -> Message:
    revision = await store.transact(
        message.writes, expected_by_key=message.expected_by_key
    )
    return StoreWritten(revision)


async def _grant(
    store: TransactionalStore, message: GrantStoreLease
) -> Message:
    return _lease_message(await store.grant_lease(message.ttl_s))


async def _renew(
    store: TransactionalStore, message: RenewStoreLease
) -> Message:
    return _lease_message(await store.renew_lease(message.lease_id))


async def _revoke(
    store: TransactionalStore, message: RevokeStoreLease
) -> Message:
    await store.revoke_lease(message.lease_id)
    return Done()


def _lease_message(lease: Lease) -> StoreLease:
    wait_s = clock.remaining(lease.deadline)
    return StoreLease(lease.lease_id, clock.wall() + wait_s)

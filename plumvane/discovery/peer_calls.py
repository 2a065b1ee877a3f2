"""Calls of the store that this instance makes for its peers."""

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

__all__ = ["PEER_WATCH_S", "serve_peers"]

# Longest watch for a peer, in seconds: the peer asks another one soon after
# this instance is lost.
PEER_WATCH_S = 2.0

M = TypeVar("M", bound=Message)
Serve = Callable[[TransactionalStore, M], Awaitable[Message]]


def serve_peers(
    server: PeerServer, store: TransactionalStore, is_cut: Callable[[], bool]
) -> None:
    """Registers the handlers of peers' calls of the store.

    Args:
        server: Serves the peers.
        store: The platform's store.
        is_cut: Whether this instance does not reach the store; its peers are
            then refused at once.
    """

    def handle(kind: type[M], serve: Serve[M]) -> None:
        async def checked(call: Call, message: M) -> Message:
            if is_cut():
                raise StoreUnavailableError(
                    "This instance does not reach the store.", not_run=True
                )
            return await serve(store, message)

        server.handle(kind, checked)

    handle(ReadStore, _read)
    handle(WatchStore, _watch)
    handle(WriteStore, _write)
    handle(GrantStoreLease, _grant)
    handle(RenewStoreLease, _renew)
    handle(RevokeStoreLease, _revoke)


async def _read(store: TransactionalStore, message: ReadStore) -> Message:
    if message.is_prefix:
        found = await store.list(
            message.key, after_key=message.after_key, limit=message.limit
        )
        return StoreRecords(found.records, found.revision)
    record = await store.get(message.key)
    return StoreRecords(() if record is None else (record,))


async def _watch(store: TransactionalStore, message: WatchStore) -> Message:
    wait_s = min(message.deadline - clock.wall(), PEER_WATCH_S)
    found = await store.watch(
        message.prefix,
        message.after_revision,
        deadline=clock.monotonic() + max(0.0, wait_s),
    )
    return StoreRecords(found.records, found.revision)


async def _write(store: TransactionalStore, message: WriteStore) -> Message:
    revision = await store.transact(
        message.writes, expected_by_key=message.expected_by_key
    )
    return StoreWritten(revision)


async def _grant(
    store: TransactionalStore, message: GrantStoreLease
) -> Message:
    return _sent(await store.grant_lease(message.ttl_s))


async def _renew(
    store: TransactionalStore, message: RenewStoreLease
) -> Message:
    return _sent(await store.renew_lease(message.lease_id))


async def _revoke(
    store: TransactionalStore, message: RevokeStoreLease
) -> Message:
    await store.revoke_lease(message.lease_id)
    return Done()


def _sent(lease: Lease) -> StoreLease:
    wait_s = clock.remaining(lease.deadline)
    return StoreLease(lease.lease_id, clock.wall() + wait_s)

"""Tests of store calls relayed by peers over loopback links."""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from plumvane import clock
from plumvane.discovery import mirror
from plumvane.discovery.mirror import OUTAGE_S, Mirror
from plumvane.discovery.peer_calls import PEER_WATCH_S
from plumvane.discovery.relayed import (
    PEER_PREFIX,
    PROBE_INTERVAL_S,
    PeerEntry,
    RelayedStore,
)
from plumvane.errors import (
    ConflictError,
    HistoryLostError,
    StoreUnavailableError,
)
from plumvane.store.base import ABSENT, Record, WatchResult, Write
from plumvane.store.memory import MemoryStore
from standins.launcher import free_port

OUTER_DEADLINE_S = 30.0
POLL_S = 0.02
# Time between the cut of all watches and the loss of the history, in seconds.
DROPPING_S = 0.1
# Time limit of a call to a silent store, in seconds.
CALL_TIMEOUT_S = 0.1


class StoreConnection:
    """Connection of one instance to the shared store, with faults."""

    def __init__(self, store: MemoryStore) -> None:
        self.is_unreachable = False
        self.loses_responses = False
        # While the store is silent, calls fail after a time limit, and watches
        # get no response.
        self.is_silent = False
        self.calls = 0
        self._store = store

    def __getattr__(self, name: str) -> Any:
        call = getattr(self._store, name)

        async def call_with_faults(*values: Any, **named: Any) -> Any:
            self.calls += 1
            if self.is_unreachable:
                raise StoreUnavailableError(
                    "The store is unreachable.", not_run=True
                )
            if self.is_silent and name != "watch":
                await anyio.sleep(CALL_TIMEOUT_S)
                raise StoreUnavailableError("The store did not respond.")
            result = await call(*values, **named)
            if self.is_silent:
                await anyio.sleep_forever()
            if self.loses_responses and name == "transact":
                self.is_unreachable = True
                raise StoreUnavailableError("The response was lost.")
            return result

        return call_with_faults


Steps = Callable[[list[RelayedStore], list[StoreConnection]], Awaitable[None]]


class DroppingStore(MemoryStore):
    """In-memory store that drops its history a while after it cut all watches.

    Watches that are begun in between hear neither of the changes before nor
    that their history is gone.
    """

    def __init__(self) -> None:
        super().__init__()
        self._is_dropping = False
        self._cut = anyio.Event()

    async def drop_history(self, key: str, value: bytes) -> None:
        """Cuts all watches, writes a key, and drops the history."""
        self._is_dropping = True
        self._cut.set()
        self._cut = anyio.Event()
        await anyio.sleep(POLL_S)
        await self.put(key, value, expected_revision=None)
        await anyio.sleep(DROPPING_S)
        self.forget_history()
        self._is_dropping = False

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        if self._is_dropping:
            await anyio.sleep(clock.remaining(deadline))
            return WatchResult((), after_revision)
        found: list[WatchResult] = []

        async def watch() -> None:
            found.append(
                await super(DroppingStore, self).watch(
                    prefix, after_revision, deadline=deadline
                )
            )
            group.cancel_scope.cancel()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(watch)
                await self._cut.wait()
                group.cancel_scope.cancel()
        except* HistoryLostError:
            raise HistoryLostError("The history is gone.") from None
        if not found:
            raise StoreUnavailableError("The connection was closed.")
        return found[0]


def run_with_peers(steps: Steps, count: int = 2) -> None:
    """Runs steps while instances that have discovered each other run."""

    async def run() -> None:
        shared = MemoryStore()
        connections = [StoreConnection(shared) for _ in range(count)]
        stores = []
        for number, connection in enumerate(connections):
            address = f"127.0.0.1:{free_port('127.0.0.1')}"
            direct: Any = connection
            rng = random.Random(number)
            stores.append(RelayedStore(direct, f"n{number}", address, rng))
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                for store in stores:
                    group.start_soon(store.run)
                for store in stores:
                    while len(store._peers.records_by_key) < count:
                        await anyio.sleep(POLL_S)
                await steps(stores, connections)
                group.cancel_scope.cancel()

    anyio.run(run)


def test_calls_are_relayed_while_the_store_is_unreachable() -> None:
    async def steps(
        stores: list[RelayedStore], connections: list[StoreConnection]
    ) -> None:
        connections[0].is_unreachable = True
        revision = await stores[0].transact(
            [Write("a", b"one")], expected_by_key={"a": ABSENT}
        )
        record = await stores[0].get("a")
        assert record is not None
        assert (record.value, record.revision) == (b"one", revision)
        assert await stores[0].get("absent") is None
        listed = await stores[0].list("a")
        assert [r.key for r in listed.records] == ["a"]
        await stores[1].put("a", b"two", expected_revision=revision)
        watched = await stores[0].watch(
            "a", revision, deadline=clock.monotonic() + 5.0
        )
        assert [r.value for r in watched.records] == [b"two"]
        try:
            await stores[0].put("a", b"late", expected_revision=revision)
            raise AssertionError("a write with an outdated revision succeeded")
        except ConflictError:
            pass
        lease = await stores[0].grant_lease(20.0)
        await stores[0].put(
            "l", b"", expected_revision=None, lease_id=lease.lease_id
        )
        await stores[0].renew_lease(lease.lease_id)
        await stores[0].revoke_lease(lease.lease_id)
        assert await stores[0].get("l") is None

    run_with_peers(steps)


def test_possibly_applied_write_is_not_repeated() -> None:
    async def steps(
        stores: list[RelayedStore], connections: list[StoreConnection]
    ) -> None:
        connections[0].loses_responses = True
        try:
            await stores[0].put("a", b"one", expected_revision=ABSENT)
            raise AssertionError("a write without a response succeeded")
        except StoreUnavailableError as error:
            assert not error.not_run
        record = await stores[0].get("a")
        assert record is not None

    run_with_peers(steps)


def test_peers_refuse_without_a_call_while_the_store_is_down_for_all() -> None:
    async def steps(
        stores: list[RelayedStore], connections: list[StoreConnection]
    ) -> None:
        for connection in connections:
            connection.is_unreachable = True
        for store in stores:
            await failed_write(store)
        connections[1].calls = 0
        for _ in range(20):
            assert (await failed_write(stores[0])).not_run
        assert connections[1].calls < 20, "peers called an unreachable store"

    run_with_peers(steps)


async def failed_write(store: RelayedStore) -> StoreUnavailableError:
    try:
        await store.put("a", b"one", expected_revision=None)
    except StoreUnavailableError as error:
        return error
    raise AssertionError("the write succeeded")


def test_direct_calls_resume_once_the_store_responds() -> None:
    async def steps(
        stores: list[RelayedStore], connections: list[StoreConnection]
    ) -> None:
        connections[0].is_unreachable = True
        await stores[0].get("a")
        connections[0].is_unreachable = False
        while stores[0]._unreachable.is_set():
            await anyio.sleep(POLL_S)
        connections[1].is_unreachable = True
        await stores[0].put("a", b"one", expected_revision=None)

    run_with_peers(steps)


def test_outage_is_known_from_calls_that_fail() -> None:
    async def steps(
        stores: list[RelayedStore], connections: list[StoreConnection]
    ) -> None:
        store = stores[0]
        assert store.outage_ended_at() == -math.inf
        connections[0].is_unreachable = True
        await store.get("a")
        assert store.outage_ended_at() == -math.inf, "a call may fail alone"
        while store.outage_ended_at() != math.inf:
            await anyio.sleep(POLL_S)
        connections[0].is_unreachable = False
        while store.outage_ended_at() == math.inf:
            await anyio.sleep(POLL_S)
        assert 0 <= clock.monotonic() - store.outage_ended_at() < 5.0

    run_with_peers(steps)


def test_peers_are_found_by_their_keys() -> None:
    async def steps(
        stores: list[RelayedStore], connections: list[StoreConnection]
    ) -> None:
        keys = set(stores[0]._peers.records_by_key)
        assert keys == {f"{PEER_PREFIX}n{number}" for number in range(3)}

    run_with_peers(steps, 3)


def test_invalid_peer_entry_is_ignored() -> None:
    async def steps(
        stores: list[RelayedStore], connections: list[StoreConnection]
    ) -> None:
        await stores[1].put(f"{PEER_PREFIX}x", b"?", expected_revision=None)
        while len(stores[0]._peers.records_by_key) < 3:
            await anyio.sleep(POLL_S)
        connections[0].is_unreachable = True
        assert sorted(stores[0].peers_by_name) == ["n0", "n1"]
        assert await stores[0].get("a") is None

    run_with_peers(steps)


def test_responsive_peer_is_preferred_to_silent_ones() -> None:
    async def steps(
        stores: list[RelayedStore], connections: list[StoreConnection]
    ) -> None:
        connections[0].is_unreachable = True
        # Without it the first call may try two silent peers, and fail.
        await stores[0].get("a")
        # Calls to an address without a listener get no reply.
        for number in range(6):
            address = f"127.0.0.1:{free_port('127.0.0.1')}"
            await stores[1].put(
                f"{PEER_PREFIX}silent{number}",
                PeerEntry(address, "gateway").encode(),
                expected_revision=None,
            )
        while len(stores[0]._peers.records_by_key) < 8:
            await anyio.sleep(POLL_S)
        await stores[0].get("a")
        started_at = clock.monotonic()
        for _ in range(10):
            await stores[0].get("a")
        assert clock.monotonic() - started_at < 1.0, "a silent peer was tried"

    run_with_peers(steps)


def test_reads_of_changed_peers_do_not_grow_with_the_square_of_the_fleet() -> (
    None
):
    """Restarts in turn of many instances: each change wakes every watch."""
    for count, most_calls_per_s in ((5, 5.0), (23, 23.0), (64, 25.0)):
        store = RelayedStore(
            MemoryStore(), "p0", "127.0.0.1:1", random.Random(1)
        )
        for number in range(count):
            entry = PeerEntry(f"127.0.0.1:{number + 1}", "gateway")
            record = Record(
                f"{PEER_PREFIX}p{number}", entry.encode(), number + 1
            )
            store._peers._apply(record)
        assert count / store._peers.pause_s <= most_calls_per_s
        assert store._peers.pause_s <= 3.0, "peers are found in bounded time"


async def run_with_mirror(
    store: RelayedStore, steps: Callable[[list[bytes]], Awaitable[None]]
) -> None:
    """Runs steps while a mirror follows the key `a`.

    Its first watch is short, the others are long.
    """
    values: list[bytes] = []
    waits_s = iter([2 * POLL_S])
    copy = Mirror(
        store,
        "a",
        lambda record: values.append(record.value),
        watch_s=lambda: next(waits_s, mirror.WATCH_S),
    )
    async with anyio.create_task_group() as group:
        group.start_soon(copy.run)
        await copy.loaded.wait()
        await steps(values)
        group.cancel_scope.cancel()


async def wait_for(values: list[bytes], value: bytes) -> None:
    while value not in values:
        await anyio.sleep(POLL_S)


# Guards against requests that are handled as an older configuration says: the
# watch waited for a store that other calls had found silent.
def test_watch_at_a_silent_store_goes_on_at_a_peer() -> None:
    async def steps(
        stores: list[RelayedStore], connections: list[StoreConnection]
    ) -> None:
        async def change_in_silence(values: list[bytes]) -> None:
            await anyio.sleep(10 * POLL_S)
            connections[0].is_silent = True
            # Another call finds the store silent, and is relayed.
            assert await stores[0].get("a") is None
            await stores[1].put("a", b"one", expected_revision=None)
            with anyio.fail_after(mirror.WATCH_S / 2):
                await wait_for(values, b"one")

        await run_with_mirror(stores[0], change_in_silence)

    run_with_peers(steps)


# Guards against the same once the store responds again: the watch still waited
# for a peer that had been cut off.
def test_watch_at_a_silent_peer_goes_on_at_the_store_that_responds() -> None:
    async def steps(
        stores: list[RelayedStore], connections: list[StoreConnection]
    ) -> None:
        async def change_after_outage(values: list[bytes]) -> None:
            connections[0].is_unreachable = True
            await anyio.sleep(OUTAGE_S)
            calls = connections[1].calls
            while connections[1].calls == calls:
                await anyio.sleep(POLL_S)
            # The peer that has just begun to relay the watch gets no response.
            connections[1].is_silent = True
            connections[0].is_unreachable = False
            await connections[0].put("a", b"one", expected_revision=None)
            with anyio.fail_after(PEER_WATCH_S / 2 + PROBE_INTERVAL_S):
                await wait_for(values, b"one")

        await run_with_mirror(stores[0], change_after_outage)

    run_with_peers(steps)


# Guards against the same after the store dropped its history: a watch that was
# begun again at once, beside the loss, heard of nothing up to its end.
def test_watch_is_told_of_history_that_is_dropped_after_its_cut() -> None:
    async def run() -> None:
        store: Any = DroppingStore()
        relayed = RelayedStore(store, "n0", "127.0.0.1:1", random.Random(0))
        relayed.through_peers = store

        async def change_unheard(values: list[bytes]) -> None:
            await anyio.sleep(10 * POLL_S)
            await store.drop_history("a", b"one")
            with anyio.fail_after(mirror.WATCH_S / 2):
                await wait_for(values, b"one")

        async with anyio.create_task_group() as group:
            group.start_soon(relayed._probe)
            await run_with_mirror(relayed, change_unheard)
            group.cancel_scope.cancel()

    anyio.run(run)

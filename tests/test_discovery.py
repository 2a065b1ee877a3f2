"""Tests of the fleet view under faults of the store."""

from __future__ import annotations

import json
import math
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from plumvane import clock, settings
from plumvane.discovery import mirror, view
from plumvane.discovery.connect import connect
from plumvane.discovery.registration import Registration
from plumvane.discovery.view import FleetView
from plumvane.errors import StoreUnavailableError
from plumvane.platform import names
from plumvane.store.base import Record, WatchResult
from plumvane.store.memory import MemoryStore

OUTER_DEADLINE_S = 20.0
POLL_S = 0.01


class OutageStore(MemoryStore):
    """In-memory store with simulated outages."""

    def __init__(self) -> None:
        super().__init__()
        self.is_down = False
        self._failed = anyio.Event()

    def fail(self) -> None:
        self.is_down = True
        self._failed.set()
        self._failed = anyio.Event()

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int | None = None
    ) -> WatchResult:
        self._raise_if_down()
        return await super().list(prefix, after_key=after_key, limit=limit)

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        self._raise_if_down()
        failed = self._failed
        while True:
            step = min(deadline, clock.monotonic() + POLL_S)
            result = await super().watch(prefix, after_revision, deadline=step)
            if failed.is_set():
                raise StoreUnavailableError("The connection was closed.")
            if result.records or clock.monotonic() >= deadline:
                return result

    def _raise_if_down(self) -> None:
        if self.is_down:
            raise StoreUnavailableError("The store is down.", not_run=True)


class SilentStore(MemoryStore):
    """In-memory store that does not respond to the end of a lease."""

    async def revoke_lease(self, lease_id: str) -> None:
        raise StoreUnavailableError("The store did not respond.")


def test_registration_ends_although_the_store_does_not_respond() -> None:
    async def run() -> None:
        store = SilentStore()
        registration = Registration(
            store,
            "k",
            b"v",
            ttl_s=0.2,
            renew_s=0.05,
            is_present=lambda: True,
        )
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(registration.run)
                while await store.get("k") is None:
                    await anyio.sleep(POLL_S)
                await registration.end()
            # The lease expires, since it is not renewed any more.
            while await store.get("k") is not None:
                await anyio.sleep(POLL_S)

    anyio.run(run)


def entry(**fields: Any) -> bytes:
    values = {
        "service": "engines",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        **fields,
    }
    return json.dumps(values).encode()


def configuration(version: int, timeout_ms: int = 5000) -> bytes:
    route = {
        "name": "r",
        "host": "h",
        "path-prefix": "/p/",
        "kind": "streaming",
        "timeout-ms": timeout_ms,
        "max-attempts": 2,
        "service": "engines",
        "resumable": True,
    }
    return json.dumps({"version": version, "routes": [route]}).encode()


Steps = Callable[[OutageStore, FleetView], Awaitable[None]]


def run_with_view(steps: Steps) -> None:
    """Runs steps while a view follows a store."""

    async def run() -> None:
        store = OutageStore()
        await put(store, "op/config", configuration(1))
        await put(store, "servers/u1", entry())
        fleet = FleetView(store, "a", random.Random(1))
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(fleet.run)
                await wait_until(fleet.is_loaded)
                await steps(store, fleet)
                group.cancel_scope.cancel()

    anyio.run(run)


async def put(store: MemoryStore, key: str, value: bytes) -> None:
    await store.put(key, value, expected_revision=None)


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await anyio.sleep(POLL_S)


def has_seen(fleet: FleetView, record: Record) -> bool:
    seen = fleet.operator_keys.records_by_key[record.key]
    return seen.revision >= record.revision


def is_listed(fleet: FleetView, upstream_id: str) -> bool:
    return upstream_id in fleet.upstreams.upstreams_by_id


def test_draining_upstream_is_not_ready_after_two_seconds() -> None:
    async def steps(store: OutageStore, fleet: FleetView) -> None:
        changed_at = clock.monotonic()
        await put(store, "servers/u1", entry(state="draining"))
        await wait_until(lambda: not fleet.upstreams.ready("engines"))
        assert clock.monotonic() - changed_at < 2.0

    run_with_view(steps)


def test_unchanged_prefix_is_current_once_the_store_recovers() -> None:
    async def steps(store: OutageStore, fleet: FleetView) -> None:
        store.fail()
        await wait_until(lambda: fleet.operator_keys.is_failing)
        await anyio.sleep(mirror.OUTAGE_S + 0.5)
        store.is_down = False
        recovered_at = clock.monotonic()
        await wait_until(lambda: not fleet.operator_keys.is_failing)
        assert clock.monotonic() - recovered_at < mirror.WATCH_S / 2
        # A removal long after the outage is not treated as an expired entry.
        await anyio.sleep(view.REREGISTRATION_TIMEOUT_S + 0.3)
        removed_at = clock.monotonic()
        await store.delete("servers/u1", expected_revision=None)
        await wait_until(lambda: not is_listed(fleet, "u1"))
        assert clock.monotonic() - removed_at < view.REREGISTRATION_TIMEOUT_S

    run_with_view(steps)


def test_entry_expired_in_an_outage_is_kept_for_reregistration() -> None:
    async def steps(store: OutageStore, fleet: FleetView) -> None:
        store.fail()
        await store.delete("servers/u1", expected_revision=None)
        await anyio.sleep(mirror.OUTAGE_S + 0.5)
        store.is_down = False
        await wait_until(lambda: not fleet.operator_keys.is_failing)
        await anyio.sleep(1.0)
        assert is_listed(fleet, "u1")
        await wait_until(lambda: not is_listed(fleet, "u1"))

    run_with_view(steps)


# Guards against requests that are refused for want of upstreams when the store
# is back: the entries of all had expired, and a waiting watch reported it.
def test_entries_that_a_waiting_watch_reports_gone_survive_an_outage() -> None:
    async def run() -> None:
        store = MemoryStore()
        ended_at = math.inf
        await put(store, "op/config", configuration(1))
        for name in ("u1", "u2"):
            await put(store, f"servers/{name}", entry())
        fleet = FleetView(
            store, "a", random.Random(1), outage_ended_at=lambda: ended_at
        )
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(fleet.run)
                await wait_until(fleet.is_loaded)
                for name in ("u1", "u2"):
                    await store.delete(
                        f"servers/{name}", expected_revision=None
                    )
                # The outage lasts longer than entries are kept after it.
                await anyio.sleep(view.REREGISTRATION_TIMEOUT_S + 0.7)
                assert is_listed(fleet, "u1")
                assert is_listed(fleet, "u2")
                ended_at = clock.monotonic()
                await put(store, "servers/u1", entry(sequence=2))
                await wait_until(lambda: not is_listed(fleet, "u2"))
                assert clock.monotonic() - ended_at >= 1.0
                assert is_listed(fleet, "u1")
                ended_at = -math.inf
                await store.delete("servers/u1", expected_revision=None)
                await wait_until(lambda: not is_listed(fleet, "u1"))
                group.cancel_scope.cancel()

    anyio.run(run)


def test_prefix_is_listed_again_after_lost_history() -> None:
    async def steps(store: OutageStore, fleet: FleetView) -> None:
        store.fail()
        store.is_down = False
        await store.delete("servers/u1", expected_revision=None)
        await put(store, "servers/u2", entry(address="10.0.0.2:80"))
        store.forget_history()
        await wait_until(lambda: is_listed(fleet, "u2"))
        await wait_until(lambda: not is_listed(fleet, "u1"))

    run_with_view(steps)


def test_invalid_entries_are_ignored_and_valid_ones_kept() -> None:
    async def steps(store: OutageStore, fleet: FleetView) -> None:
        invalid_values = {
            "bytes": b"\xff\x00",
            "partial": b'{"service":"engines"}',
            "state": entry(state="asleep"),
            "type": entry(slots="many"),
            "address": entry(address="somewhere"),
        }
        for name, value in invalid_values.items():
            await put(store, f"servers/{name}", value)
        await put(store, "servers/u2", entry(address="10.0.0.2:80"))
        await wait_until(lambda: is_listed(fleet, "u2"))
        assert set(fleet.upstreams.upstreams_by_id) == {"u1", "u2"}

    run_with_view(steps)


def test_restarted_upstream_is_replaced() -> None:
    async def steps(store: OutageStore, fleet: FleetView) -> None:
        before = fleet.upstreams.upstreams_by_id["u1"]
        before.record_failure(clock.monotonic())
        await put(store, "servers/u1", entry(born=1234, sequence=1))
        await wait_until(
            lambda: fleet.upstreams.upstreams_by_id["u1"] is not before
        )

    run_with_view(steps)


def test_older_and_invalid_configurations_are_ignored() -> None:
    async def steps(store: OutageStore, fleet: FleetView) -> None:
        await put(store, "op/config", configuration(7, 1000))
        await wait_until(
            lambda: fleet.routes is not None and fleet.routes.version == 7
        )
        for value in (configuration(6, 9000), b"{}"):
            await put(store, "op/config", value)
            record = await store.get("op/config")
            assert record is not None
            await wait_until(lambda r=record: has_seen(fleet, r))
            assert fleet.routes is not None
            assert fleet.routes.version == 7
        await put(store, "op/config", configuration(8, 2000))
        await wait_until(
            lambda: fleet.routes is not None and fleet.routes.version == 8
        )
        assert fleet.routes is not None
        route = fleet.routes.match("h", "/p/x")
        assert route is not None
        assert route.timeout_s == 2.0

    run_with_view(steps)


def test_changes_are_read_in_a_share_of_the_time_to_take_effect() -> None:
    """A release of upstreams, or a storm of configurations, at many processes.

    Each change costs each process a call, but at most one in a delay.
    """
    for bound_ms, upstream_pause_s, operator_pause_s, operator_watch_s in (
        (2_000, 0.5, 0.25, 10.0),
        (3_000, 0.75, 0.375, 15.0),
        (4_000, 1.0, 0.5, 20.0),
        (60_000, 1.0, 0.5, mirror.WATCH_S),
    ):
        loaded = settings.WorkerSettings(
            process=settings.InstanceSection(name="w", data_centre="a"),
            store=settings.StoreSection(url=settings.Url("http://127.0.0.1:1")),
            peers=settings.PeersSection(
                address=settings.Address("127.0.0.1", 1)
            ),
            upstreams=settings.UpstreamsSection(drain_ms=bound_ms),
            routes=settings.RoutesSection(apply_ms=bound_ms),
        )
        _, fleet = connect(loaded, random.Random(1), "worker")
        assert fleet._entries.pause_s == upstream_pause_s
        assert fleet.operator_keys.pause_s == operator_pause_s
        # The response to a watch may be lost; it then waits to its end.
        assert fleet.operator_keys._watch_s() == operator_watch_s


def test_configurations_in_quick_succession_share_a_read() -> None:
    class CountingStore(MemoryStore):
        watches = 0

        async def watch(self, *args: Any, **kwargs: Any) -> WatchResult:
            self.watches += 1
            return await super().watch(*args, **kwargs)

    async def steps() -> None:
        store = CountingStore()
        followed = FleetView(
            store, "a", random.Random(1), operator_pause_s=0.25
        )
        async with anyio.create_task_group() as group:
            group.start_soon(followed.operator_keys.run)
            await followed.operator_keys.loaded.wait()
            for version in range(1, 26):
                value = json.dumps({"version": version, "routes": []}).encode()
                await store.put(
                    names.CONFIGURATION_KEY, value, expected_revision=None
                )
                await anyio.sleep(0.04)
            while followed.routes is None or followed.routes.version < 25:
                await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()
        assert store.watches <= 10, "25 changes in 1 s, a read in 0.25 s"

    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await steps()

    anyio.run(run)


# Guards against a prefix that is not followed any more because of one record.
def test_fault_in_one_record_does_not_end_a_mirror() -> None:
    async def run() -> None:
        store = MemoryStore()
        applied: list[str] = []

        def apply(record: Record) -> None:
            if record.key == "faulty":
                raise ValueError("a fault of ours")
            applied.append(record.key)

        copy = mirror.Mirror(store, "", apply)
        async with anyio.create_task_group() as group:
            await put(store, "faulty", b"")
            await put(store, "one", b"")
            group.start_soon(copy.run)
            while "one" not in applied:
                await anyio.sleep(POLL_S)
            await put(store, "faulty", b"again")
            await put(store, "two", b"")
            while "two" not in applied:
                await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()

    async def run_in_time() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await run()

    anyio.run(run_in_time)


class LosingStore(MemoryStore):
    """In-memory store that loses the responses to watches, and counts reads."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        del prefix, after_revision, deadline
        await anyio.sleep_forever()
        raise AssertionError

    async def get(self, key: str) -> Record | None:
        self.reads += 1
        return await super().get(key)


# Guards against requests that are handled as an older configuration says: the
# response to the watch was lost, and only workers know the newer one.
def test_configuration_that_a_worker_tells_is_read() -> None:
    async def run() -> None:
        store = LosingStore()
        await put(store, names.CONFIGURATION_KEY, configuration(1))
        followed = FleetView(store, "a", random.Random(1))
        async with anyio.create_task_group() as group:
            group.start_soon(followed.run)
            await wait_until(lambda: followed.routes is not None)
            await put(store, names.CONFIGURATION_KEY, configuration(2))
            changed = await store.get(names.CONFIGURATION_KEY)
            assert changed is not None
            store.reads = 0
            followed.record_told_configuration(changed.revision)
            await wait_until(
                lambda: (
                    followed.routes is not None and followed.routes.version == 2
                )
            )
            # A revision that the store does not have is read for once.
            followed.record_told_configuration(changed.revision + 1)
            await anyio.sleep(5 * view.TOLD_MARGIN_S)
            group.cancel_scope.cancel()
        assert store.reads == 2

    async def run_in_time() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await run()

    anyio.run(run_in_time)


class DeafStore(MemoryStore):
    """In-memory store whose watches hang once, beyond their deadline."""

    def __init__(self) -> None:
        super().__init__()
        self.hung_watches = 0

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        if prefix != names.UPSTREAM_PREFIX or self.hung_watches:
            return await super().watch(
                prefix, after_revision, deadline=deadline
            )
        self.hung_watches += 1
        await anyio.sleep(clock.remaining(deadline))
        raise StoreUnavailableError("The store did not respond.")


# Guards against refused requests: a gateway used a list of upstreams that had
# not changed for half a minute, since the connection of its watch was dead.
def test_upstreams_are_followed_soon_after_a_watch_has_hung() -> None:
    async def steps() -> None:
        store = DeafStore()
        fleet_view = FleetView(store, "a", random.Random(1))
        async with anyio.create_task_group() as group:
            group.start_soon(fleet_view.run)
            while not store.hung_watches:
                await anyio.sleep(POLL_S)
            await store.put(
                f"{names.UPSTREAM_PREFIX}u",
                json.dumps(
                    {
                        "service": "s",
                        "address": "127.0.0.1:1",
                        "zone": "a",
                        "version": "1",
                        "slots": 1,
                        "state": "ready",
                        "warmup-left-ms": 0,
                        "sequence": 1,
                        "born": 1,
                    }
                ).encode(),
                expected_revision=None,
            )
            with anyio.fail_after(2 * view.UPSTREAM_WATCH_S):
                while "u" not in fleet_view.upstreams.upstreams_by_id:
                    await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()

    anyio.run(steps)

"""Gateways agree on the software version at which a stream may go on."""

from __future__ import annotations

import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from plumvane import clock
from plumvane.discovery.origins import STREAM_LIFETIME_S, Origin, StreamOrigins
from plumvane.discovery.relayed import PeerEntry
from plumvane.discovery.view import FleetView
from plumvane.errors import LinkLostError, StoreUnavailableError
from plumvane.peers.messages import Message
from plumvane.peers.messages.streams import FindStream, RecordStreams
from plumvane.platform import names
from plumvane.serving.routes import Route, RouteKind, WeightedService
from plumvane.store.base import WatchResult
from plumvane.store.memory import MemoryStore
from tests.gateways import SERVICE, make_listed_upstream, make_route

OUTER_DEADLINE_S = 15.0
POLL_S = 0.01
ROUTE = make_route(RouteKind.STREAM, is_resumable=True)
SPLIT_ROUTE = make_route(
    RouteKind.STREAM,
    is_resumable=True,
    services=(WeightedService(SERVICE, 1), WeightedService("other", 1)),
)
NAMES = ("g1", "g2", "g3", "g4")
Steps = Callable[["Fleet"], Awaitable[None]]


class CuttableStore(MemoryStore):
    """In-memory store from which a gateway may be cut off."""

    def __init__(self) -> None:
        super().__init__()
        self.is_cut = False

    async def list(self, prefix: str, **page: Any) -> WatchResult:
        self._raise_if_cut()
        return await super().list(prefix, **page)

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        self._raise_if_cut()
        return await super().watch(prefix, after_revision, deadline=deadline)

    def _raise_if_cut(self) -> None:
        if self.is_cut:
            raise StoreUnavailableError("The store did not respond.")


class Fleet:
    """Gateways that call each other without a network.

    Attributes:
        stores_by_name: The store as each gateway reaches it.
        views_by_name: Each gateway's view.
        origins_by_name: Each gateway's records of streams.
        lost_names: Gateways that do not answer.
        calls: Messages that were sent.
    """

    def __init__(self) -> None:
        self.links = self
        self.peers_by_name = {n: PeerEntry(n, "gateway") for n in NAMES}
        self.lost_names: set[str] = set()
        self.calls: list[Message] = []
        self.stores_by_name = {n: CuttableStore() for n in NAMES}
        self.views_by_name: dict[str, FleetView] = {}
        self.origins_by_name: dict[str, StreamOrigins] = {}
        peers: Any = self
        for name in NAMES:
            store = self.stores_by_name[name]
            view = FleetView(store, "a", random.Random(1))
            view._entries.is_failing = False
            self.views_by_name[name] = view
            self.origins_by_name[name] = StreamOrigins(name, peers, view)

    def list_versions(self, *versions: str, age_s: float = 0.0) -> None:
        """Lists one upstream of each version at all gateways."""
        for view in self.views_by_name.values():
            view.upstreams.upstreams_by_id.clear()
            for version in versions:
                view.upstreams.put(
                    make_listed_upstream(f"u{version}", version=version)
                )
            view._entries.current_at = clock.monotonic()
            listed_at = clock.monotonic() - age_s
            view.versions.update(SERVICE, frozenset(versions), listed_at)
            view.on_versions_change()

    async def list_in_store(self, name: str, *versions: str) -> None:
        """Lists one upstream of each version in the store of a gateway."""
        for version in versions:
            entry = {
                "service": SERVICE,
                "address": "127.0.0.1:1",
                "zone": "a",
                "version": version,
                "slots": 8,
                "state": "ready",
                "sequence": 1,
            }
            await self.stores_by_name[name].put(
                f"{names.UPSTREAM_PREFIX}u{version}",
                json.dumps(entry).encode(),
                expected_revision=None,
            )

    async def call(
        self, address: str, message: Message, *, deadline: float
    ) -> Message:
        """Passes a call to a gateway."""
        self.calls.append(message)
        if address in self.lost_names:
            raise LinkLostError("lost")
        call: Any = None
        origins = self.origins_by_name[address]
        if isinstance(message, RecordStreams):
            return await origins._handle_records(call, message)
        assert isinstance(message, FindStream)
        return await origins._handle_find(call, message)

    def begin(self, name: str, version: str, route: Route = ROUTE) -> None:
        """Begins the stream `s` at a gateway."""
        self.origins_by_name[name].record(
            "s", Origin(SERVICE, version), route, clock.monotonic() + 5.0
        )

    async def wait_for_copies(self, count: int) -> None:
        """Waits until a number of gateways have a record of the stream."""
        while count > sum(
            "s" in origins._records_by_id
            for origins in self.origins_by_name.values()
        ):
            await anyio.sleep(POLL_S)

    async def find_elsewhere(self, route: Route = ROUTE) -> list[Origin | None]:
        """Returns what the gateways that are not lost find out."""
        return [
            await origins.find("s", route)
            for name, origins in self.origins_by_name.items()
            if name not in self.lost_names
        ]


def run_fleet(steps: Steps) -> None:
    async def run() -> None:
        fleet = Fleet()
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                for origins in fleet.origins_by_name.values():
                    group.start_soon(origins.run)
                await steps(fleet)
                group.cancel_scope.cancel()

    anyio.run(run)


def test_version_is_known_elsewhere_after_its_gateway_is_lost() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.list_versions("1", "2")
        fleet.begin("g1", "2")
        await fleet.wait_for_copies(3)
        fleet.lost_names.add("g1")
        assert await fleet.find_elsewhere() == [Origin(SERVICE, "2")] * 3

    run_fleet(steps)


def test_records_go_to_other_peers_if_some_are_lost() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.list_versions("1", "2")
        fleet.lost_names.update({"g2", "g3"})
        origin, deadline = Origin(SERVICE, "2"), clock.monotonic() + 5.0
        ids = [f"s{number}" for number in range(20)]
        for request_id in ids:
            fleet.origins_by_name["g1"].record(
                request_id, origin, ROUTE, deadline
            )
        left = fleet.origins_by_name["g4"]
        while not left._records_by_id.keys() >= set(ids):
            await anyio.sleep(POLL_S)
        fleet.lost_names.add("g1")
        assert [await left.find(i, ROUTE) for i in ids] == [origin] * 20

    run_fleet(steps)


def test_stream_that_began_before_a_release_is_known_during_it() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.list_versions("1", age_s=2 * STREAM_LIFETIME_S)
        fleet.begin("g1", "1")
        await anyio.sleep(0.1)
        assert fleet.calls == [], "one version needs no copies"
        fleet.list_versions("1", "2")
        await fleet.wait_for_copies(3)
        fleet.list_versions("2")
        fleet.lost_names.add("g1")
        assert await fleet.find_elsewhere() == [Origin(SERVICE, "1")] * 3

    run_fleet(steps)


def test_version_is_known_without_a_record_if_there_is_only_one() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.list_versions("1", age_s=2 * STREAM_LIFETIME_S)
        # A gateway that has just started asks the others.
        view = fleet.views_by_name["g2"]
        view.versions._changed_at_by_service[SERVICE] = clock.monotonic()
        fleet.lost_names.add("g1")
        assert await fleet.find_elsewhere() == [Origin(SERVICE, "1")] * 3

    run_fleet(steps)


def test_version_without_a_record_is_unknown_during_and_after_a_release() -> (
    None
):
    async def steps(fleet: Fleet) -> None:
        fleet.list_versions("1", "2", age_s=2 * STREAM_LIFETIME_S)
        assert await fleet.find_elsewhere() == [None] * 4
        fleet.list_versions("2", age_s=STREAM_LIFETIME_S / 2)
        assert await fleet.find_elsewhere() == [None] * 4

    run_fleet(steps)


def test_gateway_with_an_old_view_does_not_go_by_its_listing() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.list_versions("1", age_s=2 * STREAM_LIFETIME_S)
        # Cut off from the store and from all peers.
        fleet.stores_by_name["g1"].is_cut = True
        fleet.lost_names.update(NAMES)
        origins = fleet.origins_by_name["g1"]
        assert await origins.find("s", ROUTE) is None
        # Cut off from the store, and its peers are in a release.
        fleet.lost_names.clear()
        for name in NAMES[1:]:
            view = fleet.views_by_name[name]
            view.versions.update(
                SERVICE, frozenset({"1", "2"}), clock.monotonic()
            )
        fleet.views_by_name["g1"]._entries.is_failing = True
        assert await origins.find("s", ROUTE) is None

    run_fleet(steps)


# Guards against a stream of two software versions: a gateway that was suspended
# takes it up, and has not heard of the version that began it.
def test_gateway_out_of_step_does_not_take_a_stream_up_at_an_old_version() -> (
    None
):
    async def steps(fleet: Fleet) -> None:
        fleet.list_versions("1", age_s=2 * STREAM_LIFETIME_S)
        for name in NAMES[2:]:
            view = fleet.views_by_name[name]
            view.versions.update(
                SERVICE, frozenset({"1", "2"}), clock.monotonic()
            )
            view.on_versions_change()
        # The gateway that began it and its copies do not answer.
        fleet.begin("g3", "2")
        await fleet.wait_for_copies(3)
        for name in NAMES[:2]:
            fleet.origins_by_name[name]._records_by_id.clear()
        fleet.lost_names.update(NAMES[2:])
        # The listing has the version; the gateway's watch has not told it yet.
        await fleet.list_in_store("g2", "1", "2")
        assert await fleet.origins_by_name["g2"].find("s", ROUTE) is None

    run_fleet(steps)


# The same if it has just started, and asks a peer that is out of step.
def test_peer_out_of_step_does_not_tell_the_version_of_a_stream() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.list_versions("1", age_s=2 * STREAM_LIFETIME_S)
        for view in fleet.views_by_name.values():
            view._entries.current_at -= 4.0
        view = fleet.views_by_name["g2"]
        for versions in ({"1", "2"}, {"1"}):
            view.versions.update(
                SERVICE, frozenset(versions), clock.monotonic()
            )
            assert await fleet.origins_by_name["g2"].find("s", ROUTE) is None

    run_fleet(steps)


def test_service_of_a_split_route_comes_from_a_record_only() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.list_versions("1", age_s=2 * STREAM_LIFETIME_S)
        assert await fleet.find_elsewhere(SPLIT_ROUTE) == [None] * 4
        fleet.begin("g1", "1", SPLIT_ROUTE)
        await fleet.wait_for_copies(3)
        fleet.lost_names.add("g1")
        found = await fleet.find_elsewhere(SPLIT_ROUTE)
        assert found == [Origin(SERVICE, "1")] * 3

    run_fleet(steps)


def test_records_of_a_split_route_go_to_other_peers_if_some_are_lost() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.list_versions("1", age_s=2 * STREAM_LIFETIME_S)
        fleet.lost_names.update({"g2", "g3"})
        left = fleet.origins_by_name["g4"]
        for number in range(20):
            fleet.origins_by_name["g1"].record(
                f"s{number}",
                Origin(SERVICE, "1"),
                SPLIT_ROUTE,
                clock.monotonic() + 5.0,
            )
        while len(left._records_by_id) < 20:
            await anyio.sleep(POLL_S)

    run_fleet(steps)


def test_records_expire() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.list_versions("1", "2")
        origins = fleet.origins_by_name["g1"]
        origins.record("old", Origin(SERVICE, "1"), ROUTE, clock.monotonic())
        origins._records_by_id["old"] = _expired(origins._records_by_id["old"])
        fleet.begin("g1", "2")
        assert list(origins._records_by_id) == ["s"]

    run_fleet(steps)


def _expired(record: Any) -> Any:
    fields = (record.request_id, record.service, record.version)
    return type(record)(*fields, clock.wall() - 1.0)

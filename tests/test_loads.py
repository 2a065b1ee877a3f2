"""Tests that one worker reads an engine's load and all instances use it."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

import anyio

from plumvane import clock
from plumvane.discovery.loads import LoadFollower, apply_load
from plumvane.discovery.quarantine import PromptQuarantine
from plumvane.discovery.view import FleetView
from plumvane.peers.messages.loads import UpstreamLoad, UpstreamLoads
from plumvane.relay.reports import ReportReader
from plumvane.serving.pacing import ItemDurationEstimator
from plumvane.serving.routes import RouteTable, Service
from plumvane.serving.upstreams import (
    SILENT_REPORTS,
    Load,
    Upstream,
    UpstreamTable,
)
from plumvane.store.memory import MemoryStore
from plumvane.worker.feed import LoadFeed
from plumvane.worker.scheduler import ItemScheduler
from tests.gateways import SERVICE, make_listed_upstream

ENGINES = 12
WORKERS = ("w1", "w2", "w3")


class FakeReportReader(ReportReader):
    """Records which upstreams are read; all but the silent ones answer."""

    def __init__(self) -> None:
        self.read_ids: list[str] = []
        self.silent_ids: set[str] = set()

    async def read(self, upstreams: Sequence[Upstream]) -> None:
        for upstream in upstreams:
            self.read_ids.append(upstream.upstream_id)
            if upstream.upstream_id not in self.silent_ids:
                apply_load(upstream, Load(1, 0), clock.monotonic())


def pacer(name: str, reports: FakeReportReader) -> ItemScheduler:
    rng = random.Random(1)
    view = FleetView(MemoryStore(), "a", rng)
    view.routes = RouteTable(1, [], [Service(SERVICE, "/h", True)], 1, 1.0)
    for number in range(ENGINES):
        view.upstreams.put(make_listed_upstream(f"u{number}"))
    runner: Any = None
    return ItemScheduler(
        name,
        view,
        reports,
        runner,
        PromptQuarantine(name, None),
        ItemDurationEstimator(),
        rng,
    )


def test_each_engine_is_assigned_to_one_worker() -> None:
    async def run() -> None:
        own_ids = []
        for name in WORKERS:
            own = await pacer(name, FakeReportReader()).read_loads(WORKERS)
            own_ids += [upstream.upstream_id for upstream in own]
        assert sorted(own_ids) == sorted(f"u{n}" for n in range(ENGINES))

    anyio.run(run)


def test_engine_with_a_stale_load_is_read_by_any_worker() -> None:
    async def run() -> None:
        reports = FakeReportReader()
        one = pacer("w1", reports)
        own = await one.read_loads(WORKERS)
        assert len(reports.read_ids) == ENGINES, "no load is known yet"
        reports.read_ids.clear()
        await one.read_loads(WORKERS)
        assert reports.read_ids == [upstream.upstream_id for upstream in own]

    anyio.run(run)


def test_follower_records_the_loads_that_were_just_read() -> None:
    class Call:
        def __init__(self) -> None:
            self.parts: list[UpstreamLoads] = []

        def send_part(self, part: UpstreamLoads) -> None:
            self.parts.append(part)

    fresh, stale = (
        Upstream(make_listed_upstream("u0")),
        Upstream(make_listed_upstream("u1")),
    )
    now = clock.monotonic()
    apply_load(fresh, Load(5, 2), now)
    apply_load(stale, Load(7, 0), now - 5.0)
    feed, call = LoadFeed(), Call()
    follower: Any = call
    feed._calls.add(follower)
    feed.send([fresh, stale], now - 0.1)
    assert [row.upstream_id for row in call.parts[0].loads] == ["u0"]
    table = UpstreamTable("a", random.Random(1))
    table.put(make_listed_upstream("u0"))
    peers: Any = None
    LoadFollower(
        "g", peers, table, PromptQuarantine("g", None).apply
    )._apply_part(call.parts[0])
    known = table.upstreams_by_id["u0"]
    assert known.estimated_load(now + 0.1) == 7
    assert known.waiting(now + 0.1) == 2


def test_load_of_an_unknown_upstream_is_ignored() -> None:
    table = UpstreamTable("a", random.Random(1))
    peers: Any = None
    rows = UpstreamLoads((UpstreamLoad("gone", 1, 0, 0.0),))
    LoadFollower(
        "g", peers, table, PromptQuarantine("g", None).apply
    )._apply_part(rows)
    assert table.upstreams_by_id == {}


def test_silent_engine_is_used_again_after_any_load_report() -> None:
    upstream = Upstream(make_listed_upstream("u0"))
    now = clock.monotonic()
    for _ in range(SILENT_REPORTS):
        upstream.record_missed_report()
    assert upstream.is_ejected(now)
    apply_load(upstream, Load(0, 0), now)
    assert not upstream.is_ejected(now)


def test_silent_engine_does_not_delay_the_loads_of_the_others() -> None:
    async def run() -> None:
        reports = FakeReportReader()
        one = pacer("w1", reports)
        silent = one._view.upstreams.upstreams_by_id["u0"]
        for _ in range(SILENT_REPORTS):
            silent.record_missed_report()
        await one.read_loads(("w1",))
        assert len(reports.read_ids) == ENGINES - 1
        reports.read_ids.clear()
        with anyio.move_on_after(5.0):
            async with anyio.create_task_group() as group:
                group.start_soon(one.read_silent_loads)
                while silent.is_silent():
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
        assert not silent.is_silent(), "it is asked apart from the others"

    anyio.run(run)

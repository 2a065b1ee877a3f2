"""Leases for orders: who may order an engine when, and how copies count."""

from __future__ import annotations

import json
import pathlib
import tempfile
from typing import Any

import anyio

from plumvane.errors import OverloadedError
from plumvane.fleet.current import CurrentDocument
from plumvane.fleet.revisions import Revision
from plumvane.peers.messages import Done, Message, OrderLease, PlanLoad
from plumvane.store.memory import MemoryStore
from plumvane.upstreams.order_leases import OrderLeases
from plumvane.upstreams.orders import OrderSender
from standins.launcher import MODEL, Fleet
from tests.batches import engine_record

# The older's order leaves late in its lease, and the engine takes it late.
HELD_S = 4.5
LATE_S = 4.8
OUTER_DEADLINE_S = 60.0
POLL_S = 0.05


def current_of(version: str) -> CurrentDocument:
    """Returns a document in force that names a version of the model."""
    document = Fleet.default_document()
    document["models"][MODEL] = {"version": version}
    document["load_interval_s"] = 1.0
    current = CurrentDocument()
    assert current.offer(Revision(1, json.dumps(document).encode()))
    return current


class DirectLinks:
    """Calls the service of leases as an entry does; may hold plans back."""

    def __init__(self, leases: OrderLeases, held_s: float = 0.0) -> None:
        self._leases = leases
        self._held_s = held_s
        self.planned = anyio.Event()

    async def call(
        self, address: str, message: Message, *, deadline: float
    ) -> Message:
        if isinstance(message, OrderLease):
            return await self._leases.grant(message)
        assert isinstance(message, PlanLoad)
        await self._leases.plan_load(message)
        self.planned.set()
        await anyio.sleep(self._held_s)
        return Done()


def test_younger_sidecar_waits_for_an_older_order_under_way() -> None:
    flag = f"--first_order_delay_s={LATE_S}"
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(pathlib.Path(folder)) as fleet,
    ):
        fleet.start_standin("engine-0", "engine", flag)
        fleet.wait_started()
        anyio.run(_order_by_two, fleet)
        orders = engine_record(fleet)["orders"]
    found = [(order["fence"], order["version"]) for order in orders]
    assert found == [(1, "v1"), (2, "v2")], orders


async def _order_by_two(fleet: Fleet) -> None:
    """Lets a second sidecar order while an order of the first is under way."""
    leases = OrderLeases(MemoryStore(), current_of("v1"), lambda model: set())
    links: list[Any] = [DirectLinks(leases, HELD_S), DirectLinks(leases)]
    older, younger = (
        OrderSender(
            MODEL,
            fleet["engine-0"].url,
            f"sidecar-{number}",
            current_of(f"v{number + 1}"),
            links[number],
            lambda: ["entry"],
        )
        for number in range(2)
    )
    with anyio.fail_after(OUTER_DEADLINE_S):
        async with anyio.create_task_group() as group:
            group.start_soon(older.run)
            await links[0].planned.wait()
            group.start_soon(younger.run)
            while len(engine_record(fleet)["orders"]) < 2:
                await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()


async def refused(leases: OrderLeases) -> None:
    try:
        await leases.plan_load(PlanLoad("a", MODEL, 1, True))
    except OverloadedError:
        return
    raise AssertionError("the only copy may change")


def test_two_sidecars_of_one_engine_are_one_copy() -> None:
    async def check() -> None:
        live = {"beside-a", "also-beside-a", "beside-b"}
        leases = OrderLeases(
            MemoryStore(), current_of("v1"), lambda model: live
        )
        await leases.grant(OrderLease("a", "1", 0, "", MODEL, "beside-a"))
        await leases.grant(OrderLease("a", "1", 1, "v0", MODEL, "beside-a"))
        await refused(leases)
        # What has nothing loaded is no copy.
        await leases.grant(OrderLease("b", "2", 0, "", MODEL, "beside-b"))
        await refused(leases)
        await leases.grant(OrderLease("b", "2", 1, "v0", MODEL, "beside-b"))
        await leases.plan_load(PlanLoad("a", MODEL, 1, True))

    anyio.run(check)

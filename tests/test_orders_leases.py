"""Leases for orders: hand-over between sidecars, and counting of replicas."""

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

# The older sidecar sends its order shortly before its lease expires, and the
# engine executes the order after a delay.
PLAN_DELAY_S = 4.5
ORDER_DELAY_S = 4.8
OUTER_DEADLINE_S = 60.0
POLL_S = 0.05


def make_current_document(version: str) -> CurrentDocument:
    """Returns a fleet document in force that names a version of the model."""
    document = Fleet.default_document()
    document["models"][MODEL] = {"version": version}
    document["load_interval_s"] = 1.0
    current = CurrentDocument()
    assert current.offer(Revision(1, json.dumps(document).encode()))
    return current


class LocalLinks:
    """Calls OrderLeases in place of an entry; may delay replies to PlanLoad."""

    def __init__(self, leases: OrderLeases, plan_delay_s: float = 0.0) -> None:
        self._leases = leases
        self._plan_delay_s = plan_delay_s
        self.planned = anyio.Event()

    async def call(
        self, address: str, message: Message, *, deadline: float
    ) -> Message:
        if isinstance(message, OrderLease):
            return await self._leases.grant(message)
        assert isinstance(message, PlanLoad)
        await self._leases.plan_load(message)
        self.planned.set()
        await anyio.sleep(self._plan_delay_s)
        return Done()


def test_younger_sidecar_waits_for_an_older_order_under_way() -> None:
    flag = f"--first_order_delay_s={ORDER_DELAY_S}"
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(pathlib.Path(folder)) as fleet,
    ):
        fleet.start_standin("engine-0", "engine", flag)
        fleet.wait_started()
        anyio.run(_send_from_two_sidecars, fleet)
        orders = engine_record(fleet)["orders"]
    received = [(order["fence"], order["version"]) for order in orders]
    assert received == [(1, "v1"), (2, "v2")], orders


async def _send_from_two_sidecars(fleet: Fleet) -> None:
    """Lets a second sidecar order while the first one's order is in flight."""
    leases = OrderLeases(
        MemoryStore(), make_current_document("v1"), lambda model: set()
    )
    links: list[Any] = [LocalLinks(leases, PLAN_DELAY_S), LocalLinks(leases)]
    older, younger = (
        OrderSender(
            MODEL,
            fleet["engine-0"].url,
            f"sidecar-{number}",
            make_current_document(f"v{number + 1}"),
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


async def expect_overload(leases: OrderLeases) -> None:
    try:
        await leases.plan_load(PlanLoad("a", MODEL, 1, True))
    except OverloadedError:
        return
    raise AssertionError("the only copy may change")


def test_two_sidecars_of_one_engine_are_one_copy() -> None:
    async def check() -> None:
        live = {"beside-a", "also-beside-a", "beside-b"}
        leases = OrderLeases(
            MemoryStore(), make_current_document("v1"), lambda model: live
        )
        await leases.grant(OrderLease("a", "1", 0, "", MODEL, "beside-a"))
        await leases.grant(OrderLease("a", "1", 1, "v0", MODEL, "beside-a"))
        await expect_overload(leases)
        # An engine without a loaded version is no replica.
        await leases.grant(OrderLease("b", "2", 0, "", MODEL, "beside-b"))
        await expect_overload(leases)
        await leases.grant(OrderLease("b", "2", 1, "v0", MODEL, "beside-b"))
        await leases.plan_load(PlanLoad("a", MODEL, 1, True))

    anyio.run(check)

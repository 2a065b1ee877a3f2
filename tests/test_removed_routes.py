"""Batch jobs whose route the operators remove, or give to another service."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import anyio

from plumvane import clock
from plumvane.batch.jobstore import JobStore
from plumvane.errors import StoreUnavailableError
from plumvane.platform import names
from plumvane.serving.jobs import Item
from plumvane.store.base import Record
from plumvane.store.memory import MemoryStore
from plumvane.worker.unrouted import ROUTE_RETURN_S
from plumvane.worker.worker import Worker
from tests.gateways import make_listed_upstream
from tests.workers import (
    FULL_TEXT,
    JOB_ROUTE,
    POLL_S,
    FakeEngine,
    items,
    make_worker,
    run_with_timeout,
    wait_until_listed,
)

# Service of each of the upstreams u0 and u1, which stand for it by its version.
SERVICES = ("a", "b")


async def configure(
    store: MemoryStore, version: int, services_by_prefix: dict[str, str]
) -> None:
    """Writes a configuration with a route for each path prefix."""
    routes = [
        {
            "name": f"route{prefix}",
            "host": "h",
            "path-prefix": prefix,
            "kind": "batch",
            "service": service,
            "timeout-ms": 5000,
            "max-attempts": 2,
        }
        for prefix, service in services_by_prefix.items()
    ]
    value = {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "engine": {}} for name in SERVICES],
    }
    await store.put(
        names.CONFIGURATION_KEY,
        json.dumps(value).encode(),
        expected_revision=None,
    )


def make_following_worker(store: MemoryStore, engine: FakeEngine) -> Worker:
    """Returns a worker that follows the store, with an upstream a service."""
    worker = make_worker("w1", store, engine, ())
    worker._view.routes = None
    for number, service in enumerate(SERVICES):
        worker._view.add_upstream(
            make_listed_upstream(f"u{number}", service=service, version=service)
        )
    return worker


async def wait_for(condition: Callable[[], Any]) -> None:
    while not condition():
        await anyio.sleep(POLL_S)


# Guards against LOST: the items of an accepted job were never listed once its
# route was removed.
def test_items_of_a_removed_route_are_given_up() -> None:
    async def steps() -> None:
        store = MemoryStore()
        engine = FakeEngine(is_paused=True)
        await configure(store, 1, {"/p/": "a"})
        await JobStore(store).accept("j", "h", items(20), JOB_ROUTE)
        worker = make_following_worker(store, engine)
        async with anyio.create_task_group() as group:
            group.start_soon(worker._view.run)
            group.start_soon(worker.run)
            await wait_for(lambda: engine.running)
            await configure(store, 2, {"/q/": "a"})
            await wait_for(lambda: worker._view.routes.version == 2)
            engine.is_paused = False
            results = await wait_until_listed(store, "j", 20)
            group.cancel_scope.cancel()
        begun = {item_id for item_id, _ in engine.starts}
        assert 0 < len(begun) < 20
        for result in results:
            assert result.is_completed == (result.item_id in begun)

    run_with_timeout(steps)


# Guards against items that are given up though their route comes back.
def test_items_go_on_at_the_service_of_a_restored_route() -> None:
    async def steps() -> None:
        store = MemoryStore()
        engine = FakeEngine(is_paused=True)
        await configure(store, 1, {"/q/": "a"})
        await JobStore(store).accept("j", "h", items(4), JOB_ROUTE)
        worker = make_following_worker(store, engine)
        async with anyio.create_task_group() as group:
            group.start_soon(worker._view.run)
            group.start_soon(worker.run)
            await wait_for(lambda: "j" in worker._owned_by_id)
            await anyio.sleep(ROUTE_RETURN_S / 2)
            engine.is_paused = False
            await configure(store, 2, {"/p/": "b"})
            results = await wait_until_listed(store, "j", 4)
            group.cancel_scope.cancel()
        assert {result.text for result in results} == {FULL_TEXT}
        assert engine.versions_by_item == {f"i{n}": ["b"] for n in range(4)}

    run_with_timeout(steps)


class SilentConfigurationStore(MemoryStore):
    """Store whose configuration cannot be read while it is silent.

    Attributes:
        is_silent: Whether it is.
        reads: Reads of the configuration while it was.
    """

    is_silent = False
    reads = 0

    async def get(self, key: str) -> Record | None:
        if key == names.CONFIGURATION_KEY and self.is_silent:
            self.reads += 1
            raise StoreUnavailableError("silent")
        return await super().get(key)

    async def watch(self, prefix: str, *args: Any, **kwargs: Any) -> Any:
        result = await super().watch(prefix, *args, **kwargs)
        while prefix == names.OPERATOR_PREFIX and self.is_silent:
            await anyio.sleep(POLL_S)
        return result


# Guards against MIXED: a worker that lacks the configuration with a job's route
# gives up items that can run.
def test_items_are_not_given_up_by_an_old_configuration() -> None:
    async def steps() -> None:
        store, engine = SilentConfigurationStore(), FakeEngine()
        await configure(store, 1, {"/q/": "a"})
        worker = make_following_worker(store, engine)
        async with anyio.create_task_group() as group:
            group.start_soon(worker._view.run)
            group.start_soon(worker.run)
            await wait_for(worker._view.is_loaded)
            store.is_silent = True
            await configure(store, 2, {"/p/": "a"})
            await JobStore(store).accept("j", "h", items(4), JOB_ROUTE)
            await wait_for(lambda: store.reads > 1)
            store.is_silent = False
            results = await wait_until_listed(store, "j", 4)
            group.cancel_scope.cancel()
        assert {result.text for result in results} == {FULL_TEXT}

    run_with_timeout(steps)


# Guards against ROUTE: all items of a job ran at the service of its first one.
def test_each_item_runs_at_the_service_of_its_own_route() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine()
        await configure(store, 1, {"/p/": "a", "/p/other/": "b"})
        worker = make_following_worker(store, engine)
        submitted = (
            Item("i0", "/p/x", {}, b""),
            Item("i1", "/p/other/x", {}, b""),
        )
        await JobStore(store).accept("j", "h", submitted, JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(worker._view.run)
            group.start_soon(worker.run)
            await wait_until_listed(store, "j", 2)
            group.cancel_scope.cancel()
        assert engine.versions_by_item == {"i0": ["a"], "i1": ["b"]}

    run_with_timeout(steps)


# Guards against LOST, if the worker that claimed the job is lost, too.
def test_claimed_job_without_a_route_is_given_up_by_its_next_owner() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine()
        await configure(store, 1, {"/q/": "a"})
        jobs = JobStore(store)
        await jobs.accept("j", "h", items(3), JOB_ROUTE)
        first = make_following_worker(store, engine)
        async with anyio.create_task_group() as group:
            group.start_soon(first._view.run)
            group.start_soon(first.run)
            await wait_for(lambda: "j" in first._owned_by_id)
            group.cancel_scope.cancel()
        second = make_following_worker(store, engine)
        started_at = clock.monotonic()
        async with anyio.create_task_group() as group:
            group.start_soon(second._view.run)
            group.start_soon(second.run)
            results = await wait_until_listed(store, "j", 3)
            group.cancel_scope.cancel()
        assert not any(result.is_completed for result in results)
        assert not engine.starts
        assert clock.monotonic() - started_at >= ROUTE_RETURN_S

    run_with_timeout(steps)

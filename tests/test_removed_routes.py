"""Batch jobs whose route the operators change or remove, or add others to."""

from __future__ import annotations

import contextlib
import functools
import json
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any

import anyio

from plumvane import clock
from plumvane.batch.jobstore import Commit, JobStore
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


def route_row(prefix: str, service: str, **fields: str) -> dict[str, Any]:
    """Returns a batch route as in a configuration; `fields` replace others."""
    return {
        "name": f"route{prefix}",
        "host": "h",
        "path-prefix": prefix,
        "kind": "batch",
        "service": service,
        "timeout-ms": 5000,
        "max-attempts": 2,
        **fields,
    }


async def configure(
    store: MemoryStore,
    version: int,
    services_by_prefix: dict[str, str],
    *others: dict[str, Any],
) -> None:
    """Writes a configuration with a batch route for each path prefix.

    Args:
        store: The store.
        version: Version of the configuration.
        services_by_prefix: Services of the batch routes.
        others: Other routes.
    """
    routes = [route_row(*row) for row in services_by_prefix.items()]
    routes.extend(others)
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


ITEM_PATHS = ("/p/stream/x", "/p/other/x", "/q/x", "/elsewhere")
ROUTES_OVER_ITEMS = (
    route_row("/p/stream/", "b", kind="streaming"),
    route_row("/p/other/", "b"),
    route_row("/q/", "b", kind="streaming"),
)


@contextlib.contextmanager
def items_waiting(worker: Worker) -> Iterator[None]:
    """Has a worker start no item in the context."""

    async def start_nothing(*_: Any) -> None:
        return

    scheduler: Any = worker._scheduler
    schedule, scheduler.schedule = scheduler.schedule, start_nothing
    yield
    scheduler.schedule = schedule


async def check_run_at(
    store: MemoryStore,
    change: Callable[[Worker], Awaitable[None]],
    service: str,
    paths: Sequence[str] = ITEM_PATHS,
) -> None:
    """Checks that all items of a job run at one service after a change.

    Args:
        store: The store, with a configuration in which `/p/` leads to `a`.
        change: Called with the worker once it has claimed the job, before it
            runs any item.
        service: Service at which they must run.
        paths: Paths of the items.
    """
    engine = FakeEngine()
    submitted = tuple(
        Item(f"i{n}", path, {}, b"") for n, path in enumerate(paths)
    )
    worker = make_following_worker(store, engine)
    async with anyio.create_task_group() as group:
        group.start_soon(worker._view.run)
        group.start_soon(worker.run)
        await wait_for(worker._view.is_loaded)
        with items_waiting(worker):
            await JobStore(store).accept("j", "h", submitted, JOB_ROUTE)
            await wait_for(lambda: "j" in worker._owned_by_id)
            await change(worker)
        results = await wait_until_listed(store, "j", len(paths))
        group.cancel_scope.cancel()
    assert {result.text for result in results} == {FULL_TEXT}
    assert engine.versions_by_item == {
        item.item_id: [service] for item in submitted
    }


async def no_change(worker: Worker) -> None:
    """Leaves the configuration as it is."""


# Guards against MIXED: a route that is added over the paths of a job's items
# had them given up unrun.
def test_routes_over_the_paths_of_accepted_items_do_not_end_them() -> None:
    async def steps() -> None:
        store = MemoryStore()
        await configure(store, 1, {"/p/": "a"})

        async def add_routes(worker: Worker) -> None:
            await configure(store, 2, {"/p/": "a"}, *ROUTES_OVER_ITEMS)
            await wait_for(lambda: worker._view.routes.version == 2)

        await check_run_at(store, add_routes, "a")

    run_with_timeout(steps)


# Guards against MIXED: items on the paths of other routes, or of none, were
# given up from the start.
def test_paths_of_items_need_no_route_of_their_own() -> None:
    async def steps() -> None:
        store = MemoryStore()
        await configure(store, 1, {"/p/": "a"}, *ROUTES_OVER_ITEMS)
        await check_run_at(store, no_change, "a")

    run_with_timeout(steps)


# Guards against ROUTE: items ran at the service of another route than the one
# that accepted their job.
def test_items_run_at_the_service_of_the_route_of_their_job() -> None:
    async def steps() -> None:
        store = MemoryStore()
        await configure(store, 1, {"/p/": "a", "/p/other/": "b"})
        await check_run_at(store, no_change, "a", ("/p/other/x", "/p/x"))

    run_with_timeout(steps)


# Guards against CONFIG and MIXED: a job whose route got another service, prefix
# or name went on as before, or was given up.
def test_items_follow_the_changes_of_their_jobs_route() -> None:
    renamed = route_row("/p/", "b", name="renamed")
    moved = route_row("/new/", "b", name=JOB_ROUTE.name)

    async def steps(route: dict[str, Any]) -> None:
        store = MemoryStore()
        await configure(store, 1, {"/p/": "a"})

        async def change(worker: Worker) -> None:
            await configure(store, 2, {}, route, *ROUTES_OVER_ITEMS)
            await wait_for(lambda: worker._view.routes.version == 2)

        await check_run_at(store, change, "b")

    for route in (renamed, moved):
        run_with_timeout(functools.partial(steps, route))


# Guards against MIXED: a worker that takes a job over gives up what the one
# before would have run.
def test_next_owner_runs_items_under_the_route_of_their_job() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine(is_paused=True)
        await configure(store, 1, {"/p/": "a"})
        submitted = tuple(
            Item(f"i{n}", "/p/stream/x", {}, b"") for n in range(4)
        )
        first = make_following_worker(store, engine)
        async with anyio.create_task_group() as group:
            group.start_soon(first._view.run)
            group.start_soon(first.run)
            await JobStore(store).accept("j", "h", submitted, JOB_ROUTE)
            await wait_for(lambda: len(engine.running) == 4)
            await configure(store, 2, {"/p/": "a"}, *ROUTES_OVER_ITEMS)
            await first.drain()
            group.cancel_scope.cancel()
        engine.is_paused = False
        second = make_following_worker(store, engine)
        async with anyio.create_task_group() as group:
            group.start_soon(second._view.run)
            group.start_soon(second.run)
            results = await wait_until_listed(store, "j", 4)
            group.cancel_scope.cancel()
        assert {result.text for result in results} == {FULL_TEXT}
        assert set(map(tuple, engine.versions_by_item.values())) == {("a", "a")}

    run_with_timeout(steps)


# Guards against MIXED: items of a job that an earlier release accepted, whose
# head does not name its route, are given up.
def test_job_without_a_named_route_has_that_of_its_items_paths() -> None:
    async def steps() -> None:
        store = MemoryStore()
        await configure(store, 1, {"/p/": "a", "/": "b"}, *ROUTES_OVER_ITEMS)

        async def remove_names(worker: Worker) -> None:
            jobs = JobStore(store)
            job, revision = await jobs.head("j")
            job.route_name = job.path_prefix = ""
            await jobs.commit([Commit(job, revision, {})])
            owned = worker._owned_by_id["j"]
            await wait_for(lambda: not owned.job.route_name)

        await check_run_at(
            store, remove_names, "a", ("/p/stream/x", "/p/other/x")
        )

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

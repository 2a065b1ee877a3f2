"""Workers over one store: claims, results, takeover, ends; no network."""

from __future__ import annotations

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import anyio.lowlevel

from plumvane import clock
from plumvane.batch.jobstore import JOB_PREFIX, Commit, JobStore
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    ConflictError,
    StoreUnavailableError,
    UpstreamLostError,
)
from plumvane.relay.caller import Attempt
from plumvane.relay.reports import ReportReader
from plumvane.serving.jobs import Item, ItemResult, Job
from plumvane.serving.pacing import ItemDurationEstimator
from plumvane.serving.routes import RouteKind, RouteTable, Service
from plumvane.serving.upstreams import Upstream
from plumvane.store.base import Record
from plumvane.store.memory import MemoryStore
from plumvane.worker.items import ItemRunner
from plumvane.worker.owned import OwnedJob
from plumvane.worker.worker import Worker
from tests.gateways import SERVICE, listed, route

OUTER_DEADLINE_S = 15.0
POLL_S = 0.01
EVENTS = 4
JOB_ROUTE = route(
    RouteKind.BATCH,
    is_resumable=True,
    max_attempts=2,
    completion_target_s=18.0,
    retention_s=60.0,
)


@dataclasses.dataclass
class Engine:
    """Upstreams that run items event by event.

    Attributes:
        starts: Item, and event after which it was asked to go on.
        fails_by_item: How many runs of an item answer 500 first.
        impossible_ids: Items that are answered 422.
        broken_after_by_item: Events after which the next run breaks off.
        holds: Whether runs stop after two events until it is false.
        running: Items that run now.
    """

    starts: list[tuple[str, int | None]] = dataclasses.field(
        default_factory=list
    )
    fails_by_item: dict[str, int] = dataclasses.field(default_factory=dict)
    impossible_ids: set[str] = dataclasses.field(default_factory=set)
    broken_after_by_item: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    holds: bool = False
    running: list[str] = dataclasses.field(default_factory=list)

    @contextlib.asynccontextmanager
    async def send(
        self, upstream: Upstream, attempt: Attempt
    ) -> AsyncIterator[Any]:
        item_id = attempt.request_id
        self.starts.append((item_id, attempt.last_event_id))
        self.running.append(item_id)
        try:
            yield self._reply(item_id, attempt.last_event_id or 0)
        finally:
            self.running.remove(item_id)

    def _reply(self, item_id: str, after: int) -> Any:
        status = 200
        if item_id in self.impossible_ids:
            status = 422
        elif self.fails_by_item.get(item_id, 0):
            self.fails_by_item[item_id] -= 1
            status = 500
        return _EngineReply(status, self, item_id, after)


@dataclasses.dataclass
class _EngineReply:
    status: int
    engine: Engine
    item_id: str
    after: int

    async def parts(self) -> AsyncIterator[bytes]:
        broken_after = self.engine.broken_after_by_item.pop(self.item_id, None)
        for number in range(self.after + 1, EVENTS + 1):
            if number == broken_after:
                raise UpstreamLostError("broken")
            while self.engine.holds and number > 2:
                await anyio.sleep(POLL_S)
            yield f"id: {number}\ndata: t{number}\n\n".encode()


class NoReports(ReportReader):
    """Upstreams whose load is what is sent to them."""

    def __init__(self) -> None:
        """Needs no connections."""

    async def read(self, upstreams: Any) -> None:
        """Reads nothing."""


def make_worker(name: str, store: MemoryStore, engine: Engine) -> Worker:
    rng = random.Random(1)
    view = FleetView(store, "a", rng)
    view.routes = RouteTable(
        1, [JOB_ROUTE], [Service(SERVICE, "/health", True)], 1, 1.0
    )
    view._entries.loaded.set()
    for number in range(2):
        view.upstreams.put(listed(f"u{number}"))
    caller: Any = engine
    return Worker(name, store, view, caller, NoReports(), rng)


def items(count: int) -> tuple[Item, ...]:
    return tuple(Item(f"i{n}", "/p/x", {}, b"body") for n in range(count))


def results_of(store: MemoryStore, job_id: str) -> Callable[[], Any]:
    """Returns a reader of a job's results, in the order of positions."""
    jobs = JobStore(store)

    async def read() -> list[ItemResult]:
        found, _ = await jobs.results(job_id)
        return [found[position] for position in sorted(found)]

    return read


async def until_listed(
    store: MemoryStore, job_id: str, count: int
) -> list[ItemResult]:
    read = results_of(store, job_id)
    while len(found := await read()) < count:
        await anyio.sleep(POLL_S)
    return list(found)


def play(steps: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await steps()

    anyio.run(run)


WHOLE = "\n".join(f"t{n}" for n in range(1, EVENTS + 1))


def test_all_items_are_listed_once_with_their_whole_text() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), Engine()
        await JobStore(store).accept("j", "h", items(40), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            for name in ("w1", "w2", "w3"):
                group.start_soon(make_worker(name, store, engine).run)
            found = await until_listed(store, "j", 40)
            group.cancel_scope.cancel()
        assert sorted(r.item_id for r in found) == sorted(
            i.item_id for i in items(40)
        )
        assert {r.text for r in found} == {WHOLE}
        assert len(engine.starts) == 40, "one worker runs the job"

    play(steps)


def test_item_that_breaks_off_goes_on_after_its_last_event() -> None:
    async def steps() -> None:
        store = MemoryStore()
        engine = Engine(broken_after_by_item={"i0": 3})
        await JobStore(store).accept("j", "h", items(1), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, engine).run)
            found = await until_listed(store, "j", 1)
            group.cancel_scope.cancel()
        assert found == [ItemResult("i0", True, WHOLE)]
        assert engine.starts == [("i0", None), ("i0", 2)]

    play(steps)


def test_items_are_given_up_after_failures_or_at_once_if_impossible() -> None:
    async def steps() -> None:
        store = MemoryStore()
        engine = Engine(fails_by_item={"i0": 9, "i1": 1}, impossible_ids={"i2"})
        await JobStore(store).accept("j", "h", items(3), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, engine).run)
            found = await until_listed(store, "j", 3)
            group.cancel_scope.cancel()
        outcomes = {r.item_id: r.is_completed for r in found}
        assert outcomes == {"i0": False, "i1": True, "i2": False}
        starts = [item_id for item_id, _ in engine.starts]
        assert [starts.count(i) for i in ("i0", "i1", "i2")] == [2, 2, 1]

    play(steps)


def test_worker_that_leaves_hands_over_what_its_items_have() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), Engine(holds=True)
        await JobStore(store).accept("j", "h", items(3), JOB_ROUTE)
        first = make_worker("w1", store, engine)
        async with anyio.create_task_group() as group:
            group.start_soon(first.run)
            while len(engine.running) < 3:
                await anyio.sleep(POLL_S)
            await anyio.sleep(0.1)
            await first.leave()
            assert engine.running == []
            engine.holds = False
            group.start_soon(make_worker("w2", store, engine).run)
            found = await until_listed(store, "j", 3)
            group.cancel_scope.cancel()
        assert {r.text for r in found} == {WHOLE}
        assert {after for _, after in engine.starts[3:]} == {2}

    play(steps)


def test_jobs_of_a_lost_worker_go_to_another_and_no_item_twice() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), Engine()
        await JobStore(store).accept("j", "h", items(60), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            lost = anyio.CancelScope()

            async def run_lost() -> None:
                with lost:
                    await make_worker("w1", store, engine).run()

            group.start_soon(run_lost)
            await until_listed(store, "j", 1)
            engine.holds = True
            lost.cancel()
            engine.holds = False
            group.start_soon(make_worker("w2", store, engine).run)
            found = await until_listed(store, "j", 60)
            group.cancel_scope.cancel()
        ids = [r.item_id for r in found]
        assert len(ids) == len(set(ids)) == 60

    play(steps)


def test_ended_job_stops_its_items() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), Engine(holds=True)
        await JobStore(store).accept("j", "h", items(3), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, engine).run)
            while len(engine.running) < 3:
                await anyio.sleep(POLL_S)
            assert await JobStore(store).end("j")
            while engine.running:
                await anyio.sleep(POLL_S)
            started = len(engine.starts)
            await anyio.sleep(0.5)
            assert len(engine.starts) == started
            group.cancel_scope.cancel()

    play(steps)


def test_results_whose_commit_lost_its_answer_are_listed_once() -> None:
    async def steps() -> None:
        store, engine = LosingStore(), Engine()
        await JobStore(store).accept("j", "h", items(5), JOB_ROUTE)
        store.loses = 6
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, engine).run)
            found = await until_listed(store, "j", 5)
            group.cancel_scope.cancel()
        assert sorted(r.item_id for r in found) == [f"i{n}" for n in range(5)]

    play(steps)


class LosingStore(MemoryStore):
    """Applies transactions and loses the answers of some.

    Attributes:
        loses: How many answers are lost from now on.
    """

    loses = 0

    async def transact(self, writes: Any, *, expected_by_key: Any) -> int:
        revision = await super().transact(
            writes, expected_by_key=expected_by_key
        )
        if self.loses:
            self.loses -= 1
            raise StoreUnavailableError("lost")
        return revision


def test_two_writers_of_one_job_cannot_list_an_item_twice() -> None:
    async def steps() -> None:
        store = MemoryStore()
        jobs = JobStore(store)
        await jobs.accept("j", "h", items(1), JOB_ROUTE)
        job, revision = await jobs.head("j")
        other = Job.decode(job.encode())
        for writer, is_first in ((job, True), (other, False)):
            position = writer.append_result("i0")
            assert position == 0
            result = ItemResult("i0", True, "x")
            commit = Commit(writer, revision, {0: result})
            try:
                await jobs.commit([commit])
                assert is_first
            except ConflictError:
                assert not is_first

    play(steps)


def test_job_is_accepted_once_and_not_due_before_its_target() -> None:
    async def steps() -> None:
        store = MemoryStore()
        jobs = JobStore(store)
        before = clock.wall() * 1000
        await jobs.accept("j", "h", items(2), JOB_ROUTE)
        try:
            await jobs.accept("j", "h", items(2), JOB_ROUTE)
            raise AssertionError("the job was accepted twice")
        except ConflictError:
            pass
        job, _ = await jobs.head("j")
        assert job.due_ms >= before + 18_000 - 1
        record = await store.get(JOB_PREFIX + "j")
        assert isinstance(record, Record)

    play(steps)


def test_item_that_is_stopped_before_its_task_begins_does_not_run() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), Engine(holds=True)
        jobs = JobStore(store)
        await jobs.accept("j", "h", items(1), JOB_ROUTE)
        job, revision = await jobs.head("j")
        owned = OwnedJob(job, revision, list(items(1)))
        view = FleetView(store, "a", random.Random(1))
        caller: Any = engine
        upstream = Upstream(listed("u0"))
        run = owned.runs_by_id["i0"]
        run.scope = anyio.CancelScope()
        run.scope.cancel()
        await ItemRunner(view, caller, ItemDurationEstimator()).run(
            owned, run, upstream
        )
        assert engine.running == []
        assert not run.is_done

    play(steps)


def test_claim_whose_answer_and_reading_fail_is_made_again() -> None:
    class Failing(MemoryStore):
        loses = True
        head_is_unreadable = True

        async def transact(self, writes: Any, *, expected_by_key: Any) -> int:
            revision = await super().transact(
                writes, expected_by_key=expected_by_key
            )
            if self.loses and any(w.key.startswith(JOB_PREFIX) for w in writes):
                self.loses = False
                raise StoreUnavailableError("lost")
            return revision

        async def get(self, key: str) -> Record | None:
            if self.head_is_unreadable and key.startswith(JOB_PREFIX):
                raise StoreUnavailableError("slow")
            return await super().get(key)

    async def steps() -> None:
        store, engine = Failing(), Engine()
        store.loses = False
        await JobStore(store).accept("j", "h", items(2), JOB_ROUTE)
        store.loses = True
        worker = make_worker("w1", store, engine)
        async with anyio.create_task_group() as group:
            group.start_soon(worker.run)
            # The worker sees its claim in the head before it can read it.
            while not any(h.owner for h, _ in worker._heads_by_id.values()):
                await anyio.sleep(POLL_S)
            await anyio.sleep(1.0)
            store.head_is_unreadable = False
            await until_listed(store, "j", 2)
            group.cancel_scope.cancel()

    play(steps)


def test_job_that_ends_while_it_is_claimed_runs_no_item() -> None:
    class Slow(MemoryStore):
        ends_at_items = False

        async def get(self, key: str) -> Record | None:
            record = await super().get(key)
            if self.ends_at_items and "/items/" in key:
                self.ends_at_items = False
                await JobStore(self).end("j")
                # The end is seen before the claim is complete.
                await anyio.sleep(1.0)
            return record

    async def steps() -> None:
        store, engine = Slow(), Engine(holds=True)
        await JobStore(store).accept("j", "h", items(2), JOB_ROUTE)
        store.ends_at_items = True
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, engine).run)
            while store.ends_at_items:
                await anyio.sleep(POLL_S)
            await anyio.sleep(2.0)
            assert engine.starts == []
            group.cancel_scope.cancel()

    play(steps)


def test_head_that_goes_before_its_claim_begins_ends_no_worker() -> None:
    async def steps() -> None:
        store = MemoryStore()
        worker = make_worker("w1", store, Engine())
        await JobStore(store).accept("j", "h", items(2), JOB_ROUTE)
        worker._heads_by_id["j"] = await JobStore(store).head("j")
        worker._incarnations_by_name["w1"] = "w1/0"
        worker._live.loaded.set()

        async def forget() -> None:
            while not worker._claiming_ids:
                await anyio.lowlevel.checkpoint()
            worker._heads_by_id.clear()

        async with anyio.create_task_group() as group:
            group.start_soon(forget)
            group.start_soon(worker._claim_jobs, group)
            while "j" not in worker._owned_by_id:
                await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()

    play(steps)


def test_failures_that_are_counted_during_a_commit_are_kept() -> None:
    async def steps() -> None:
        store = MemoryStore()
        jobs = JobStore(store)
        await jobs.accept("j", "h", items(2), JOB_ROUTE)
        job, revision = await jobs.head("j")
        owned = OwnedJob(job, revision, list(items(2)))
        assert not owned.add_failure("i0")
        commit = Commit(Job.decode(owned.job.encode()), revision, {})
        assert not owned.add_failure("i1")
        owned.take_commit(commit, await jobs.commit([commit]), [])
        assert owned.add_failure("i1"), "two failures are the most"

    play(steps)


def test_head_that_cannot_be_read_stops_no_other_job() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), Engine()
        await store.put(JOB_PREFIX + "bad", b"?", expected_revision=None)
        await JobStore(store).accept("j", "h", items(2), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, engine).run)
            await until_listed(store, "j", 2)
            group.cancel_scope.cancel()

    play(steps)


def test_items_of_a_killed_worker_go_on_from_their_last_checkpoint() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), Engine()
        await JobStore(store).accept("j", "h", items(2), JOB_ROUTE)
        lost = make_worker("w1", store, engine)
        # No upstream is left, so that the progress stays as it is set here.
        lost._view.upstreams.upstreams_by_id.clear()
        async with anyio.create_task_group() as group:
            group.start_soon(lost.run)
            while "j" not in lost._owned_by_id:
                await anyio.sleep(POLL_S)
            run = lost._owned_by_id["j"].runs_by_id["i1"]
            run.texts = [f"t{n}" for n in range(30)]
            run.last_event_id = 30
            while not (await JobStore(store).head("j"))[0].has_progress:
                await anyio.sleep(POLL_S)
            # All that the process has is gone at this moment.
            group.cancel_scope.cancel()
        after = make_worker("w1", store, engine)
        after._view.upstreams.upstreams_by_id.clear()
        async with anyio.create_task_group() as group:
            group.start_soon(after.run)
            while "j" not in after._owned_by_id:
                await anyio.sleep(POLL_S)
            runs = after._owned_by_id["j"].runs_by_id
            assert runs["i1"].last_event_id == 30
            assert runs["i1"].texts == [f"t{n}" for n in range(30)]
            assert runs["i0"].last_event_id is None
            group.cancel_scope.cancel()

    play(steps)

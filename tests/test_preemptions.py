"""Tests how several workers preempt items for a burst on a warm fleet.

In the simulation, twelve engines of seven slots each serve in order of arrival.
Online streams of 0.74 s arrive in a square wave: 18.6 per second for 3.6 s,
then 91 for 2.4 s. Six workers run batch items of 5 s, due after 18 s, in the
slots that are left. All see the loads ten times a second, 0.1 s late.
"""

from __future__ import annotations

import dataclasses
import random
from unittest import mock

from plumvane.serving.pacing import (
    BATCH_COOLDOWN_S,
    RunningItem,
    UpstreamState,
    item_priority,
    plan_batch_items,
    preemption_candidates,
)
from plumvane.serving.preemptions import (
    PreemptibleItems,
    PreemptionShares,
    preemption_share,
)
from plumvane.serving.upstreams import Load

STEP_S = 0.01
ROUND_STEPS = 10
STREAM_S = 0.74
ITEM_S = 5.0
DUE_S = 18.0
SLOTS = 7
ENGINES = 12
WORKERS = tuple(f"w{n}" for n in range(6))
JOB_ITEMS = 10
JOB_STEPS = 160
# Length in multiples of the mean from which an item is long.
LONG_LENGTH = 1.4


@dataclasses.dataclass
class Work:
    """An online stream, or an item of a worker."""

    arrived: float
    left_s: float
    worker: str = ""
    due: float = 0.0
    started: float | None = None
    is_long: bool = False


class WorkerState:
    """The items of one worker that wait, and its view of the others."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.waiting: list[Work] = []
        self.shares = PreemptionShares(name)
        self.cooling_until = [0.0] * ENGINES
        self.counts_by_engine: dict[str, PreemptibleItems] = {}


class Fleet:
    """Engines, workers and the loads that were last reported."""

    def __init__(
        self, seed: int, lengths: tuple[float, float] = (1.0, 1.0)
    ) -> None:
        self.lengths = lengths
        self.long_items = 0
        self.rng = random.Random(seed)
        self.queues: list[list[Work]] = [[] for _ in range(ENGINES)]
        self.workers = [WorkerState(name) for name in WORKERS]
        self.loads = [Load(0, 0)] * ENGINES
        self.loads_at = 0.0
        self.done: list[tuple[Work, float]] = []
        self.preemptions = 0
        self.items = 0

    def run(self, seconds: float) -> None:
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            self._arrive(now)
            if step % JOB_STEPS == 0 and now < seconds - DUE_S:
                self._accept_job(now)
            self._serve(now)
            if step % ROUND_STEPS == 0:
                loads = [
                    Load(min(len(q), SLOTS), max(0, len(q) - SLOTS))
                    for q in self.queues
                ]
                for worker in self.workers:
                    self._schedule(worker, now)
                self._tell(now)
                self.loads, self.loads_at = loads, now

    def _arrive(self, now: float) -> None:
        rate = 18.6 if now % 6.0 < 3.6 else 91.0
        if self.rng.random() < rate * STEP_S:
            # Gateways choose the shortest queue that they know of.
            waiting = [load.waiting for load in self.loads]
            engine = min(
                range(ENGINES), key=lambda e: (waiting[e], self.rng.random())
            )
            self.queues[engine].append(Work(now, STREAM_S))

    def _accept_job(self, now: float) -> None:
        worker = self.rng.choice(self.workers)
        self.items += JOB_ITEMS
        for _ in range(JOB_ITEMS):
            item_s = ITEM_S * self.rng.uniform(*self.lengths)
            work = Work(now, item_s, worker.name, now + DUE_S)
            work.is_long = item_s > ITEM_S * LONG_LENGTH
            self.long_items += work.is_long
            worker.waiting.append(work)

    def _serve(self, now: float) -> None:
        for queue in self.queues:
            for work in queue[:SLOTS]:
                if work.started is None:
                    work.started = now
                work.left_s -= STEP_S
            self.done += [(w, now) for w in queue if w.left_s <= 0]
            queue[:] = [w for w in queue if w.left_s > 0]

    def _schedule(self, worker: WorkerState, now: float) -> None:
        states = []
        worker.counts_by_engine = {}
        for engine, load in enumerate(self.loads):
            candidates = self._candidates(worker, engine, now)
            if load.waiting:
                worker.cooling_until[engine] = now + BATCH_COOLDOWN_S
            share = worker.shares.share(
                str(engine),
                load.waiting,
                count(candidates),
                self.loads_at,
                now,
            )
            stopped = candidates[: min(share, load.waiting)]
            worker.shares.record_preemptions(str(engine), len(stopped), now)
            for item in stopped:
                self.queues[engine].remove(item.run)
                item.run.started = None
                worker.waiting.append(item.run)
                self.preemptions += 1
            worker.counts_by_engine[str(engine)] = count(
                candidates[len(stopped) :]
            )
            states.append(
                UpstreamState(
                    str(engine),
                    SLOTS,
                    load.running + load.waiting,
                    load.waiting,
                    0,
                    worker.cooling_until[engine] > now,
                )
            )
        worker.waiting.sort(key=lambda w: item_priority(w.due, w.left_s, now))
        urgent = sum(
            item_priority(w.due, w.left_s, now).is_urgent
            for w in worker.waiting
        )
        plan = plan_batch_items(
            states, urgent, len(worker.waiting) - urgent, len(WORKERS)
        )
        for upstream_id in plan.starts:
            self.queues[int(upstream_id)].append(worker.waiting.pop(0))

    def _candidates(
        self, worker: WorkerState, engine: int, now: float
    ) -> list[RunningItem[Work]]:
        running = [
            RunningItem(
                w,
                item_priority(w.due, w.left_s, now).is_urgent,
                w.started or now,
            )
            for w in self.queues[engine]
            if w.worker == worker.name
        ]
        protects = engine % len(WORKERS) == self.workers.index(worker)
        return preemption_candidates(running, protects_urgent=protects)

    def _tell(self, now: float) -> None:
        for teller in self.workers:
            for worker in self.workers:
                if worker is not teller:
                    worker.shares.update(
                        teller.name, teller.counts_by_engine, now
                    )


def count(items: list[RunningItem[Work]]) -> PreemptibleItems:
    urgent = sum(item.is_urgent for item in items)
    return PreemptibleItems(len(items) - urgent, urgent)


def test_burst_costs_few_preemptions_and_batch_is_done_when_due() -> None:
    """Workers that each preempt for every request would cost 14 an item."""
    preemptions = items = in_time = 0
    for seed in range(3):
        fleet = Fleet(seed)
        fleet.run(60.0)
        preemptions += fleet.preemptions
        items += fleet.items
        in_time += sum(end <= w.due for w, end in fleet.done if w.worker)
    assert preemptions <= 6 * items
    assert in_time >= 0.95 * items


def test_long_items_of_a_job_are_not_the_ones_that_come_late() -> None:
    """More jobs come than the engines can do in time."""
    long_items = long_in_time = items = in_time = 0
    with mock.patch(f"{__name__}.JOB_STEPS", 105):
        for seed in range(4):
            fleet = Fleet(seed, lengths=(0.5, 1.5))
            fleet.run(60.0)
            items += fleet.items
            long_items += fleet.long_items
            done = [w for w, end in fleet.done if w.worker and end <= w.due]
            in_time += len(done)
            long_in_time += sum(w.is_long for w in done)
    assert in_time < items
    assert long_in_time / long_items >= 0.75 * in_time / items


def test_workers_preempt_one_item_together_for_each_waiting_request() -> None:
    items_by_worker = {name: PreemptibleItems(2, 1) for name in WORKERS}
    for waiting in range(1, 20):
        shares = [
            preemption_share("u", waiting, name, items_by_worker)
            for name in WORKERS
        ]
        assert sum(shares) == min(waiting, 18)
        assert max(shares) - min(shares) <= 1, "they take turns"


def test_urgent_items_are_preempted_after_the_normal_ones_of_all() -> None:
    items_by_worker = {
        "w0": PreemptibleItems(0, 3),
        "w1": PreemptibleItems(2, 0),
    }
    assert preemption_share("u", 2, "w0", items_by_worker) == 0
    assert preemption_share("u", 2, "w1", items_by_worker) == 2
    assert preemption_share("u", 4, "w0", items_by_worker) == 2


def test_preemption_counts_until_the_load_shows_it() -> None:
    shares = PreemptionShares("w0")
    own = PreemptibleItems(4, 0)
    assert shares.share("u", 2, own, 1.0, 1.1) == 2
    shares.record_preemptions("u", 2, 1.1)
    left = PreemptibleItems(2, 0)
    assert shares.share("u", 2, left, 1.15, 1.2) == 0, "the load is older"
    assert shares.share("u", 3, left, 1.15, 1.2) == 1
    assert shares.share("u", 2, left, 1.3, 1.4) == 2, "they still wait"


def test_worker_preempts_alone_where_others_are_silent() -> None:
    shares = PreemptionShares("w0")
    shares.update("w1", {"u": PreemptibleItems(9, 0)}, 1.0)
    own = PreemptibleItems(4, 0)
    assert shares.share("u", 2, own, 1.1, 1.1) == 1
    assert shares.share("u", 2, own, 2.0, 2.0) == 2, "its counts are too old"

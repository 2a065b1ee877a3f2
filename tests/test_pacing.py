"""Tests the scheduling of batch items in a simulated service.

The simulation has four engines with eight slots each. Online requests of 0.75 s
arrive in a square wave: 2 per second and engine for 3.6 s, then 9 for 2.4 s.
Batch jobs of ten items of 4.5 s, due after 18 s, take a third of the slots.
"""

from __future__ import annotations

import dataclasses
import random

from plumvane.serving.pacing import (
    BATCH_COOLDOWN_S,
    ItemDurationEstimator,
    RunningItem,
    UpstreamState,
    item_priority,
    plan_batch_items,
    preemption_candidates,
)

STEP_S = 0.05
ONLINE_S = 0.75
ITEM_S = 4.5
DUE_S = 18.0
SLOTS = 8
ENGINES = 4
SCHEDULE_STEPS = 2


@dataclasses.dataclass
class Work:
    """An online request or a batch item."""

    is_batch: bool
    arrived: float
    left_s: float
    due: float = 0.0
    started: float | None = None


class Engines:
    """Engines that serve in order of arrival, without priorities."""

    def __init__(self) -> None:
        self.queues: list[list[Work]] = [[] for _ in range(ENGINES)]
        self.done: list[tuple[Work, float]] = []

    def step(self, now: float) -> None:
        for queue in self.queues:
            for work in queue[:SLOTS]:
                if work.started is None:
                    work.started = now
                work.left_s -= STEP_S
            self.done += [(w, now) for w in queue if w.left_s <= 0]
            queue[:] = [w for w in queue if w.left_s > 0]


def run(
    seconds: float, *, job_items: int = 10, job_every_s: float = 4.0
) -> Engines:
    """Runs the simulation with a single worker."""
    rng = random.Random(7)
    engines = Engines()
    waiting: list[Work] = []
    cooling_until = [0.0] * ENGINES
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        rate = 2.0 if now % 6.0 < 3.6 else 9.0
        for _ in range(ENGINES):
            if rng.random() < rate * STEP_S:
                shortest = min(engines.queues, key=len)
                shortest.append(Work(False, now, ONLINE_S))
        if step % int(job_every_s / STEP_S) == 0:
            waiting += [
                Work(True, now, ITEM_S, now + DUE_S) for _ in range(job_items)
            ]
        engines.step(now)
        if step % SCHEDULE_STEPS == 0:
            schedule(engines, waiting, cooling_until, now)
    return engines


def schedule(
    engines: Engines,
    waiting: list[Work],
    cooling_until: list[float],
    now: float,
) -> None:
    candidates_by_engine = []
    states = []
    for number, queue in enumerate(engines.queues):
        queued = max(0, len(queue) - SLOTS)
        if queued:
            cooling_until[number] = now + BATCH_COOLDOWN_S
        running = [
            RunningItem(
                w,
                item_priority(w.due, w.left_s, now).is_urgent,
                w.started or now,
            )
            for w in queue
            if w.is_batch
        ]
        candidates_by_engine.append(
            preemption_candidates(running, protects_urgent=True)
        )
        states.append(
            UpstreamState(
                str(number),
                SLOTS,
                len(queue),
                queued,
                len(candidates_by_engine[-1]),
                cooling_until[number] > now,
            )
        )
    waiting.sort(key=lambda work: item_priority(work.due, work.left_s, now))
    urgent = sum(item_priority(w.due, w.left_s, now).is_urgent for w in waiting)
    plan = plan_batch_items(states, urgent, len(waiting) - urgent, 1)
    for engine, count in plan.preemptions_by_id.items():
        candidates = candidates_by_engine[int(engine)]
        for work in [item.run for item in candidates[:count]]:
            engines.queues[int(engine)].remove(work)
            work.started = None
            waiting.append(work)
    for engine in plan.starts:
        engines.queues[int(engine)].append(waiting.pop(0))


def online_delays(engines: Engines) -> list[float]:
    """Returns the sorted waiting times of online requests for a slot."""
    return sorted(
        (work.started or 0.0) - work.arrived
        for work, _ in engines.done
        if not work.is_batch
    )


def test_square_wave_leaves_online_requests_in_time_and_batch_when_due() -> (
    None
):
    engines = run(120.0)
    delays = online_delays(engines)
    assert delays[int(len(delays) * 0.95)] <= 0.25, (
        "the latency target is 0.3 s"
    )
    items = [(work, end) for work, end in engines.done if work.is_batch]
    assert len(items) >= 200
    late = sum(end > work.due for work, end in items)
    assert late <= len(items) * 0.05


def test_backlog_of_urgent_items_does_not_make_online_requests_late() -> None:
    # With jobs of 40 items, all items become urgent before they can run.
    engines = run(120.0, job_items=40, job_every_s=8.0)
    delays = online_delays(engines)
    assert delays[int(len(delays) * 0.95)] <= 0.25, (
        "the latency target is 0.3 s"
    )
    assert any(work.is_batch for work, _ in engines.done)


def test_newest_item_is_preempted_first_and_oldest_urgent_protected() -> None:
    running = [
        RunningItem("old", False, 1.0),
        RunningItem("urgent old", True, 2.0),
        RunningItem("urgent new", True, 4.0),
        RunningItem("new", False, 3.0),
    ]
    candidates = preemption_candidates(running, protects_urgent=True)
    assert [item.run for item in candidates] == [
        "new",
        "old",
        "urgent new",
    ]


def test_urgent_items_are_not_preempted_and_start_in_any_free_slot() -> None:
    full = UpstreamState("a", SLOTS, SLOTS + 3, 3, preemptible_items=0)
    last_slot = UpstreamState(
        "b", SLOTS, SLOTS - 1, 0, preemptible_items=2, is_cooling_down=True
    )
    plan = plan_batch_items([full, last_slot], urgent=1, others=5, workers=1)
    assert plan.starts == ("b",)
    assert plan.preemptions_by_id == {}


def test_other_items_leave_a_slot_free_and_respect_the_cool_down() -> None:
    held = UpstreamState(
        "a", SLOTS, 0, 0, preemptible_items=0, is_cooling_down=True
    )
    busy = UpstreamState("b", SLOTS, SLOTS - 1, 0, preemptible_items=0)
    assert (
        plan_batch_items([held, busy], urgent=0, others=9, workers=1).starts
        == ()
    )
    calm = UpstreamState("c", SLOTS, SLOTS - 3, 0, preemptible_items=0)
    assert plan_batch_items([calm], urgent=0, others=9, workers=1).starts == (
        "c",
        "c",
    )


def test_workers_share_the_free_slots() -> None:
    states = [
        UpstreamState(n, SLOTS, 0, 0, preemptible_items=0) for n in "abcd"
    ]
    starts = plan_batch_items(states, urgent=0, others=99, workers=4).starts
    assert len(starts) == ENGINES * (SLOTS - 1) / 4
    assert len(set(starts)) == ENGINES, (
        "the emptiest upstream gets the next item"
    )


def test_one_item_is_preempted_per_queued_request() -> None:
    state = UpstreamState("a", SLOTS, SLOTS + 2, 2, preemptible_items=5)
    assert plan_batch_items([state], 0, 9, 1).preemptions_by_id == {"a": 2}


def test_earliest_due_item_is_first_and_late_items_are_last() -> None:
    now = 100.0
    priorities = {
        "later": item_priority(118.0, 4.0, now),
        "soon": item_priority(110.0, 2.0, now),
        "tight": item_priority(104.0, 4.2, now),
        "hopeless": item_priority(102.0, 5.0, now),
        "over": item_priority(99.0, 0.1, now),
    }
    ordered = sorted(priorities, key=lambda name: priorities[name])
    assert ordered[:3] == ["tight", "soon", "later"]
    assert set(ordered[3:]) == {"hopeless", "over"}
    urgent = {name for name, p in priorities.items() if p.is_urgent}
    assert urgent == {"tight"}


def test_longest_of_the_items_that_are_due_together_comes_first() -> None:
    lengths = [2.0, 5.0, 3.0]
    ordered = sorted(lengths, key=lambda s: item_priority(118.0, s, 100.0))
    assert ordered == [5.0, 3.0, 2.0]
    assert item_priority(117.0, 1.0, 100.0) < item_priority(118.0, 5.0, 100.0)


def test_overload_makes_the_items_late_that_cannot_be_in_time() -> None:
    """Ordering by due time alone would make a quarter of the items late."""
    engines = run(120.0, job_items=40, job_every_s=8.0)
    items = [(work, end) for work, end in engines.done if work.is_batch]
    in_time = sum(end <= work.due for work, end in items)
    assert len(items) >= 300
    assert in_time >= len(items) * 0.85


def test_duration_estimate_converges_to_observed_runs() -> None:
    estimator = ItemDurationEstimator()
    for _ in range(100):
        estimator.observe_run(50, 50 * 4 * 0.01)
        estimator.observe_item(400, 100)
    assert abs(estimator.remaining_s(400, 0) - 4.0) < 0.1
    assert abs(estimator.remaining_s(400, 50) - 2.0) < 0.1
    assert estimator.remaining_s(400, 200) == 0.0
    before = estimator.token_s
    estimator.observe_run(1, 9.0)
    assert estimator.token_s == before, "runs of few events are ignored"

"""Pacing of batch items under a square wave of online requests.

The pattern: four engines with eight slots; online requests of 0.75 s arrive at
2 a second and engine for 3.6 s, then at 9 for 2.4 s, in turn; batch jobs of ten
items of 4.5 s, due in 18 s, take a third of the slots.
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
PACE_STEPS = 2


@dataclasses.dataclass
class Work:
    """A request or an item."""

    is_batch: bool
    arrived: float
    left_s: float
    due: float = 0.0
    started: float | None = None


class Engines:
    """Engines that serve in the order of arrival and know no priority."""

    def __init__(self) -> None:
        self.work_by_engine: list[list[Work]] = [[] for _ in range(ENGINES)]
        self.done: list[tuple[Work, float]] = []

    def step(self, now: float) -> None:
        for work in self.work_by_engine:
            for piece in work[:SLOTS]:
                if piece.started is None:
                    piece.started = now
                piece.left_s -= STEP_S
            self.done += [(p, now) for p in work if p.left_s <= 0]
            work[:] = [p for p in work if p.left_s > 0]


def run(
    seconds: float, *, job_items: int = 10, job_every_s: float = 4.0
) -> Engines:
    """Plays the pattern with the pacing of one worker."""
    rng = random.Random(7)
    engines = Engines()
    waiting: list[Work] = []
    held_until = [0.0] * ENGINES
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        rate = 2.0 if now % 6.0 < 3.6 else 9.0
        for _ in range(ENGINES):
            if rng.random() < rate * STEP_S:
                shortest = min(engines.work_by_engine, key=len)
                shortest.append(Work(False, now, ONLINE_S))
        if step % int(job_every_s / STEP_S) == 0:
            waiting += [
                Work(True, now, ITEM_S, now + DUE_S) for _ in range(job_items)
            ]
        engines.step(now)
        if step % PACE_STEPS == 0:
            pace(engines, waiting, held_until, now)
    return engines


def pace(
    engines: Engines, waiting: list[Work], held_until: list[float], now: float
) -> None:
    preemptible_by_engine = []
    states = []
    for number, work in enumerate(engines.work_by_engine):
        queued = max(0, len(work) - SLOTS)
        if queued:
            held_until[number] = now + BATCH_COOLDOWN_S
        running = [
            RunningItem(
                p,
                item_priority(p.due, p.left_s, now).is_urgent,
                p.started or now,
            )
            for p in work
            if p.is_batch
        ]
        preemptible_by_engine.append(
            preemption_candidates(running, protects_urgent=True)
        )
        states.append(
            UpstreamState(
                str(number),
                SLOTS,
                len(work),
                queued,
                len(preemptible_by_engine[-1]),
                held_until[number] > now,
            )
        )
    waiting.sort(key=lambda piece: item_priority(piece.due, piece.left_s, now))
    urgent = sum(item_priority(p.due, p.left_s, now).is_urgent for p in waiting)
    todo = plan_batch_items(states, urgent, len(waiting) - urgent, 1)
    for engine, count in todo.preemptions_by_id.items():
        for piece in preemptible_by_engine[int(engine)][:count]:
            engines.work_by_engine[int(engine)].remove(piece)
            piece.started = None
            waiting.append(piece)
    for engine in todo.starts:
        engines.work_by_engine[int(engine)].append(waiting.pop(0))


def online_delays(engines: Engines) -> list[float]:
    """Returns how long online requests waited for a slot, in order."""
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
    assert delays[int(len(delays) * 0.95)] <= 0.25, "the sheet's aim is 0.3 s"
    items = [(work, end) for work, end in engines.done if work.is_batch]
    assert len(items) >= 200
    late = sum(end > work.due for work, end in items)
    assert late <= len(items) * 0.05


def test_backlog_of_urgent_items_does_not_make_online_requests_late() -> None:
    # Jobs of 40 items: all of them become urgent before they can run.
    engines = run(120.0, job_items=40, job_every_s=8.0)
    delays = online_delays(engines)
    assert delays[int(len(delays) * 0.95)] <= 0.25, "the sheet's aim is 0.3 s"
    assert any(work.is_batch for work, _ in engines.done)


def test_oldest_urgent_item_stays_and_the_newest_of_the_others_goes_first() -> (
    None
):
    running = [
        RunningItem("old", False, 1.0),
        RunningItem("urgent old", True, 2.0),
        RunningItem("urgent new", True, 4.0),
        RunningItem("new", False, 3.0),
    ]
    assert preemption_candidates(running, protects_urgent=True) == [
        "new",
        "old",
        "urgent new",
    ]


def test_urgent_items_are_not_stopped_and_start_at_any_free_slot() -> None:
    full = UpstreamState("a", SLOTS, SLOTS + 3, 3, preemptible_items=0)
    last_slot = UpstreamState(
        "b", SLOTS, SLOTS - 1, 0, preemptible_items=2, is_cooling_down=True
    )
    todo = plan_batch_items([full, last_slot], urgent=1, others=5, workers=1)
    assert todo.starts == ("b",)
    assert todo.preemptions_by_id == {}


def test_other_items_leave_a_slot_free_and_respect_the_hold() -> None:
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


def test_workers_share_the_free_slots_that_all_of_them_see() -> None:
    states = [
        UpstreamState(n, SLOTS, 0, 0, preemptible_items=0) for n in "abcd"
    ]
    starts = plan_batch_items(states, urgent=0, others=99, workers=4).starts
    assert len(starts) == ENGINES * (SLOTS - 1) / 4
    assert len(set(starts)) == ENGINES, "the emptiest goes first"


def test_items_give_way_one_for_each_request_that_waits() -> None:
    state = UpstreamState("a", SLOTS, SLOTS + 2, 2, preemptible_items=5)
    assert plan_batch_items([state], 0, 9, 1).preemptions_by_id == {"a": 2}


def test_due_first_is_first_and_items_that_are_late_anyway_are_last() -> None:
    now = 100.0
    priorities = {
        "later": item_priority(118.0, 4.0, now),
        "soon": item_priority(110.0, 2.0, now),
        "tight": item_priority(104.0, 4.2, now),
        "hopeless": item_priority(102.0, 5.0, now),
        "over": item_priority(99.0, 0.1, now),
    }
    in_turn = sorted(priorities, key=lambda name: priorities[name])
    assert in_turn[:3] == ["tight", "soon", "later"]
    assert set(in_turn[3:]) == {"hopeless", "over"}
    urgent = {name for name, p in priorities.items() if p.is_urgent}
    assert urgent == {"tight"}


def test_overload_makes_the_items_late_that_cannot_be_in_time() -> None:
    """More work than fits: by due time alone a quarter would be late."""
    engines = run(120.0, job_items=40, job_every_s=8.0)
    items = [(work, end) for work, end in engines.done if work.is_batch]
    in_time = sum(end <= work.due for work, end in items)
    assert len(items) >= 300
    assert in_time >= len(items) * 0.85


def test_speed_is_learned_from_runs() -> None:
    speed = ItemDurationEstimator()
    for _ in range(100):
        speed.observe_run(50, 50 * 4 * 0.01)
        speed.observe_item(400, 100)
    assert abs(speed.remaining_s(400, 0) - 4.0) < 0.1
    assert abs(speed.remaining_s(400, 50) - 2.0) < 0.1
    assert speed.remaining_s(400, 200) == 0.0
    before = speed.token_s
    speed.observe_run(1, 9.0)
    assert speed.token_s == before, "a single event says little"

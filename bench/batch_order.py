"""Which batch jobs each order lands, on real processes.

The capacity is measured by a first job in each run. Then jobs of random
sizes arrive at once in random order; their deadlines are such that the
earliest deadline first lands all but one, which no order can land. With
`--gap_s` they arrive one after the other, each with as much time as before, so
that urgent jobs find the engines at work for lax ones. The
clairvoyant order knows the measured capacity and all jobs. The rate over the
jobs is printed beside it: where it is lower, the machine or the hand-out fell
behind the capacity that the clairvoyant order counts on. Run with
`python -m bench.batch_order`; figures are printed as JSON lines.
"""

from __future__ import annotations

import dataclasses
import json
import math
import pathlib
import random
import tempfile
import time
from typing import Any

from absl import app, flags

from standins.launcher import MODEL, Fleet, Process
from tests.batches import engine_record, item_lines
from tests.fleets import Caller, running_fleet

__all__ = ["main"]

_SEEDS = flags.DEFINE_multi_integer("seed", [1, 2, 3], "Seeds.")
_ORDERS = flags.DEFINE_multi_string(
    "order", ["fifo", "least_slack"], "Orders, in turn for each seed."
)
_JOBS = flags.DEFINE_integer("jobs", 5, "Jobs that can land.")
_ITEMS = flags.DEFINE_integer("items", 300, "Mean items of a job.")
_ENGINES = flags.DEFINE_integer("engines", 2, "Engines.")
_GAP_S = flags.DEFINE_float(
    "gap_s", 0.0, "Seconds between the arrivals of two jobs."
)
_TOKENS = flags.DEFINE_integer("tokens", 8, "Tokens of an item.")

CAPACITY_ITEMS = 3000
# Deadlines leave this much more than the work before them takes.
SPARE = 1.3
SPARE_S = 3.0
POLL_S = 0.1
TIMEOUT_S = 180.0


@dataclasses.dataclass(slots=True)
class _Job:
    """A job of the scenario.

    Attributes:
        items: How many items it has.
        due_s: Deadline, in seconds from the start.
        arrival_s: When it arrives, in seconds from the start.
        lands: Whether the clairvoyant order lands it.
        job_id: Its id, once it is submitted.
        finished_s: When it ended, in seconds from the start.
        foreseen_late: Whether its first expected end was after its deadline.
    """

    items: int
    due_s: float
    arrival_s: float = 0.0
    lands: bool = True
    job_id: str = ""
    finished_s: float = 0.0
    foreseen_late: bool | None = None


def _scenario(rng: random.Random, capacity: float) -> list[_Job]:
    """Returns jobs in the order of their arrival."""
    sizes = [
        int(_ITEMS.value * rng.uniform(0.5, 1.5)) for _ in range(_JOBS.value)
    ]
    jobs = []
    busy_s = 0.0
    for items in sizes:
        busy_s += items / capacity
        jobs.append(_Job(items, busy_s * SPARE + SPARE_S))
    # This one needs twice the time that it has.
    hopeless = int(jobs[0].due_s * 2 * capacity)
    jobs.append(_Job(hopeless, jobs[0].due_s))
    rng.shuffle(jobs)
    for number, job in enumerate(jobs):
        job.arrival_s = number * _GAP_S.value
        job.due_s += job.arrival_s
    _clairvoyant(jobs, capacity)
    return jobs


def _clairvoyant(jobs: list[_Job], capacity: float) -> None:
    """Notes what the earliest deadline first lands."""
    landing: list[_Job] = []
    for job in sorted(jobs, key=lambda job: job.due_s):
        job.lands = _all_land([*landing, job], capacity)
        if job.lands:
            landing.append(job)


def _all_land(jobs: list[_Job], capacity: float) -> bool:
    """Returns whether the earliest deadline first lands all jobs.

    A job that arrives takes the engines from those that are due later.
    """
    left_s = {id(job): job.items / capacity for job in jobs}
    arrivals = sorted({job.arrival_s for job in jobs})
    for now_s, until_s in zip(arrivals, [*arrivals[1:], math.inf], strict=True):
        arrived = [job for job in jobs if job.arrival_s <= now_s]
        for job in sorted(arrived, key=lambda job: job.due_s):
            spent_s = min(left_s[id(job)], until_s - now_s)
            left_s[id(job)] -= spent_s
            now_s += spent_s
            if spent_s and not left_s[id(job)] and now_s > job.due_s:
                return False
    return True


def _capacity(fleet: Fleet, caller: Caller) -> float:
    """Returns the items a second of the second half of a long job.

    The limit of admission adapts over the first half. The engines count the
    items, since the job learns of them a range at a time.
    """
    lines = item_lines(["warm-up"] * CAPACITY_ITEMS, max_tokens=_TOKENS.value)
    caller.submit(fleet["entry-0"], lines, key="capacity")
    half_at, half = _await_finished(fleet, CAPACITY_ITEMS // 2)
    end_at, end = _await_finished(fleet, CAPACITY_ITEMS)
    return (end - half) / (end_at - half_at)


def _await_finished(fleet: Fleet, items: int) -> tuple[float, int]:
    """Waits until the engines have done items; returns the time and how many.

    Raises:
        TimeoutError: They were not done in time.
    """
    give_up = time.monotonic() + TIMEOUT_S
    while time.monotonic() < give_up:
        finished = sum(
            engine_record(fleet, f"engine-{number}")["counts"].get(
                "finished_batch", 0
            )
            for number in range(_ENGINES.value)
        )
        if finished >= items:
            return time.monotonic(), finished
        time.sleep(POLL_S)
    raise TimeoutError(f"{items} items were not done in {TIMEOUT_S} s.")


def _run(fleet: Fleet, caller: Caller, jobs: list[_Job]) -> None:
    entry = fleet["entry-0"]
    started = time.time()
    waiting: list[_Job] = []
    for number, job in enumerate(jobs):
        while time.time() < started + job.arrival_s:
            _poll(entry, caller, waiting, started)
        lines = item_lines(
            [f"job {number} item {n}" for n in range(job.items)],
            max_tokens=_TOKENS.value,
        )
        _, state = caller.submit(
            entry, lines, key=f"job-{number}", deadline=started + job.due_s
        )
        job.job_id = state["id"]
        waiting.append(job)
    while waiting and time.time() < started + TIMEOUT_S:
        _poll(entry, caller, waiting, started)
    for job in waiting:
        job.finished_s = TIMEOUT_S


def _poll(
    entry: Process, caller: Caller, waiting: list[_Job], started: float
) -> None:
    """Notes what came of the jobs that have not ended."""
    for job in list(waiting):
        state = caller.job(entry, job.job_id)
        expected = state["expected_finish"]
        if job.foreseen_late is None and expected is not None:
            job.foreseen_late = expected > state["deadline"]
        if state["state"] == "completed":
            job.finished_s = time.time() - started
            waiting.remove(job)
    time.sleep(POLL_S)


def _measure(order: str, seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        document = Fleet(pathlib.Path(folder)).default_document()
    document["policies"] = {"batch_order": order}
    with running_fleet(
        bulks=2, engines=_ENGINES.value, document=document
    ) as fleet:
        caller = Caller(fleet)
        capacity = _capacity(fleet, caller)
        jobs = _scenario(random.Random(seed), capacity)
        _run(fleet, caller, jobs)
    landed = [j for j in jobs if j.finished_s <= j.due_s]
    return {
        "order": order,
        "seed": seed,
        "model": MODEL,
        "items_per_s": round(capacity, 1),
        "items_per_s_of_jobs": round(
            sum(j.items for j in jobs) / max(j.finished_s for j in jobs), 1
        ),
        "clairvoyant": sum(j.lands for j in jobs),
        "landed": len(landed),
        "landed_of_clairvoyant": sum(j.lands for j in landed),
        "foreseen_late": [bool(j.foreseen_late) for j in jobs if not j.lands],
        "wrongly_foreseen_late": sum(
            bool(j.foreseen_late) for j in jobs if j.lands
        ),
        "jobs": [
            [j.items, round(j.due_s, 1), round(j.finished_s, 1)] for j in jobs
        ],
    }


def main(argv: list[str]) -> None:
    """Runs the orders in turn for each seed."""
    del argv
    for seed in _SEEDS.value:
        for order in _ORDERS.value:
            print(json.dumps(_measure(order, seed)), flush=True)


if __name__ == "__main__":
    app.run(main)

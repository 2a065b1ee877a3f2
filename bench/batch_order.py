"""Batch jobs that meet their deadlines under each job order.

Runs on real processes. Each run first measures the capacity with a job of its
own. Then jobs of random sizes arrive at once in random order, with deadlines
that earliest-deadline-first scheduling meets for all jobs but one, whose
deadline no order can meet. With `--gap_s` the jobs arrive one after the other,
each with the same time to its deadline, so that urgent jobs arrive while the
engines run less urgent ones.

The clairvoyant order knows the measured capacity and all jobs. The item rate
over the jobs is printed beside it: where it is lower than the capacity, the
machine or the dispatch of items did not sustain the rate that the clairvoyant
order assumes. In the figures, a job has landed if it met its deadline, and was
foreseen late if the first estimate of its completion was after the deadline.
Run with `python -m bench.batch_order`; figures are printed as JSON lines.
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
    "order", ["fifo", "least_slack"], "Job orders, run in turn for each seed."
)
_JOBS = flags.DEFINE_integer("jobs", 5, "Jobs whose deadline can be met.")
_ITEMS = flags.DEFINE_integer("items", 300, "Mean number of items of a job.")
_ENGINES = flags.DEFINE_integer("engines", 2, "Engines.")
_GAP_S = flags.DEFINE_float(
    "gap_s", 0.0, "Seconds between the arrivals of two jobs."
)
_TOKENS = flags.DEFINE_integer("tokens", 8, "Output tokens of an item.")

CAPACITY_ITEMS = 3000
# The deadline of a job leaves this much more time than the job and those due
# before it take at full capacity: a factor and a constant.
DEADLINE_FACTOR = 1.3
DEADLINE_MARGIN_S = 3.0
POLL_S = 0.1
TIMEOUT_S = 180.0


@dataclasses.dataclass(slots=True)
class _Job:
    """A job of the scenario.

    Attributes:
        items: Number of items.
        deadline_s: Deadline, in seconds from the start.
        arrival_s: Arrival, in seconds from the start.
        feasible: Whether the clairvoyant order meets the deadline.
        job_id: Id of the job, once it is submitted.
        finished_s: Completion, in seconds from the start.
        predicted_late: Whether the first estimated completion was after the
            deadline.
    """

    items: int
    deadline_s: float
    arrival_s: float = 0.0
    feasible: bool = True
    job_id: str = ""
    finished_s: float = 0.0
    predicted_late: bool | None = None


def _make_jobs(rng: random.Random, capacity: float) -> list[_Job]:
    """Returns jobs in the order of their arrival."""
    sizes = [
        int(_ITEMS.value * rng.uniform(0.5, 1.5)) for _ in range(_JOBS.value)
    ]
    jobs = []
    cumulative_s = 0.0
    for items in sizes:
        cumulative_s += items / capacity
        jobs.append(
            _Job(items, cumulative_s * DEADLINE_FACTOR + DEADLINE_MARGIN_S)
        )
    # This job takes twice the time to its deadline.
    infeasible_items = int(jobs[0].deadline_s * 2 * capacity)
    jobs.append(_Job(infeasible_items, jobs[0].deadline_s))
    rng.shuffle(jobs)
    for number, job in enumerate(jobs):
        job.arrival_s = number * _GAP_S.value
        job.deadline_s += job.arrival_s
    _mark_feasible(jobs, capacity)
    return jobs


def _mark_feasible(jobs: list[_Job], capacity: float) -> None:
    """Marks the jobs whose deadline earliest-deadline-first can meet."""
    accepted: list[_Job] = []
    for job in sorted(jobs, key=lambda job: job.deadline_s):
        job.feasible = _all_meet_deadlines([*accepted, job], capacity)
        if job.feasible:
            accepted.append(job)


def _all_meet_deadlines(jobs: list[_Job], capacity: float) -> bool:
    """Returns whether earliest-deadline-first meets all deadlines.

    A job that arrives preempts the jobs with later deadlines.
    """
    remaining_s = {id(job): job.items / capacity for job in jobs}
    arrivals = sorted({job.arrival_s for job in jobs})
    for now_s, until_s in zip(arrivals, [*arrivals[1:], math.inf], strict=True):
        arrived = [job for job in jobs if job.arrival_s <= now_s]
        for job in sorted(arrived, key=lambda job: job.deadline_s):
            spent_s = min(remaining_s[id(job)], until_s - now_s)
            remaining_s[id(job)] -= spent_s
            now_s += spent_s
            if spent_s and not remaining_s[id(job)] and now_s > job.deadline_s:
                return False
    return True


def _measure_capacity(fleet: Fleet, caller: Caller) -> float:
    """Returns the items per second over the second half of a long job.

    The admission limit adapts over the first half. The items are counted at the
    engines, since the job's own count advances by whole ranges.
    """
    lines = item_lines(["warm-up"] * CAPACITY_ITEMS, max_tokens=_TOKENS.value)
    caller.submit(fleet["entry-0"], lines, key="capacity")
    half_at, half = _wait_finished(fleet, CAPACITY_ITEMS // 2)
    end_at, end = _wait_finished(fleet, CAPACITY_ITEMS)
    return (end - half) / (end_at - half_at)


def _wait_finished(fleet: Fleet, items: int) -> tuple[float, int]:
    """Waits until the engines have finished a number of items.

    Returns:
        The monotonic time and the number of finished items.

    Raises:
        TimeoutError: The items were not finished in time.
    """
    deadline_at = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_at:
        finished = sum(
            engine_record(fleet, f"engine-{number}")["counts"].get(
                "finished_batch", 0
            )
            for number in range(_ENGINES.value)
        )
        if finished >= items:
            return time.monotonic(), finished
        time.sleep(POLL_S)
    raise TimeoutError(f"{items} items were not finished in {TIMEOUT_S} s.")


def _run_jobs(fleet: Fleet, caller: Caller, jobs: list[_Job]) -> None:
    entry = fleet["entry-0"]
    started = time.time()
    pending: list[_Job] = []
    for number, job in enumerate(jobs):
        while time.time() < started + job.arrival_s:
            _poll(entry, caller, pending, started)
        lines = item_lines(
            [f"job {number} item {n}" for n in range(job.items)],
            max_tokens=_TOKENS.value,
        )
        _, state = caller.submit(
            entry, lines, key=f"job-{number}", deadline=started + job.deadline_s
        )
        job.job_id = state["id"]
        pending.append(job)
    while pending and time.time() < started + TIMEOUT_S:
        _poll(entry, caller, pending, started)
    for job in pending:
        job.finished_s = TIMEOUT_S


def _poll(
    entry: Process, caller: Caller, pending: list[_Job], started: float
) -> None:
    """Updates the jobs that have not completed from their state."""
    for job in list(pending):
        state = caller.job(entry, job.job_id)
        expected = state["expected_finish"]
        if job.predicted_late is None and expected is not None:
            job.predicted_late = expected > state["deadline"]
        if state["state"] == "completed":
            job.finished_s = time.time() - started
            pending.remove(job)
    time.sleep(POLL_S)


def _measure(order: str, seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        document = Fleet(pathlib.Path(folder)).default_document()
    document["policies"] = {"batch_order": order}
    with running_fleet(
        bulks=2, engines=_ENGINES.value, document=document
    ) as fleet:
        caller = Caller(fleet)
        capacity = _measure_capacity(fleet, caller)
        jobs = _make_jobs(random.Random(seed), capacity)
        _run_jobs(fleet, caller, jobs)
    on_time = [j for j in jobs if j.finished_s <= j.deadline_s]
    return {
        "order": order,
        "seed": seed,
        "model": MODEL,
        "items_per_s": round(capacity, 1),
        "items_per_s_of_jobs": round(
            sum(j.items for j in jobs) / max(j.finished_s for j in jobs), 1
        ),
        "clairvoyant": sum(j.feasible for j in jobs),
        "landed": len(on_time),
        "landed_of_clairvoyant": sum(j.feasible for j in on_time),
        "foreseen_late": [
            bool(j.predicted_late) for j in jobs if not j.feasible
        ],
        "wrongly_foreseen_late": sum(
            bool(j.predicted_late) for j in jobs if j.feasible
        ),
        "jobs": [
            [j.items, round(j.deadline_s, 1), round(j.finished_s, 1)]
            for j in jobs
        ],
    }


def main(argv: list[str]) -> None:
    """Runs each job order in turn for each seed."""
    del argv
    for seed in _SEEDS.value:
        for order in _ORDERS.value:
            print(json.dumps(_measure(order, seed)), flush=True)


if __name__ == "__main__":
    app.run(main)

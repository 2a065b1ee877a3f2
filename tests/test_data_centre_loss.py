"""Tests the simultaneous loss of all processes of one data centre."""

from __future__ import annotations

import json
import random
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import httpcore

from standins.engine import expected_text
from standins.launcher import Fleet, Process
from tests.batches import (
    chunk_copies,
    engine_record,
    is_complete_answer,
    item_lines,
    referenced_chunks,
    wait_completed,
)
from tests.fleets import Caller, running_fleet, wait_for

SEED = 23
KEYS = 200
KEYS_BEFORE_LOSS = 50
CALLERS = 8
ITEMS = 400
# Each job has one chunk of input and one of results.
SMALL_JOBS = 12
COPIES_TIMEOUT_S = 120.0
ANSWER_DEADLINE_S = 120.0
ENGINE_FLAGS = ("--step_s=0.02",)
DATA_CENTRES = ("rehoboth", "brakwater")


class _RetryingCallers:
    """Callers that retry a key at random entries until it is answered."""

    def __init__(self, fleet: Fleet) -> None:
        self._caller = Caller(fleet)
        self._entries = [
            p for p in fleet.processes_by_name.values() if p.role == "entry"
        ]
        self.answers_by_key: dict[str, Any] = {}

    def send(self, number: int) -> None:
        """Sends one key repeatedly until it is answered."""
        rng = random.Random(f"{SEED}-{number}")
        deadline = time.monotonic() + ANSWER_DEADLINE_S
        while time.monotonic() < deadline:
            entry = rng.choice(self._entries)
            try:
                status, answer = self._caller.complete(
                    entry, f"note {number}", key=f"k{number}"
                )
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ):
                continue
            if status == 200:
                self.answers_by_key[f"k{number}"] = answer
                return


def _kill_data_centre(fleet: Fleet, data_centre: str) -> set[str]:
    """Kills all processes of a data centre and returns their names."""
    killed = {
        p.name
        for p in fleet.processes_by_name.values()
        if p.data_centre == data_centre
    }
    for name in killed:
        fleet[name].kill()
        if name.endswith("-sidecar"):
            fleet[name.removesuffix("-sidecar")].kill()
    for name in killed:
        fleet.deregister_instance(name)
    return killed


def _complete_small_jobs(
    caller: Caller, entry: Process
) -> dict[str, list[Any]]:
    """Completes small jobs and returns their results by job id."""
    ids = []
    for number in range(SMALL_JOBS):
        lines = item_lines([f"teardown {number}"])
        _, job = caller.submit(entry, lines, key=f"small-{number}")
        ids.append(job["id"])
    for job_id in ids:
        wait_completed(caller, entry, job_id)
    return {job_id: caller.job_results(entry, job_id) for job_id in ids}


def _set_data_centres(fleet: Fleet) -> None:
    fleet.data_centres = DATA_CENTRES


def test_nothing_is_lost_with_a_data_centre() -> None:
    with running_fleet(
        entries=4,
        engines=2,
        bulks=4,
        engine_flags=ENGINE_FLAGS,
        prepare=_set_data_centres,
    ) as fleet:
        caller = Caller(fleet)
        prompts = [f"plan {n}" for n in range(ITEMS)]
        entry = fleet["entry-0"]
        results_by_small_job = _complete_small_jobs(caller, entry)
        _, job = caller.submit(entry, item_lines(prompts), key="job")
        wait_for(lambda: engine_record(fleet)["running"], "an item runs")
        retrying_callers = _RetryingCallers(fleet)
        with ThreadPoolExecutor(CALLERS) as callers:
            futures = [
                callers.submit(retrying_callers.send, n) for n in range(KEYS)
            ]
            wait_for(
                lambda: (
                    len(retrying_callers.answers_by_key) >= KEYS_BEFORE_LOSS
                ),
                "answers before the loss",
            )
            killed = _kill_data_centre(fleet, entry.data_centre)
            assert len(killed) == 5
            for future in futures:
                future.result()
        remaining = [
            p for p in retrying_callers._entries if p.name not in killed
        ]
        _check_answers(caller, remaining, retrying_callers.answers_by_key)
        state = wait_completed(caller, remaining[0], job["id"])
        assert (state["done"], state["failed_count"]) == (ITEMS, 0)
        results = caller.job_results(remaining[0], job["id"])
        for prompt, line in zip(prompts, results, strict=True):
            assert is_complete_answer(line, prompt)
        for job_id, results in results_by_small_job.items():
            assert caller.job_results(remaining[0], job_id) == results
        bulks = [n for n in fleet.processes_by_name if n.startswith("bulk-")]
        bulks = [name for name in bulks if name not in killed]
        referenced = referenced_chunks(fleet)
        # Each job has its input and at least one chunk of results.
        assert len(referenced) >= 2 * (SMALL_JOBS + 1)

        def is_replicated() -> bool:
            copies = chunk_copies(fleet, bulks)
            return all(copies.get(digest, 0) == 2 for digest in referenced)

        wait_for(
            is_replicated, "two copies of each chunk again", COPIES_TIMEOUT_S
        )


def _check_answers(
    caller: Caller, remaining: list[Any], answers_by_key: dict[str, Any]
) -> None:
    """Asserts that the remaining entries return each key's only answer."""
    assert len(answers_by_key) == KEYS
    for number in range(KEYS):
        answer = answers_by_key[f"k{number}"]
        text = answer["choices"][0]["text"]
        assert text == expected_text(f"note {number}", 6)
        entry = remaining[number % len(remaining)]
        stored = caller.result(entry, f"k{number}")
        assert stored == (200, answer), json.dumps(stored)

"""Batch jobs on fleets of real processes with injected failures."""

from __future__ import annotations

import collections
import json
import pathlib
import tempfile
import threading
from typing import Any

from plumvane.jobs.job import MAX_ATTEMPTS, MAX_LOSSES
from standins.launcher import Fleet
from tests.batches import (
    chunk_copies,
    engine_record,
    is_complete_answer,
    item_lines,
    owner_of,
    wait_completed,
)
from tests.fleets import TEAM, Caller, running_fleet, silent_peers, wait_for

SLOW_STEPS = ("--step_s=0.05",)
STEADY_STEPS = ("--step_s=0.02",)
COPIES_TIMEOUT_S = 120.0


def _other_entry(fleet: Fleet, name: str) -> Any:
    """Returns an entry other than the named one."""
    return next(
        p
        for p in fleet.processes_by_name.values()
        if p.role == "entry" and p.name != name
    )


def _executions_of(fleet: Fleet, job_id: str) -> dict[str, int]:
    executions = engine_record(fleet)["executions"]
    return {k: n for k, n in executions.items() if k.startswith(job_id)}


def test_cancelled_job_stops_when_its_owner_is_killed() -> None:
    with running_fleet(entries=3, bulks=2, engine_flags=SLOW_STEPS) as fleet:
        caller = Caller(fleet)
        prompts = [f"plan {n}" for n in range(2000)]
        _, job = caller.submit(
            fleet["entry-0"], item_lines(prompts, max_tokens=10), key="k"
        )
        wait_for(
            lambda: caller.job(fleet["entry-0"], job["id"])["done"],
            "results of a range that still runs",
        )
        owner = fleet[owner_of(fleet, job["id"])]
        status, cancelled = caller.cancel_job(owner, job["id"])
        owner.kill()
        assert (status, cancelled["state"]) == (200, "cancelled")

        entry = _other_entry(fleet, owner.name)
        wait_for(lambda: not engine_record(fleet)["running"], "no stream runs")
        wait_for(
            lambda: caller.job(entry, job["id"]).get("state") == "cancelled",
            "the cancel at the next owner",
        )
        started = _executions_of(fleet, job["id"])
        _, later = caller.submit(entry, item_lines(["later"] * 8), key="l")
        wait_completed(caller, entry, later["id"])
        assert _executions_of(fleet, job["id"]) == started
        state = caller.job(entry, job["id"])
        results = caller.job_results(entry, job["id"])
        assert cancelled["done"] <= state["done"] == len(results)
        for line in results:
            number = int(line["custom_id"].removeprefix("item-"))
            assert is_complete_answer(line, prompts[number], 10)


def test_job_completes_despite_items_that_fail() -> None:
    with running_fleet(bulks=2) as fleet:
        caller = Caller(fleet)
        entry = fleet["entry-0"]
        prompts = [f"plan {n}" for n in range(100)]
        max_tokens = [4] * 100
        for number in (0, 41, 99):
            prompts[number] = f"poison {number}"
        max_tokens[57] = 0
        lines = item_lines(prompts, max_tokens=max_tokens)
        _, job = caller.submit(entry, lines, key="k")
        state = wait_completed(caller, entry, job["id"])
        results = caller.job_results(entry, job["id"])
        counts = engine_record(fleet)["counts"]
    assert state["done"] == 96
    kinds = {item["index"]: item["kind"] for item in state["failed"]}
    assert kinds == {0: "error", 41: "error", 57: "refused", 99: "error"}
    assert counts["poisoned"] == 3 * MAX_ATTEMPTS
    ids = [line["custom_id"] for line in results]
    assert ids == [f"item-{n}" for n in range(100)]
    for number, line in enumerate(results):
        if number in kinds:
            assert line["error"]["code"] == f"item_{kinds[number]}"
        else:
            assert is_complete_answer(line, prompts[number])


def test_item_that_kills_its_sidecar_fails_permanently() -> None:
    faulty = 5
    with running_fleet(bulks=2, engine_flags=SLOW_STEPS) as fleet:
        caller = Caller(fleet)
        entry = fleet["entry-0"]
        prompts = [f"plan {n}" for n in range(16)]
        max_tokens = [4] * 16
        max_tokens[faulty] = 100_000
        lines = item_lines(prompts, max_tokens=max_tokens)
        _, job = caller.submit(entry, lines, key="k")
        kills = 0

        def killed_or_completed() -> bool:
            nonlocal kills
            running = engine_record(fleet)["running"]
            if any(name.split(":")[-2] == str(faulty) for name in running):
                kills += 1
                fleet["engine-0-sidecar"].kill()
                wait_for(
                    lambda: not engine_record(fleet)["running"],
                    "the engine noticed the loss",
                )
                fleet["engine-0-sidecar"].start()
            return bool(caller.job(entry, job["id"])["state"] == "completed")

        wait_for(killed_or_completed, "the job's end", 180.0)
        state = caller.job(entry, job["id"])
        results = caller.job_results(entry, job["id"])
    assert [item["index"] for item in state["failed"]] == [faulty]
    assert state["failed"][0]["kind"] == "lost"
    assert state["done"] == 15
    assert kills <= 2 + MAX_LOSSES
    assert [line["custom_id"] for line in results] == [
        f"item-{n}" for n in range(16)
    ]


def test_job_is_resubmitted_after_its_owner_is_killed_before_replying() -> None:
    with running_fleet(entries=3, bulks=2, proxied=True) as fleet:
        caller = Caller(fleet)
        prompts = [f"plan {n}" for n in range(40)]
        lines = item_lines(prompts)
        job_id, key = _job_owned_by_other(fleet, "entry-0")
        owner = fleet[owner_of(fleet, job_id)]
        # Opens the connection to the owner before its replies are withheld.
        caller.job(fleet["entry-0"], job_id)
        fleet.set_peer_faults(owner.name, mode="freeze_out")
        answers: list[tuple[int, Any]] = []
        sender = threading.Thread(
            target=lambda: answers.append(
                caller.submit(fleet["entry-0"], lines, key=key)
            )
        )
        sender.start()
        wait_for(
            lambda: caller.job(owner, job_id).get("id") == job_id,
            "the job at its owner",
        )
        assert not answers
        owner.kill()
        sender.join()
        status, job = answers[0]
        if status != 202:
            status, job = caller.submit(fleet["entry-0"], lines, key=key)
        assert (status, job["id"]) == (202, job_id)
        entry = _other_entry(fleet, owner.name)
        assert caller.submit(entry, lines, key=key)[1]["id"] == job_id
        wait_completed(caller, entry, job_id)
        results = caller.job_results(entry, job_id)
    assert [line["custom_id"] for line in results] == [
        f"item-{n}" for n in range(40)
    ]
    for prompt, line in zip(prompts, results, strict=True):
        assert is_complete_answer(line, prompt)


def _job_owned_by_other(fleet: Fleet, entry: str) -> tuple[str, str]:
    """Returns the id and key of a job that an entry other than this owns."""
    from plumvane.entry.batches import job_id_of
    from standins.launcher import TEAM

    for number in range(100):
        job_id = job_id_of(TEAM, f"key-{number}")
        if owner_of(fleet, job_id) not in ("", entry):
            return job_id, f"key-{number}"
    raise AssertionError(f"{entry} owns every partition")


def test_jobs_pause_while_only_one_bulk_instance_is_left() -> None:
    with running_fleet(bulks=2, engine_flags=SLOW_STEPS) as fleet:
        caller = Caller(fleet)
        entry = fleet["entry-0"]
        prompts = [f"plan {n}" for n in range(600)]
        _, job = caller.submit(entry, item_lines(prompts), key="k")
        wait_for(lambda: engine_record(fleet)["running"], "an item runs")
        fleet["bulk-1"].kill()
        fleet.deregister_instance("bulk-1")

        def is_refused() -> bool:
            status, problem = caller.submit(
                entry, item_lines(["x"]), key="refused"
            )
            return status == 503 and problem["not_run"] is True

        wait_for(is_refused, "a new job refused as not run")
        wait_for(lambda: not engine_record(fleet)["running"], "granting stops")
        waiting = caller.job(entry, job["id"])
        assert waiting["state"] == "running"
        assert len(_executions_of(fleet, job["id"])) < 600
        fleet["bulk-1"].start()
        fleet.register_instance(fleet["bulk-1"])
        state = wait_completed(caller, entry, job["id"])
        assert (state["done"], state["failed_count"]) == (600, 0)
        # Items finished before the outage did not run again: each item ran
        # under one claim, and each of its streams started once, including those
        # that resumed a preempted stream.
        started = _executions_of(fleet, job["id"])
        assert set(started.values()) == {1}
        streams = [name.rsplit(":", 2) for name in started]
        items = {(claim, index) for claim, index, _ in streams}
        assert len(items) == len({index for _, index in items}) == 600
        attempts = collections.Counter((c, i) for c, i, _ in streams)
        for claim, index, attempt in streams:
            assert int(attempt) < attempts[claim, index]
        results = caller.job_results(entry, job["id"])
    for prompt, line in zip(prompts, results, strict=True):
        assert is_complete_answer(line, prompt)


def _finished_job(fleet: Fleet) -> tuple[Caller, str, list[str]]:
    caller = Caller(fleet)
    prompts = [f"plan {n}" for n in range(200)]
    _, job = caller.submit(fleet["entry-0"], item_lines(prompts), key="k")
    wait_completed(caller, fleet["entry-0"], job["id"])
    return caller, job["id"], prompts


def test_chunks_of_a_lost_bulk_instance_are_replicated_again() -> None:
    with running_fleet(bulks=3) as fleet:
        caller, job_id, prompts = _finished_job(fleet)
        bulks = ["bulk-0", "bulk-1", "bulk-2"]
        held = {bulk: len(chunk_copies(fleet, [bulk])) for bulk in bulks}
        lost = max(bulks, key=lambda bulk: held[bulk])
        digests = set(chunk_copies(fleet, bulks))
        fleet[lost].kill()
        fleet.deregister_instance(lost)
        left = [bulk for bulk in bulks if bulk != lost]

        def is_replicated() -> bool:
            copies = chunk_copies(fleet, left)
            return set(copies) == digests and min(copies.values()) == 2

        wait_for(is_replicated, "two copies of each chunk", COPIES_TIMEOUT_S)
        fleet[left[0]].kill()
        fleet.deregister_instance(left[0])
        results = caller.job_results(fleet["entry-0"], job_id)
    for prompt, line in zip(prompts, results, strict=True):
        assert is_complete_answer(line, prompt)


def test_damaged_chunk_is_found_and_repaired() -> None:
    with running_fleet(bulks=2) as fleet:
        caller, job_id, prompts = _finished_job(fleet)
        folder = pathlib.Path(fleet.folder, "bulk-0-data")
        for path in folder.glob("??/*"):
            data = bytearray(path.read_bytes())
            data[len(data) // 2] ^= 1
            path.write_bytes(data)
        results = caller.job_results(fleet["entry-0"], job_id)
        for prompt, line in zip(prompts, results, strict=True):
            assert is_complete_answer(line, prompt)

        def is_repaired() -> bool:
            copies = chunk_copies(fleet, ["bulk-0", "bulk-1"])
            return min(copies.values()) == 2

        wait_for(is_repaired, "each chunk whole twice", COPIES_TIMEOUT_S)


def test_job_is_accepted_after_the_link_to_a_bulk_instance_was_lost() -> None:
    with running_fleet(bulks=2, proxied=True) as fleet:
        caller = Caller(fleet)
        fleet.set_peer_faults("bulk-0", mode="freeze")
        answers: list[Any] = []
        submission = threading.Thread(
            target=lambda: answers.append(
                caller.submit(fleet["entry-0"], item_lines(["plan"]), key="k")
            )
        )
        submission.start()
        bulk_address = fleet["bulk-0"].peer_address
        wait_for(
            lambda: bulk_address in silent_peers(fleet["entry-0"]),
            "the loss of the link",
        )
        fleet.set_peer_faults("bulk-0", mode="pass")
        submission.join()
        assert answers[0][0] == 202, answers
        wait_completed(caller, fleet["entry-0"], answers[0][1]["id"])


def test_items_of_streams_ended_early_by_the_engine_run_again() -> None:
    with running_fleet(bulks=2, engine_flags=SLOW_STEPS) as fleet:
        caller = Caller(fleet)
        entry = fleet["entry-0"]
        prompts = [f"plan {n}" for n in range(60)]
        lines = item_lines(prompts, max_tokens=10)
        _, job = caller.submit(entry, lines, key="k")
        running = wait_for(
            lambda: engine_record(fleet)["running"], "streams run"
        )
        for name in running:
            fleet.call("POST", f"{fleet['engine-0'].url}/v1/cancel/{name}")
        state = wait_completed(caller, entry, job["id"])
        results = caller.job_results(entry, job["id"])
        started = _executions_of(fleet, job["id"])
    assert state["failed_count"] == 0
    assert len(started) > len(prompts)
    for prompt, line in zip(prompts, results, strict=True):
        assert is_complete_answer(line, prompt, 10)


def test_job_survives_an_engine_restart() -> None:
    with running_fleet(bulks=2, engine_flags=SLOW_STEPS) as fleet:
        caller = Caller(fleet)
        entry = fleet["entry-0"]
        prompts = [f"plan {n}" for n in range(60)]
        lines = item_lines(prompts, max_tokens=10)
        _, job = caller.submit(entry, lines, key="k")
        wait_for(lambda: engine_record(fleet)["running"], "streams run")
        fleet["engine-0"].kill()
        fleet["engine-0"].start()
        state = wait_completed(caller, entry, job["id"])
        results = caller.job_results(entry, job["id"])
    assert (state["done"], state["failed_count"]) == (60, 0)
    for prompt, line in zip(prompts, results, strict=True):
        assert is_complete_answer(line, prompt, 10)


def test_draining_sidecar_returns_its_items() -> None:
    with tempfile.TemporaryDirectory() as folder:
        document = Fleet(pathlib.Path(folder)).default_document()
    # With a fixed limit no stream is preempted, so cancellations at the engine
    # come from the sidecar that drains.
    document["policies"] = {"admission": "fixed", "fixed_concurrency": 8}
    with running_fleet(
        bulks=2, engines=2, engine_flags=STEADY_STEPS, document=document
    ) as fleet:
        caller = Caller(fleet)
        entry = fleet["entry-0"]
        prompts = [f"plan {n}" for n in range(60)]
        lines = item_lines(prompts, max_tokens=200)
        _, job = caller.submit(entry, lines, key="k")
        for engine in ("engine-0", "engine-1"):
            wait_for(
                lambda name=engine: engine_record(fleet, name)["running"],
                f"streams run at {engine}",
            )
        assert "cancels" not in engine_record(fleet)["counts"]
        assert fleet["engine-0-sidecar"].terminate() == 0
        record = engine_record(fleet)
        assert not record["running"]
        # Running streams were cancelled.
        assert record["counts"]["cancels"] > 0
        state = wait_completed(caller, entry, job["id"])
        results = caller.job_results(entry, job["id"])
        logs = [fleet[name].log.read_text() for name in ("entry-0", "entry-1")]
    assert (state["done"], state["failed_count"]) == (60, 0)
    assert not any("range_lost" in log for log in logs)
    for prompt, line in zip(prompts, results, strict=True):
        assert is_complete_answer(line, prompt, 200)


def test_results_with_missing_chunks_are_an_error() -> None:
    with running_fleet(bulks=2) as fleet:
        caller, job_id, prompts = _finished_job(fleet)
        for bulk in ("bulk-0", "bulk-1"):
            fleet[bulk].kill()
        url = f"{fleet['entry-0'].url}/v1/batches/{job_id}/results"
        status, body = fleet.call("GET", url, None, TEAM)
        assert status == 503
        assert json.loads(body)["code"] == "bulk_unavailable"
        fleet["bulk-1"].start()
        wait_for(
            lambda: fleet.call("GET", url, None, TEAM)[0] == 200,
            "the results again",
        )
        results = caller.job_results(fleet["entry-0"], job_id)
    for prompt, line in zip(prompts, results, strict=True):
        assert is_complete_answer(line, prompt)

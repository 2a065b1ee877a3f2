"""Tests of cancelled requests and of requests whose deadline has passed."""

from __future__ import annotations

import json
import threading
from typing import Any

from standins.launcher import Fleet, Process
from tests.fleets import OPERATOR, TEAM, Caller, running_fleet, wait_for

SLOW_ENGINE = ("--step_s=0.05",)
TOKENS = 4000


def _cancel_request(fleet: Fleet, entry: Process, key: str) -> tuple[int, Any]:
    status, body = fleet.call(
        "POST", f"{entry.url}/v1/requests/{key}/cancel", None, TEAM
    )
    return status, json.loads(body)


def _record(fleet: Fleet) -> Any:
    _, body = fleet.call("GET", f"{fleet['engine-0'].url}/record")
    return json.loads(body)


def test_cancel_through_another_entry_stops_the_stream_and_is_stored() -> None:
    with running_fleet(entries=3, engine_flags=SLOW_ENGINE) as fleet:
        caller = Caller(fleet)
        stream = caller.stream(
            fleet["entry-0"], "lorry 1", key="c1", max_tokens=TOKENS
        )
        next(stream)
        cancelled = _cancel_request(fleet, fleet["entry-1"], "c1")
        last = list(stream)[-1]
        wait_for(lambda: not _record(fleet)["running"], "an idle engine")
        for name in ("entry-0", "entry-1"):
            fleet[name].kill()
        repeated = caller.complete(
            fleet["entry-2"], "lorry 1", key="c1", max_tokens=TOKENS
        )
        stored = caller.result(fleet["entry-2"], "c1")
        executions = _record(fleet)["executions"]
    expected = {"key": "c1", "state": "cancelled", "durable": True}
    assert cancelled == (200, expected)
    assert last["error"]["code"] == "cancelled"
    assert stored[1]["code"] == "cancelled"
    # The first request was streamed, so its body differs from this one.
    assert repeated[1]["code"] == "key_reused"
    assert len(executions) == 1


def test_cancel_of_a_finished_request_keeps_its_result() -> None:
    with running_fleet() as fleet:
        caller = Caller(fleet)
        answer = caller.complete(fleet["entry-0"], "lorry 2", key="c2")
        cancelled = _cancel_request(fleet, fleet["entry-1"], "c2")
        stored = caller.result(fleet["entry-0"], "c2")
    assert cancelled[1]["state"] == "completed"
    assert stored == answer


def test_expired_request_never_reaches_its_upstream() -> None:
    with running_fleet(
        entries=1, engine_flags=SLOW_ENGINE, document=_one_request_document()
    ) as fleet:
        caller = Caller(fleet)
        wait_for(
            lambda: _is_document_applied(fleet), "the document at the sidecar"
        )
        threading.Thread(
            target=caller.complete,
            args=(fleet["entry-0"], "lorry 3"),
            kwargs={"max_tokens": TOKENS, "key": "long"},
            daemon=True,
        ).start()
        running = wait_for(lambda: _record(fleet)["running"], "a busy engine")
        status, problem = caller.complete(
            fleet["entry-0"], "lorry 4", workload="hasty", key="late"
        )
        _cancel_request(fleet, fleet["entry-0"], "long")
        wait_for(lambda: not _record(fleet)["running"], "an idle engine")
        executions = _record(fleet)["executions"]
    assert status in (429, 503, 504), problem
    assert set(executions) == set(running)


def _is_document_applied(fleet: Fleet) -> bool:
    _, body = fleet.call(
        "GET", f"{fleet['entry-0'].url}/v1/fleet/instances", None, OPERATOR
    )
    instances = json.loads(body)["instances"]
    return all(instance["revision"] for instance in instances)


def _one_request_document() -> dict[str, Any]:
    document = Fleet.default_document()
    document["policies"] = {"admission": "fixed", "fixed_concurrency": 1}
    document["workloads"]["hasty"] = {
        **document["workloads"]["notes"],
        "timeout_s": 1,
    }
    return document

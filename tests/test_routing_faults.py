"""Tests routing around killed and failing upstreams with real processes."""

from __future__ import annotations

import json

from standins.engine import expected_text
from standins.launcher import Fleet, Process
from tests.fleets import Caller, running_fleet

REQUESTS = 60
# Largest balance of the retry budget, and retries added per first attempt.
MAX_RETRY_BALANCE = 10
RETRIES_PER_REQUEST = 0.1


def _document() -> dict[str, object]:
    document = Fleet.default_document()
    document["policies"] = {"routing": "prefix_affinity"}
    return document


def _requests_at(fleet: Fleet, engine: Process) -> int:
    _, body = fleet.call("GET", f"{engine.url}/counts")
    return int(json.loads(body).get("requests", 0))


def test_killed_upstream_costs_no_request() -> None:
    with running_fleet(entries=1, engines=3, document=_document()) as fleet:
        caller = Caller(fleet)
        entry = fleet["entry-0"]
        for number in range(REQUESTS):
            if number == REQUESTS // 3:
                fleet["engine-1-sidecar"].kill()
                fleet["engine-1"].kill()
            status, answer = caller.complete(entry, f"note {number}")
            assert status == 200, answer
            text = answer["choices"][0]["text"]
            assert text == expected_text(f"note {number}", 6)


def test_retries_at_failing_upstreams_stay_within_the_budget() -> None:
    with running_fleet(entries=1, engines=2, document=_document()) as fleet:
        failing = fleet.start_standin("failing", "engine", "--failing")
        fleet.start_sidecar(
            "failing-sidecar", failing.url, "engine", "sorter-lm"
        )
        fleet.wait_ready()
        caller = Caller(fleet)
        statuses = [
            caller.complete(fleet["entry-0"], f"note {number}")[0]
            for number in range(REQUESTS)
        ]
        wasted = _requests_at(fleet, failing)
    assert statuses == [200] * REQUESTS
    assert 1 <= wasted <= MAX_RETRY_BALANCE + RETRIES_PER_REQUEST * REQUESTS

"""Tests that full upstreams refuse requests at once without running them."""

from __future__ import annotations

import concurrent.futures
import json
from typing import Any

from standins.engine import expected_text
from standins.launcher import MODEL, Fleet
from tests.fleets import OPERATOR, TEAM, Caller, running_fleet, wait_for

REQUESTS = 40
TOKENS = 30


def _document() -> Any:
    document = Fleet.default_document()
    document["policies"] = {
        "admission": "fixed",
        "fixed_concurrency": 2,
        "routing": "prefix_affinity",
    }
    document["workloads"]["notes"]["first_token_ms"] = 200
    return document


def _wait_in_force(fleet: Fleet) -> None:
    """Waits until sidecars and entries have applied the document."""
    url = f"{fleet['entry-0'].url}/v1/fleet/instances"

    def in_force() -> bool:
        _, body = fleet.call("GET", url, None, OPERATOR)
        status = json.loads(body)
        return all(
            instance["revision"] == status["revision"]
            for instance in status["instances"]
        )

    wait_for(in_force, "the document is in force everywhere")


def test_overload_is_refused_as_not_run_with_a_time() -> None:
    with running_fleet(entries=1, engines=2, document=_document()) as fleet:
        caller = Caller(fleet)
        entry = fleet["entry-0"]
        _wait_in_force(fleet)
        for number in range(4):
            # Sidecars need completed requests to estimate the service time.
            caller.complete(entry, f"first {number}", max_tokens=TOKENS)
        with concurrent.futures.ThreadPoolExecutor(REQUESTS) as pool:
            answers = list(
                pool.map(
                    lambda n: caller.complete(
                        entry, f"note {n}", max_tokens=TOKENS
                    ),
                    range(REQUESTS),
                )
            )
        executions = 0
        for name in ("engine-0", "engine-1"):
            _, body = fleet.call("GET", f"{fleet[name].url}/record")
            executions += len(json.loads(body)["executions"])
    served = 0
    for number, (status, answer) in enumerate(answers):
        if status == 200:
            served += 1
            text = answer["choices"][0]["text"]
            assert text == expected_text(f"note {number}", TOKENS)
            continue
        assert status == 429, answer
        assert answer["code"] == "overloaded"
        assert answer["not_run"] is True
        assert answer["retry_after_s"] > 0
    assert 0 < served < REQUESTS
    assert executions == served + 4


def test_streamed_refusal_has_its_own_status() -> None:
    document = _document()
    document["policies"]["fixed_concurrency"] = 1
    with running_fleet(entries=1, engines=1, document=document) as fleet:
        entry = fleet["entry-0"]
        _wait_in_force(fleet)

        def stream(number: int) -> tuple[int, bytes]:
            body = {
                "model": MODEL,
                "prompt": f"note {number}",
                "max_tokens": TOKENS,
                "stream": True,
            }
            return fleet.call(
                "POST",
                f"{entry.url}/v1/completions",
                body,
                TEAM,
            )

        assert stream(0)[0] == 200
        with concurrent.futures.ThreadPoolExecutor(20) as pool:
            answers = list(pool.map(stream, range(1, 21)))
    assert {status for status, _ in answers} == {200, 429}

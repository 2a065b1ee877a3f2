"""Non-idempotent requests run at most once when processes or links fail."""

from __future__ import annotations

import json
import signal
import threading
from collections.abc import Callable
from typing import Any

from standins.launcher import Fleet
from tests.fleets import Caller, running_fleet, silent_peers, wait_for

SLOW_SERVICE = ("--delay_s=2.0",)
# Time from sending a quote to its deadline.
DEADLINE_S = 60.0


def _executions(fleet: Fleet) -> dict[str, int]:
    _, body = fleet.call("GET", f"{fleet['service-0'].url}/executions")
    return dict(json.loads(body)["by_body"])


def _start_thread(
    function: Callable[..., Any], *args: Any, **kwargs: Any
) -> list[Any]:
    """Calls a function in a thread; its result or error is put in the list."""
    results: list[Any] = []

    def run() -> None:
        try:
            results.append(function(*args, **kwargs))
        except Exception as error:
            results.append(error)

    threading.Thread(target=run, daemon=True).start()
    return results


def _wait_executed(fleet: Fleet, body: Any) -> None:
    wait_for(lambda: json.dumps(body) in _executions(fleet), "the execution")


def test_quote_of_a_killed_entry_is_settled_by_its_owner() -> None:
    with running_fleet(
        entries=3, engines=0, services=1, service_flags=SLOW_SERVICE
    ) as fleet:
        caller = Caller(fleet)
        _start_thread(caller.quote, fleet["entry-0"], {"load": 1}, key="q1")
        _wait_executed(fleet, {"load": 1})
        fleet["entry-0"].kill()
        status, answer = caller.quote(fleet["entry-1"], {"load": 1}, key="q1")
        stored = caller.result(fleet["entry-2"], "q1")
        executions = _executions(fleet)
    assert status == 200, answer
    assert stored == (200, answer)
    assert executions == {json.dumps({"load": 1}): 1}


def test_quote_of_a_killed_sidecar_stays_unknown() -> None:
    with running_fleet(
        engines=0, services=1, service_flags=SLOW_SERVICE
    ) as fleet:
        caller = Caller(fleet)
        first = _start_thread(
            caller.quote, fleet["entry-0"], {"load": 2}, key="q2"
        )
        _wait_executed(fleet, {"load": 2})
        fleet["service-0-sidecar"].kill()
        wait_for(lambda: first, "the answer")
        fleet.restart("service-0-sidecar")
        repeated = [
            caller.quote(fleet[f"entry-{n % 2}"], {"load": 2}, key="q2")
            for n in range(4)
        ]
        executions = _executions(fleet)
    status, problem = first[0]
    assert (status, problem["code"]) == (502, "outcome_unknown"), problem
    assert problem["not_run"] is False
    assert all(answer == first[0] for answer in repeated), repeated
    assert executions == {json.dumps({"load": 2}): 1}


def test_quote_is_not_repeated_when_entry_and_sidecar_are_lost() -> None:
    with running_fleet(
        entries=3, engines=0, services=1, service_flags=SLOW_SERVICE
    ) as fleet:
        caller = Caller(fleet)
        _start_thread(caller.quote, fleet["entry-0"], {"load": 3}, key="q3")
        _wait_executed(fleet, {"load": 3})
        fleet["entry-0"].kill()
        fleet["service-0-sidecar"].kill()
        fleet.restart("service-0-sidecar")
        status, problem = caller.quote(fleet["entry-1"], {"load": 3}, key="q3")
        repeated = caller.quote(fleet["entry-2"], {"load": 3}, key="q3")
        executions = _executions(fleet)
    assert (status, problem["code"]) == (502, "outcome_unknown"), problem
    assert repeated == (status, problem)
    assert executions == {json.dumps({"load": 3}): 1}


def test_dispatch_of_a_frozen_entry_does_not_run_after_its_release() -> None:
    with running_fleet(entries=3, engines=0, services=1, proxied=True) as fleet:
        caller = Caller(fleet)
        # Opens the connection on which the dispatch will be delayed.
        caller.quote(fleet["entry-0"], {"load": 0}, key="q0")
        fleet.set_peer_faults("service-0-sidecar", mode="freeze", new_pass=True)
        first = _start_thread(
            caller.quote, fleet["entry-0"], {"load": 4}, key="q4"
        )
        wait_for(
            lambda: (
                caller.result(fleet["entry-1"], "q4")[1]["detail"]
                == "Request 'q4' is still running."
            ),
            "the claim",
        )
        fleet["entry-0"].signal(signal.SIGSTOP)
        status, answer = caller.quote(fleet["entry-1"], {"load": 4}, key="q4")
        fleet["entry-0"].signal(signal.SIGCONT)
        wait_for(lambda: first, "the first entry's answer")
        executions = _executions(fleet)
    assert status == 200, answer
    assert executions[json.dumps({"load": 4})] == 1
    if first[0][0] == 200:
        assert first[0][1] == answer
    else:
        assert first[0][1]["not_run"] is True


def test_quote_is_dispatched_again_if_its_link_was_lost_unopened() -> None:
    with running_fleet(engines=0, services=1, proxied=True) as fleet:
        caller = Caller(fleet)
        fleet.set_peer_faults("service-0-sidecar", mode="freeze")
        first = _start_thread(
            caller.quote, fleet["entry-0"], {"load": 7}, key="q7"
        )
        sidecar_address = fleet["service-0-sidecar"].peer_address
        wait_for(
            lambda: sidecar_address in silent_peers(fleet["entry-0"]),
            "the loss of the link",
        )
        fleet.set_peer_faults("service-0-sidecar", mode="pass")
        wait_for(lambda: first, "the answer")
        executions = _executions(fleet)
    assert first[0][0] == 200, first
    assert executions == {json.dumps({"load": 7}): 1}


def test_lost_store_answers_do_not_repeat_a_quote() -> None:
    with running_fleet(engines=0, services=1) as fleet:
        caller = Caller(fleet)
        # A sidecar that has just started rejects quotes for one second.
        caller.quote(fleet["entry-0"], "first", key="q")
        for number in range(12):
            fleet.set_store_faults(lose_answers=2)
            body = {"load": number}
            key = f"q{number}"
            status, answer = caller.quote(fleet["entry-0"], body, key=key)
            repeated = caller.quote(fleet["entry-1"], body, key=key)
            assert status == 200 and repeated == (status, answer), answer
        executions = _executions(fleet)
    assert len(executions) == 13
    assert set(executions.values()) == {1}


def test_quote_past_its_deadline_is_not_run_again() -> None:
    with running_fleet(
        engines=0, services=1, service_flags=("--delay_s=6.0",)
    ) as fleet:
        caller = Caller(fleet)
        # A sidecar that has just started rejects quotes for one second.
        caller.quote(fleet["entry-0"], {"load": 0}, key="q0")
        status, problem = caller.quote(
            fleet["entry-0"], {"load": 5}, key="q5", timeout_s=3.0
        )
        repeated = caller.quote(fleet["entry-1"], {"load": 5}, key="q5")
        executions = _executions(fleet)
    assert (status, problem["code"]) == (502, "outcome_unknown"), problem
    assert repeated == (status, problem)
    assert executions[json.dumps({"load": 5})] == 1


def test_quote_of_a_killed_service_stays_unknown() -> None:
    with running_fleet(
        entries=3, engines=0, services=1, service_flags=SLOW_SERVICE
    ) as fleet:
        caller = Caller(fleet)
        # A sidecar that has just started rejects quotes for one second.
        caller.quote(fleet["entry-0"], {"load": 0}, key="q0")
        first = _start_thread(
            caller.quote, fleet["entry-0"], {"load": 6}, key="q6"
        )
        waiting = _start_thread(
            caller.quote, fleet["entry-2"], {"load": 6}, key="q6"
        )
        _wait_executed(fleet, {"load": 6})
        fleet["service-0"].kill()
        # The outcome is known long before the deadline, with the service down.
        wait_for(lambda: first and waiting, "the answers", DEADLINE_S / 2)
        fleet.restart("service-0")
        repeated = [
            caller.quote(fleet[f"entry-{n}"], {"load": 6}, key="q6")
            for n in range(3)
        ]
        fleet["entry-0"].kill()
        fleet["service-0-sidecar"].kill()
        fleet.restart("service-0-sidecar")
        repeated.append(caller.quote(fleet["entry-1"], {"load": 6}, key="q6"))
        executions = _executions(fleet)
    status, problem = first[0]
    assert (status, problem["code"]) == (502, "outcome_unknown"), problem
    assert problem["not_run"] is False
    assert all(answer == first[0] for answer in [*waiting, *repeated]), repeated
    # The restarted service counts from zero and has not run it again.
    assert executions == {}

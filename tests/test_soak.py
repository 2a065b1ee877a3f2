"""The soak keeps the promises with a few seeds, and sees broken ones."""

from __future__ import annotations

from soak.checks import RECOVERY_S, find_violations
from soak.clients import Observations
from soak.faults import FAULTS_BY_NAME, FaultLog
from soak.run import soak

# Seconds with faults; a seed takes about half a minute.
SECONDS = 8.0
HEALED = 100.0


def test_promises_are_kept_under_faults() -> None:
    errors, summary = soak(1, SECONDS)
    assert errors == [], summary


def test_faults_of_all_kinds_are_registered() -> None:
    assert {
        "kill",
        "kill_all_programs",
        "terminate",
        "pause",
        "reload",
        "cut",
        "silence",
        "silence_one_way",
        "silence_open_connections",
        "delay",
        "refuse_store_calls",
        "forget_history",
        "change_configuration",
    } == set(FAULTS_BY_NAME)


def found(observed: Observations, *runs: tuple[str, float]) -> list[str]:
    rows = [{"run": request_id, "at": at} for request_id, at in runs]
    if not observed.outcomes:
        observed.outcomes.append((HEALED + RECOVERY_S + 1.0, True))
    return find_violations(observed, FaultLog(), rows, HEALED)


def test_checks_accept_what_is_right() -> None:
    observed = Observations(kind_by_request={"a": "pay", "b": "note"})
    assert found(observed, ("a", 1.0), ("b", 1.0), ("b", 2.0)) == []


def test_checks_see_each_broken_promise() -> None:
    twice = Observations(kind_by_request={"a": "pay"})
    assert found(twice, ("a", 1.0), ("a", 2.0)) == ["pay a ran 2 times"]
    refused = Observations(kind_by_request={"a": "slip"}, refused_ids={"a"})
    assert found(refused, ("a", 1.0)) == ["slip a ran and was called not run"]
    assert found(Observations(), ("x", 1.0)) == ["x ran and nobody sent it"]
    calm = HEALED + RECOVERY_S + 1.0
    idle = Observations(outcomes=[(calm, True), (calm, False)])
    assert found(idle) == ["1 of 2 requests were served after the faults"]
    ended = Observations(
        kind_by_request={"i": "plan"},
        cancelled_at_by_job={"j": HEALED},
        item_ids_by_job={"j": ["i"]},
    )
    assert len(found(ended, ("i", HEALED + 20.0))) == 1
    assert found(ended, ("i", HEALED + 1.0)) == []

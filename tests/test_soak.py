"""A soak finds no violated guarantee, and its checks report each violation."""

from __future__ import annotations

from soak.checks import RECOVERY_S, find_violations
from soak.clients import Observations
from soak.faults import FAULTS_BY_NAME, FaultLog
from soak.run import soak

# Seconds with faults; one seed takes about half a minute in all.
SECONDS = 8.0
FAULTS_ENDED_AT = 100.0


def test_guarantees_hold_under_faults() -> None:
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


def check(
    observations: Observations, *executions: tuple[str, float]
) -> list[str]:
    rows = [{"run": request_id, "at": at} for request_id, at in executions]
    if not observations.outcomes:
        observations.outcomes.append((FAULTS_ENDED_AT + RECOVERY_S + 1.0, True))
    return find_violations(observations, FaultLog(), rows, FAULTS_ENDED_AT)


def test_checks_accept_correct_executions() -> None:
    observations = Observations(kind_by_request={"a": "pay", "b": "note"})
    assert check(observations, ("a", 1.0), ("b", 1.0), ("b", 2.0)) == []


def test_checks_report_each_violation() -> None:
    twice = Observations(kind_by_request={"a": "pay"})
    assert check(twice, ("a", 1.0), ("a", 2.0)) == [
        "pay a was executed 2 times"
    ]
    refused = Observations(kind_by_request={"a": "slip"}, refused_ids={"a"})
    assert check(refused, ("a", 1.0)) == [
        "slip a was executed but reported as not executed"
    ]
    assert check(Observations(), ("x", 1.0)) == [
        "x was executed but no client sent it"
    ]
    after_recovery = FAULTS_ENDED_AT + RECOVERY_S + 1.0
    degraded = Observations(
        outcomes=[(after_recovery, True), (after_recovery, False)]
    )
    assert check(degraded) == ["1 of 2 requests were served after the faults"]
    cancelled = Observations(
        kind_by_request={"i": "plan"},
        cancelled_at_by_job={"j": FAULTS_ENDED_AT},
        item_ids_by_job={"j": ["i"]},
    )
    assert len(check(cancelled, ("i", FAULTS_ENDED_AT + 20.0))) == 1
    assert check(cancelled, ("i", FAULTS_ENDED_AT + 1.0)) == []

"""Tests the rate limits of teams at the entries."""

from __future__ import annotations

from unittest import mock

from plumvane import clock
from plumvane.errors import OverloadedError
from plumvane.fleet.document import FleetDocument, Team
from plumvane.limits.teams import TeamLimits
from standins.launcher import TEAM, Fleet
from tests.fleets import Caller, running_fleet


def _document(requests_per_s: float) -> FleetDocument:
    teams = {
        name: Team(token_sha256=(), requests_per_s=requests_per_s)
        for name in ("a", "b")
    }
    return FleetDocument(teams=teams)


def _admitted(limits: TeamLimits, team: str, tries: int) -> int:
    admitted = 0
    for _ in range(tries):
        try:
            limits.admit(team)
            admitted += 1
        except OverloadedError:
            pass
    return admitted


def test_entries_together_grant_the_limit() -> None:
    with mock.patch.object(clock, "monotonic") as now:
        now.return_value = 100.0
        document = _document(30.0)
        entries = [TeamLimits(lambda: document, lambda: 3) for _ in range(3)]
        for limits in entries:
            _admitted(limits, "a", 100)
        granted = 0
        for second in range(1, 11):
            now.return_value = 100.0 + second
            granted += sum(_admitted(limits, "a", 100) for limits in entries)
    assert granted == 300


def test_team_over_its_limit_does_not_affect_other_teams() -> None:
    document = _document(5.0)
    limits = TeamLimits(lambda: document, lambda: 1)
    assert _admitted(limits, "a", 100) == 5
    assert _admitted(limits, "b", 5) == 5


def test_refusal_says_when_to_retry() -> None:
    with mock.patch.object(clock, "monotonic") as now:
        now.return_value = 100.0
        document = _document(0.5)
        limits = TeamLimits(lambda: document, lambda: 1)
        limits.admit("a")
        try:
            limits.admit("a")
            raise AssertionError("not refused")
        except OverloadedError as error:
            assert error.not_run
            assert error.retry_after_s == 2.0
            now.return_value += error.retry_after_s
        limits.admit("a")


def test_team_over_its_limit_is_refused_as_not_run() -> None:
    document = Fleet.default_document()
    document["teams"][TEAM]["requests_per_s"] = 0.01
    with running_fleet(entries=1, document=document) as fleet:
        caller = Caller(fleet)
        first = caller.complete(fleet["entry-0"], "note 1")
        status, problem = caller.complete(fleet["entry-0"], "note 2")
        _, body = fleet.call("GET", f"{fleet['engine-0'].url}/counts")
    assert first[0] == 200
    assert status == 429
    assert problem["code"] == "overloaded"
    assert problem["not_run"] is True
    assert b'"requests":1' in body

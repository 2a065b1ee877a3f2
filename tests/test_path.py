"""Requests end to end, also through the fault proxy."""

from __future__ import annotations

from standins.engine import expected_text
from tests.fleets import Caller, running_fleet


def test_request_passes_through_the_fault_proxy() -> None:
    with running_fleet(proxied=True) as fleet:
        caller = Caller(fleet)
        status, answer = caller.complete(fleet["entry-0"], "note 1", key="k1")
        repeated = caller.complete(fleet["entry-1"], "note 1", key="k1")
    assert status == 200
    assert answer["choices"][0]["text"] == expected_text("note 1", 6)
    assert repeated == (status, answer)


def test_key_with_another_body_is_refused() -> None:
    with running_fleet() as fleet:
        caller = Caller(fleet)
        caller.complete(fleet["entry-0"], "note 1", key="k1")
        status, problem = caller.complete(fleet["entry-1"], "note 2", key="k1")
    assert status == 422
    assert problem["code"] == "key_reused"

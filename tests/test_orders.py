"""Orders to engines: one sidecar at a time, within rate and copies."""

from __future__ import annotations

import json
import signal
from typing import Any

from standins.launcher import MODEL, Fleet
from tests.batches import engine_record
from tests.fleets import OPERATOR, running_fleet, wait_for

LOAD_INTERVAL_S = 3.0


def document_of(fleet: Fleet, version: str, *, checks: bool = False) -> Any:
    document = fleet.default_document()
    document["models"][MODEL] = {"version": version, "checks_orders": checks}
    document["load_interval_s"] = LOAD_INTERVAL_S
    return document


def apply(
    fleet: Fleet, version: str, revision: int, *, checks: bool = False
) -> int:
    document = document_of(fleet, version, checks=checks)
    return fleet.apply_document(fleet["entry-0"], document, revision)


def versions(fleet: Fleet, engine: str) -> list[str]:
    return [
        order["version"] for order in engine_record(fleet, engine)["orders"]
    ]


def revision_at(fleet: Fleet, name: str) -> int:
    """Returns the revision that an instance reports."""
    url = f"{fleet['entry-0'].url}/v1/fleet/instances"
    answer = json.loads(fleet.call("GET", url, None, OPERATOR)[1])
    return max(
        (
            item.get("revision") or 0
            for item in answer["instances"]
            if item["name"] == name
        ),
        default=0,
    )


def add_copy(fleet: Fleet) -> None:
    """Has the store name another engine of the model, which changes nothing.

    Without it the version of the only engine is not changed.
    """
    lease = {
        "fence": 1,
        "holder": "",
        "deadline": 0.0,
        "loaded": "v0",
        "model": MODEL,
        "addresses": [fleet["engine-0-sidecar"].peer_address],
    }
    url = f"{fleet['store'].url}/keys/orders/upstreams/another"
    status, _ = fleet.call("PUT", url, lease)
    assert status == 200, status


def planned_times(fleet: Fleet) -> list[float]:
    """Returns when loads were planned, by the store's record of them."""
    url = f"{fleet['store'].url}/keys/orders/loads"
    changes = json.loads(fleet.call("GET", url)[1])["changes"]
    return [change["time"] for change in changes]


def test_older_sidecar_orders_nothing_after_the_younger() -> None:
    for checks in (False, True):
        flags = ("--checks_fencing",) if checks else ()
        with running_fleet(entries=1, engines=1, engine_flags=flags) as fleet:
            check_two_sidecars(fleet, checks=checks)


def check_two_sidecars(fleet: Fleet, *, checks: bool) -> None:
    """Freezes the engine's sidecar, starts another, and wakes the first."""
    add_copy(fleet)
    revision = apply(fleet, "v1", 1, checks=checks)
    wait_for(lambda: versions(fleet, "engine-0") == ["v1"], "v1 is ordered")
    older = fleet["engine-0-sidecar"]
    older.signal(signal.SIGSTOP)
    url = fleet["engine-0"].url
    fleet.start_sidecar("younger", url, "engine", MODEL)
    fleet.wait_started()
    revision = apply(fleet, "v2", revision, checks=checks)
    wait_for(
        lambda: versions(fleet, "engine-0") == ["v1", "v2"], "v2 is ordered"
    )
    revision = apply(fleet, "v3", revision, checks=checks)
    older.signal(signal.SIGCONT)
    wait_for(
        lambda: revision_at(fleet, older.name) == revision, "the older knows"
    )
    wait_for(lambda: versions(fleet, "engine-0")[-1] == "v3", "v3 is ordered")
    orders = engine_record(fleet)["orders"]
    fences = [order["fence"] for order in orders]
    assert fences == sorted(fences) and len(set(fences)) > 1, orders
    assert versions(fleet, "engine-0") == ["v1", "v2", "v3"], orders


def test_loads_share_the_rate_and_spare_the_last_copy() -> None:
    with running_fleet(entries=2, engines=1) as fleet:
        revision = apply(fleet, "v1", 1)
        wait_for(lambda: versions(fleet, "engine-0") == ["v1"], "v1 is ordered")
        apply(fleet, "v2", revision)
        # The store keeps a plan for half a minute only.
        planned = set(planned_times(fleet))
        log = fleet["engine-0-sidecar"].log
        wait_for(lambda: b"last copy" in log.read_bytes(), "the load waits")
        assert versions(fleet, "engine-0") == ["v1"]
        for number in (1, 2):
            fleet.start_engine(f"engine-{number}")
        fleet.wait_started()
        engines = [f"engine-{number}" for number in range(3)]

        def all_have_v2() -> bool:
            planned.update(planned_times(fleet))
            return all(versions(fleet, e)[-1:] == ["v2"] for e in engines)

        wait_for(all_have_v2, "all have v2")
        planned.update(planned_times(fleet))
        times = [
            [order["time"] for order in engine_record(fleet, engine)["orders"]]
            for engine in engines
        ]
        assert sum(len(of_one) for of_one in times) == 4, times
        # The copy in use changes last.
        assert times[0][-1] == max(max(of_one) for of_one in times), times
        assert len(planned) >= 4, planned
        ordered = sorted(planned)
        gaps = [b - a for a, b in zip(ordered, ordered[1:], strict=False)]
        assert min(gaps) >= LOAD_INTERVAL_S, gaps

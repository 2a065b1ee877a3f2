"""Orders to engines: one sidecar at a time, within load rate and replicas."""

from __future__ import annotations

import json
import signal
from typing import Any

from standins.launcher import MODEL, Fleet
from tests.batches import engine_record
from tests.fleets import OPERATOR, running_fleet, wait_for

LOAD_INTERVAL_S = 3.0


def make_document(fleet: Fleet, version: str, *, checks: bool = False) -> Any:
    document = fleet.default_document()
    document["models"][MODEL] = {"version": version, "checks_orders": checks}
    document["load_interval_s"] = LOAD_INTERVAL_S
    return document


def apply_version(
    fleet: Fleet, version: str, revision: int, *, checks: bool = False
) -> int:
    document = make_document(fleet, version, checks=checks)
    return fleet.apply_document(fleet["entry-0"], document, revision)


def ordered_versions(fleet: Fleet, engine: str) -> list[str]:
    return [
        order["version"] for order in engine_record(fleet, engine)["orders"]
    ]


def reported_revision(fleet: Fleet, name: str) -> int:
    """Returns the document revision that an instance reports, or 0."""
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


def add_replica_record(fleet: Fleet) -> None:
    """Writes the lease record of a second, unchanging engine of the model.

    Without it the only engine is the last replica in use, and its version is
    not changed.
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


def planned_load_times(fleet: Fleet) -> list[float]:
    """Returns the times of the planned loads from the record in the store."""
    url = f"{fleet['store'].url}/keys/orders/loads"
    changes = json.loads(fleet.call("GET", url)[1])["changes"]
    return [change["time"] for change in changes]


def test_older_sidecar_orders_nothing_after_the_younger() -> None:
    for checks in (False, True):
        flags = ("--checks_fencing",) if checks else ()
        with running_fleet(entries=1, engines=1, engine_flags=flags) as fleet:
            check_two_sidecars(fleet, checks=checks)


def check_two_sidecars(fleet: Fleet, *, checks: bool) -> None:
    """Checks that a stopped sidecar sends no stale order once it resumes.

    The first sidecar of the engine is stopped, a second one takes the lease
    over, and then the first one continues.
    """
    add_replica_record(fleet)
    revision = apply_version(fleet, "v1", 1, checks=checks)
    wait_for(
        lambda: ordered_versions(fleet, "engine-0") == ["v1"], "v1 is ordered"
    )
    older = fleet["engine-0-sidecar"]
    older.signal(signal.SIGSTOP)
    url = fleet["engine-0"].url
    fleet.start_sidecar("younger", url, "engine", MODEL)
    fleet.wait_started()
    revision = apply_version(fleet, "v2", revision, checks=checks)
    wait_for(
        lambda: ordered_versions(fleet, "engine-0") == ["v1", "v2"],
        "v2 is ordered",
    )
    revision = apply_version(fleet, "v3", revision, checks=checks)
    older.signal(signal.SIGCONT)
    wait_for(
        lambda: reported_revision(fleet, older.name) == revision,
        "the older sidecar has the revision",
    )
    wait_for(
        lambda: ordered_versions(fleet, "engine-0")[-1] == "v3", "v3 is ordered"
    )
    orders = engine_record(fleet)["orders"]
    fences = [order["fence"] for order in orders]
    assert fences == sorted(fences) and len(set(fences)) > 1, orders
    assert ordered_versions(fleet, "engine-0") == ["v1", "v2", "v3"], orders


def test_loads_share_the_rate_and_spare_the_last_copy() -> None:
    with running_fleet(entries=2, engines=1) as fleet:
        revision = apply_version(fleet, "v1", 1)
        wait_for(
            lambda: ordered_versions(fleet, "engine-0") == ["v1"],
            "v1 is ordered",
        )
        apply_version(fleet, "v2", revision)
        # Planned loads leave the store's record after 30 s, so the times are
        # collected along the way.
        planned = set(planned_load_times(fleet))
        log = fleet["engine-0-sidecar"].log
        wait_for(lambda: b"last copy" in log.read_bytes(), "the load waits")
        assert ordered_versions(fleet, "engine-0") == ["v1"]
        for number in (1, 2):
            fleet.start_engine(f"engine-{number}")
        fleet.wait_started()
        engines = [f"engine-{number}" for number in range(3)]

        def all_have_v2() -> bool:
            planned.update(planned_load_times(fleet))
            return all(
                ordered_versions(fleet, e)[-1:] == ["v2"] for e in engines
            )

        wait_for(all_have_v2, "all have v2")
        planned.update(planned_load_times(fleet))
        times = [
            [order["time"] for order in engine_record(fleet, engine)["orders"]]
            for engine in engines
        ]
        assert sum(len(engine_times) for engine_times in times) == 4, times
        # The engine that is in use loads v2 last.
        assert times[0][-1] == max(
            max(engine_times) for engine_times in times
        ), times
        assert len(planned) >= 4, planned
        ordered = sorted(planned)
        gaps = [b - a for a, b in zip(ordered, ordered[1:], strict=False)]
        assert min(gaps) >= LOAD_INTERVAL_S, gaps

"""Accepted configurations reach all instances and are never reverted."""

from __future__ import annotations

import contextlib
import json
import signal
import threading
from collections.abc import Iterator
from typing import Any

from plumvane import hashing
from standins.launcher import Fleet, Process
from tests.fleets import OPERATOR, Caller, running_fleet, wait_for


def test_concurrent_changes_are_each_applied_once() -> None:
    accepted: list[int] = []
    with running_fleet(entries=2) as fleet:
        document = fleet.default_document()

        def operate(entry: Process, first: int) -> None:
            for retention in range(first, first + 8):
                while True:
                    shown = show(fleet, entry)
                    status, answer = put(
                        fleet,
                        entry,
                        {**document, "retention_s": retention},
                        shown["revision"],
                    )
                    if status == 200:
                        accepted.append(answer["revision"])
                        break
                    assert answer["code"] == "conflict", answer

        threads = [
            threading.Thread(
                target=operate, args=(fleet[f"entry-{n}"], 1000 + 100 * n)
            )
            for n in range(2)
        ]
        with watched_revisions(fleet) as reverts:
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            wait_in_force(fleet, fleet["entry-0"], 17)
        trail = audit(fleet, fleet["entry-1"])
    assert sorted(accepted) == list(range(2, 18))
    accepted_in_trail = [c["revision"] for c in trail if c["refusal"] is None]
    assert accepted_in_trail == list(range(1, 18))
    assert reverts == []


def test_change_survives_the_loss_of_its_entry() -> None:
    with running_fleet(entries=3) as fleet:
        document = {**fleet.default_document(), "retention_s": 7000}
        with watched_revisions(fleet) as reverts:
            status, answer = put(fleet, fleet["entry-0"], document, 1)
            fleet["entry-0"].kill()
            assert (status, answer["revision"]) == (200, 2)
            wait_in_force(fleet, fleet["entry-1"], 2, without=("entry-0",))
            fleet["entry-0"].start()
            wait_in_force(fleet, fleet["entry-1"], 2)
        status, answer = put(fleet, fleet["entry-0"], document, 1)
        assert (status, answer["revision"]) == (200, 2), "resent change"
        document["retention_s"] = 8000
        assert put(fleet, fleet["entry-1"], document, 2)[0] == 200
        document["retention_s"] = 7000
        status, answer = put(fleet, fleet["entry-2"], document, 1)
        assert (status, answer["revision"]) == (200, 2), "resent later"
        trail = audit(fleet, fleet["entry-2"])
    assert [c["revision"] for c in trail] == [1, 2, 3]
    assert reverts == []


def test_document_is_fetched_from_peers_while_the_store_is_down() -> None:
    with running_fleet(entries=3, services=1) as fleet:
        frozen = ("entry-1", "engine-0-sidecar", "service-0-sidecar")
        document = {**fleet.default_document(), "retention_s": 7000}
        with watched_revisions(fleet, skip=frozen) as reverts:
            for name in frozen:
                fleet[name].signal(signal.SIGSTOP)
            assert put(fleet, fleet["entry-0"], document, 1)[0] == 200
            wait_in_force(fleet, fleet["entry-2"], 2, without=frozen)
            fleet.set_store_faults(down=True)
            for name in frozen:
                fleet[name].signal(signal.SIGCONT)
            wait_in_force(fleet, fleet["entry-2"], 2)
        with watched_revisions(fleet) as later_reverts:
            for name in ("entry-1", "engine-0-sidecar"):
                fleet[name].kill()
                fleet[name].start()
            fleet.wait_started()
            wait_in_force(fleet, fleet["entry-2"], 2)
            wait_for(
                lambda: readyz(fleet, fleet["entry-1"])["ready"],
                "readiness of the restarted entry",
            )
            shown = show(fleet, fleet["entry-1"])
        fleet.set_store_faults(down=False)
    assert reverts == later_reverts == []
    assert shown["revision"] == 2
    assert shown["document"]["retention_s"] == 7000


def test_sidecar_fetches_the_document_from_other_entries() -> None:
    with running_fleet(entries=4) as fleet:
        sidecar = "engine-0-sidecar"
        ranked = hashing.rank(sidecar, [f"entry-{n}" for n in range(4)])
        frozen = tuple(ranked[:2])
        other = fleet[ranked[2]]
        for name in frozen:
            fleet[name].signal(signal.SIGSTOP)
        document = {**fleet.default_document(), "retention_s": 7000}
        assert put(fleet, other, document, 1)[0] == 200
        wait_in_force(fleet, other, 2, without=frozen)


def test_refusals_during_an_outage_reach_the_audit_trail() -> None:
    with running_fleet(entries=2) as fleet:
        entry = fleet["entry-0"]
        document = fleet.default_document()
        fleet.set_store_faults(down=True)
        wrong = put(fleet, entry, {**document, "retention_s": "soon"}, 1)
        down = put(fleet, entry, {**document, "retention_s": 7000}, 1)
        fleet.set_store_faults(down=False)
        refused = wait_for(
            lambda: [
                c["refusal"]
                for c in audit(fleet, fleet["entry-1"])
                if c["refusal"]
            ][1:],
            "both refusals in the audit trail",
        )
        trail = audit(fleet, entry)
    assert (wrong[0], wrong[1]["code"]) == (422, "configuration")
    assert (down[0], down[1]["code"]) == (503, "store_unavailable")
    assert refused
    assert [c["refusal"] for c in trail] == [
        None,
        "configuration",
        "store_unavailable",
    ]


def test_change_with_a_lost_response_is_applied_once() -> None:
    with running_fleet(entries=2) as fleet:
        document = {**fleet.default_document(), "retention_s": 7000}
        # The first attempt loses the response to the copy into the audit
        # trail, the second the response to the change itself.
        for _ in range(2):
            fleet.set_store_faults(lose_answers=20)
            _, answer = put(fleet, fleet["entry-0"], document, 1)
            fleet.set_store_faults(lose_answers=0)
            found = show(fleet, fleet["entry-0"])["revision"]
            assert (answer.get("code") == "store_unavailable") == (found == 1)
        status, answer = put(fleet, fleet["entry-1"], document, 1)
        wait_in_force(fleet, fleet["entry-0"], 2)
        trail = audit(fleet, fleet["entry-0"])
    assert (status, answer["revision"]) == (200, 2)
    assert [c["revision"] for c in trail if c["refusal"] is None] == [1, 2]


def test_entry_without_a_document_rejects_requests_as_not_run() -> None:
    with running_fleet(entries=1, engines=0) as fleet:
        entry = fleet["entry-0"]
        entry.kill()
        fleet.set_store_faults(down=True)
        entry.start()
        fleet.wait_started()
        status, problem = Caller(fleet).complete(entry, "note")
        ready = readyz(fleet, entry)["ready"]
        changed, _ = put(fleet, entry, fleet.default_document(), 1, headers={})
        fleet.set_store_faults(down=False)
        wait_for(
            lambda: readyz(fleet, entry)["ready"], "readiness after the outage"
        )
        anonymous, _ = put(
            fleet, entry, fleet.default_document(), 1, headers={}
        )
    assert (status, problem["not_run"]) == (503, True)
    assert not ready
    assert changed == 503
    assert anonymous == 401


def put(
    fleet: Fleet,
    entry: Process,
    document: Any,
    from_revision: int,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    status, answer = fleet.call(
        "PUT",
        f"{entry.url}/v1/fleet/document",
        document,
        {
            **(OPERATOR if headers is None else headers),
            "if-match": str(from_revision),
        },
    )
    return status, json.loads(answer)


def show(fleet: Fleet, entry: Process) -> Any:
    url = f"{entry.url}/v1/fleet/document"
    return json.loads(fleet.call("GET", url, None, OPERATOR)[1])


def audit(fleet: Fleet, entry: Process) -> list[Any]:
    url = f"{entry.url}/v1/fleet/audit"
    status, answer = fleet.call("GET", url, None, OPERATOR)
    return list(json.loads(answer)["changes"]) if status == 200 else []


def readyz(fleet: Fleet, entry: Process) -> Any:
    return json.loads(fleet.call("GET", f"{entry.url}/readyz")[1])


def revisions(fleet: Fleet, entry: Process) -> dict[str, int | None]:
    url = f"{entry.url}/v1/fleet/instances"
    status, answer = fleet.call("GET", url, None, OPERATOR)
    if status != 200:
        return {}
    return {i["name"]: i["revision"] for i in json.loads(answer)["instances"]}


def wait_in_force(
    fleet: Fleet, entry: Process, revision: int, without: tuple[str, ...] = ()
) -> None:
    names = {
        p.name
        for p in fleet.processes_by_name.values()
        if p.role != "standin" and p.name not in without
    }

    def everywhere() -> bool:
        found = revisions(fleet, entry)
        return all(found.get(name) == revision for name in names)

    wait_for(everywhere, f"revision {revision} at {sorted(names)}")


@contextlib.contextmanager
def watched_revisions(
    fleet: Fleet, skip: tuple[str, ...] = ()
) -> Iterator[list[str]]:
    """Yields a list of the reverts of instances that entries report.

    Entries in `skip` are not polled.
    """
    reverts: list[str] = []
    done = threading.Event()
    entries = [
        p
        for p in fleet.processes_by_name.values()
        if p.role == "entry" and p.name not in skip
    ]

    def watch(entry: Process) -> None:
        highest: dict[str, int] = {}
        while not done.wait(0.02):
            try:
                found = revisions(fleet, entry)
            except Exception:
                continue
            for name, revision in found.items():
                # None: the instance has restarted and has no document yet.
                if revision is None:
                    continue
                if revision < highest.get(name, 0):
                    reverts.append(f"{name} at {revision} by {entry.name}")
                highest[name] = max(revision, highest.get(name, 0))

    threads = [threading.Thread(target=watch, args=(e,)) for e in entries]
    for thread in threads:
        thread.start()
    try:
        yield reverts
    finally:
        done.set()
        for thread in threads:
            thread.join()

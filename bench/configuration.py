"""Time until an accepted configuration is in force at every instance.

Changes are applied through one entry after another; the clock starts before
the change is sent and stops when an entry's status shows the new revision at
every instance, with the store up and, for an entry that was frozen during the
change, with the store down. Run with `python -m bench.configuration`; figures
are printed as JSON lines.
"""

from __future__ import annotations

import json
import pathlib
import signal
import statistics
import tempfile
import time
from typing import Any

from absl import app, flags

from standins.launcher import OPERATOR_TOKEN, Fleet, Process

__all__ = ["main"]

_ENTRIES = flags.DEFINE_integer("entries", 3, "Entries of the fleet.")
_ENGINES = flags.DEFINE_integer("engines", 3, "Engines with a sidecar each.")
_BULKS = flags.DEFINE_integer("bulks", 2, "Bulk instances.")
_CHANGES = flags.DEFINE_integer("changes", 20, "Changes with the store up.")
_OUTAGES = flags.DEFINE_integer("outages", 5, "Changes before an outage.")

POLL_S = 0.02
TIMEOUT_S = 60.0
OPERATOR = {"authorization": f"Bearer {OPERATOR_TOKEN}"}


def main(argv: list[str]) -> None:
    """Measures and prints both cases."""
    del argv
    with tempfile.TemporaryDirectory() as folder:
        with Fleet(pathlib.Path(folder)) as fleet:
            entries = _start(fleet)
            document = fleet.default_document()
            revision = 1
            times = []
            for number in range(_CHANGES.value):
                entry = entries[number % len(entries)]
                revision += 1
                times.append(_change(fleet, entry, document, revision))
            _print("store up", times)
            times = []
            for _ in range(_OUTAGES.value):
                revision += 1
                times.append(_wake(fleet, entries, document, revision))
            _print("frozen entry wakes, store down", times)


def _start(fleet: Fleet) -> list[Process]:
    fleet.start_platform()
    entries = [fleet.start_entry(f"entry-{n}") for n in range(_ENTRIES.value)]
    for number in range(_BULKS.value):
        fleet.start_bulk(f"bulk-{number}")
    for number in range(_ENGINES.value):
        fleet.start_engine(f"engine-{number}")
    fleet.apply_document(entries[0], fleet.default_document(), 0)
    fleet.wait_ready(1)
    _wait_in_force(fleet, entries[0], 1, set())
    return entries


def _change(
    fleet: Fleet, entry: Process, document: dict[str, Any], revision: int
) -> float:
    start = time.monotonic()
    _apply(fleet, entry, document, revision)
    _wait_in_force(fleet, entry, revision, set())
    return time.monotonic() - start


def _wake(
    fleet: Fleet,
    entries: list[Process],
    document: dict[str, Any],
    revision: int,
) -> float:
    """Returns the time from the awakening of an entry that has an old one."""
    frozen = entries[-1]
    frozen.signal(signal.SIGSTOP)
    _apply(fleet, entries[0], document, revision)
    _wait_in_force(fleet, entries[0], revision, {frozen.name})
    fleet.set_store_faults(down=True)
    start = time.monotonic()
    frozen.signal(signal.SIGCONT)
    _wait_in_force(fleet, entries[0], revision, set())
    taken_s = time.monotonic() - start
    fleet.set_store_faults(down=False)
    fleet.wait_ready(revision)
    return taken_s


def _apply(
    fleet: Fleet, entry: Process, document: dict[str, Any], revision: int
) -> None:
    status, answer = fleet.call(
        "PUT",
        f"{entry.url}/v1/fleet/document",
        {**document, "retention_s": 3600 + revision},
        {**OPERATOR, "if-match": str(revision - 1)},
    )
    if status != 200:
        raise RuntimeError(f"the change was refused: {answer!r}")


def _wait_in_force(
    fleet: Fleet, entry: Process, revision: int, without: set[str]
) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        url = f"{entry.url}/v1/fleet/instances"
        _, answer = fleet.call("GET", url, None, OPERATOR)
        found = json.loads(answer).get("instances", [])
        if found and all(
            instance["revision"] == revision
            for instance in found
            if instance["name"] not in without
        ):
            return
        time.sleep(POLL_S)
    raise TimeoutError(f"Revision {revision} is not in force: {found}")


def _print(case: str, times: list[float]) -> None:
    figures = {
        "case": case,
        "changes": len(times),
        "median_s": round(statistics.median(times), 3),
        "most_s": round(max(times), 3),
    }
    print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    app.run(main)

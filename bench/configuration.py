"""Time until an accepted configuration is in force at every instance.

With the store up, changes are applied through the entries in turn. The time
runs from before the change is sent until the status at an entry shows the new
revision at every instance. With the store down, the time runs from the moment
an entry that was suspended during the change is resumed. Run with
`python -m bench.configuration`; figures are printed as JSON lines.
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

_ENTRIES = flags.DEFINE_integer("entries", 3, "Number of entries.")
_ENGINES = flags.DEFINE_integer(
    "engines", 3, "Number of engines, each with a sidecar."
)
_BULKS = flags.DEFINE_integer("bulks", 2, "Number of bulk instances.")
_CHANGES = flags.DEFINE_integer("changes", 20, "Changes with the store up.")
_OUTAGES = flags.DEFINE_integer(
    "outages", 5, "Changes followed by a store outage."
)

POLL_S = 0.02
TIMEOUT_S = 60.0
OPERATOR = {"authorization": f"Bearer {OPERATOR_TOKEN}"}


def main(argv: list[str]) -> None:
    """Measures changes with the store up and with the store down."""
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
                times.append(_measure_change(fleet, entry, document, revision))
            _print_figures("store up", times)
            times = []
            for _ in range(_OUTAGES.value):
                revision += 1
                times.append(
                    _measure_resume(fleet, entries, document, revision)
                )
            _print_figures("frozen entry wakes, store down", times)


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


def _measure_change(
    fleet: Fleet, entry: Process, document: dict[str, Any], revision: int
) -> float:
    start = time.monotonic()
    _apply(fleet, entry, document, revision)
    _wait_in_force(fleet, entry, revision, set())
    return time.monotonic() - start


def _measure_resume(
    fleet: Fleet,
    entries: list[Process],
    document: dict[str, Any],
    revision: int,
) -> float:
    """Returns the time in which a resumed entry catches up, in seconds.

    The entry is suspended during the change and resumed with the store down.
    """
    suspended = entries[-1]
    suspended.signal(signal.SIGSTOP)
    _apply(fleet, entries[0], document, revision)
    _wait_in_force(fleet, entries[0], revision, {suspended.name})
    fleet.set_store_faults(down=True)
    start = time.monotonic()
    suspended.signal(signal.SIGCONT)
    _wait_in_force(fleet, entries[0], revision, set())
    elapsed_s = time.monotonic() - start
    fleet.set_store_faults(down=False)
    fleet.wait_ready(revision)
    return elapsed_s


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
        raise RuntimeError(
            f"the change was refused with status {status}: {answer!r}"
        )


def _wait_in_force(
    fleet: Fleet, entry: Process, revision: int, excluded: set[str]
) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        url = f"{entry.url}/v1/fleet/instances"
        _, answer = fleet.call("GET", url, None, OPERATOR)
        instances = json.loads(answer).get("instances", [])
        if instances and all(
            instance["revision"] == revision
            for instance in instances
            if instance["name"] not in excluded
        ):
            return
        time.sleep(POLL_S)
    raise TimeoutError(
        f"Revision {revision} is not in force after {TIMEOUT_S} s: {instances}"
    )


def _print_figures(case: str, times: list[float]) -> None:
    figures = {
        "case": case,
        "changes": len(times),
        "median_s": round(statistics.median(times), 3),
        "most_s": round(max(times), 3),
    }
    print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    app.run(main)

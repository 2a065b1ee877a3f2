"""Cost of the control plane per node, by the number of sidecars and entries.

Starts a fleet for each combination of `--sidecars` and `--entries`, leaves it
idle for `--seconds`, and reads CPU time, resident memory and store calls. Bytes
are counted at the loopback device, so no other program may use it meanwhile.
With several sizes, slopes are fitted by least squares.
"""

from __future__ import annotations

import json
import pathlib
import tempfile
import time
from typing import Any

import numpy
from absl import app, flags

from bench import usage
from standins.launcher import MODEL, Fleet, Process

__all__ = ["main"]

_SIDECARS = flags.DEFINE_list(
    "sidecars", ["8", "32", "128"], "Numbers of sidecars."
)
_ENTRIES = flags.DEFINE_list("entries", ["2"], "Numbers of entries.")
_SECONDS = flags.DEFINE_float(
    "seconds", 20.0, "Idle time that is measured, in seconds."
)
_OUTPUT = flags.DEFINE_string("output", None, "File for the figures as JSON.")

KB = 1000.0
SETTLE_S = 5.0


def _loopback_bytes() -> int:
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        name, _, fields = line.partition(":")
        if name.strip() == "lo":
            return int(fields.split()[0])
    return 0


def _store_counts(fleet: Fleet) -> dict[str, int]:
    _, body = fleet.call("GET", f"{fleet['store'].url}/counts")
    return dict(json.loads(body))


def _start(fleet: Fleet, entries: int, sidecars: int) -> None:
    fleet.start_platform()
    for number in range(entries):
        fleet.start_entry(f"entry-{number}")
    engine = fleet.start_standin("engine", "engine")
    for number in range(sidecars):
        fleet.start_sidecar(f"sidecar-{number}", engine.url, "engine", MODEL)
    document = fleet.default_document()
    revision = fleet.apply_document(fleet["entry-0"], document, 0)
    fleet.wait_ready(revision)


def measure(entries: int, sidecars: int) -> dict[str, Any]:
    """Measures one fleet size.

    CPU use and memory are means over the processes of a role, bytes are per
    node and second, store calls per second over the fleet.
    """
    with tempfile.TemporaryDirectory() as folder:
        with Fleet(pathlib.Path(folder)) as fleet:
            _start(fleet, entries, sidecars)
            time.sleep(SETTLE_S)
            processes_by_role: dict[str, list[Process]] = {
                "entry": [],
                "sidecar": [],
            }
            for process in fleet.processes_by_name.values():
                processes_by_role.get(process.role, []).append(process)
            cpu_s_by_role = {
                r: _cpu_s(group) for r, group in processes_by_role.items()
            }
            counts_before, bytes_before = (
                _store_counts(fleet),
                _loopback_bytes(),
            )
            started = time.monotonic()
            time.sleep(_SECONDS.value)
            elapsed_s = time.monotonic() - started
            figures: dict[str, Any] = {"entries": entries, "sidecars": sidecars}
            for role, group in processes_by_role.items():
                used_s = _cpu_s(group) - cpu_s_by_role[role]
                share = used_s / elapsed_s / len(group)
                figures[f"{role}_cpu_percent"] = share * 100.0
                memory = [usage.resident_mb(p.pid) for p in group]
                figures[f"{role}_mb"] = sum(memory) / len(memory)
            transferred_bytes = _loopback_bytes() - bytes_before
            figures["kb_per_node_s"] = (
                transferred_bytes / elapsed_s / (entries + sidecars) / KB
            )
            for kind, count in _store_counts(fleet).items():
                calls = count - counts_before.get(kind, 0)
                figures[f"store_{kind}s_per_s"] = calls / elapsed_s
            return figures


def _cpu_s(group: list[Process]) -> float:
    return sum(usage.cpu_s(process.pid) for process in group)


def _fit_slopes(rows: list[dict[str, Any]], size_key: str) -> dict[str, Any]:
    """Fits each figure as intercept + slope * size."""
    sizes = [row[size_key] for row in rows]
    if len(set(sizes)) < 2:
        return {}
    fitted = {}
    for key in rows[0].keys() - {"entries", "sidecars"}:
        values = [row.get(key, 0.0) for row in rows]
        slope, intercept = numpy.polyfit(sizes, values, 1)
        fitted[key] = {"intercept": intercept, "slope": slope}
    return fitted


def main(argv: list[str]) -> None:
    """Runs the benchmark."""
    del argv
    rows = []
    for entries in map(int, _ENTRIES.value):
        for sidecars in map(int, _SIDECARS.value):
            rows.append(measure(entries, sidecars))
            print(json.dumps(rows[-1]), flush=True)
    size_key = "sidecars" if len(_SIDECARS.value) > 1 else "entries"
    figures = {
        "rows": rows,
        "slopes_by_" + size_key: _fit_slopes(rows, size_key),
    }
    print(json.dumps(figures, indent=2))
    if _OUTPUT.value:
        text = json.dumps(figures, indent=2) + "\n"
        pathlib.Path(_OUTPUT.value).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    app.run(main)

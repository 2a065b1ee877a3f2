"""Resident memory of a process after importing the modules of each role.

The memory of the libraries is reported separately from what plumvane's own
modules add.
"""

from __future__ import annotations

import json
import subprocess
import sys

__all__ = ["main"]

LIBRARIES = (
    "anyio",
    "zmq",
    "msgspec",
    "httpcore",
    "uvicorn",
    "starlette.applications",
    "pydantic",
    "eliot",
    "absl.flags",
    "xxhash",
    "uvloop",
)
ROLES = ("entry", "sidecar", "bulk")
_PROBE_SCRIPT = """
import importlib, pathlib, sys
for name in sys.argv[1:]:
    importlib.import_module(name)
for line in pathlib.Path("/proc/self/status").read_text().splitlines():
    if line.startswith("VmRSS:"):
        print(int(line.split()[1]) / 1024)
"""


def _resident_mb(*modules: str) -> float:
    """Returns the resident memory of a new process that imports the modules."""
    command = [sys.executable, "-c", _PROBE_SCRIPT, *modules]
    completed = subprocess.run(
        command, capture_output=True, text=True, check=True
    )
    return float(completed.stdout)


def main() -> None:
    """Prints the memory figures as JSON, in MB."""
    interpreter_mb = _resident_mb()
    figures = {"bare_mb": interpreter_mb}
    for library in LIBRARIES:
        figures[f"{library}_adds_mb"] = _resident_mb(library) - interpreter_mb
    libraries_mb = _resident_mb(*LIBRARIES)
    figures["all_libraries_mb"] = libraries_mb
    for role in ROLES:
        module = f"plumvane.{role}.main"
        own_modules_mb = _resident_mb(*LIBRARIES, module) - libraries_mb
        figures[f"{role}_mb"] = _resident_mb(module)
        figures[f"{role}_own_modules_add_mb"] = own_modules_mb
    print(json.dumps({k: round(v, 1) for k, v in figures.items()}, indent=2))


if __name__ == "__main__":
    main()

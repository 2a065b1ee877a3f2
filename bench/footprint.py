"""Resident memory of a process after the imports of each role.

The libraries' footprint stands apart from what plumvane's own modules add.
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
_PROBE = """
import importlib, pathlib, sys
for name in sys.argv[1:]:
    importlib.import_module(name)
for line in pathlib.Path("/proc/self/status").read_text().splitlines():
    if line.startswith("VmRSS:"):
        print(int(line.split()[1]) / 1024)
"""


def _resident_mb(*modules: str) -> float:
    """Returns the memory of a fresh process that imports some modules."""
    command = [sys.executable, "-c", _PROBE, *modules]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return float(done.stdout)


def main() -> None:
    """Prints the figures as JSON, in MB."""
    bare = _resident_mb()
    figures = {"bare_mb": bare}
    for library in LIBRARIES:
        figures[f"{library}_adds_mb"] = _resident_mb(library) - bare
    libraries = _resident_mb(*LIBRARIES)
    figures["all_libraries_mb"] = libraries
    for role in ROLES:
        module = f"plumvane.{role}.main"
        own = _resident_mb(*LIBRARIES, module) - libraries
        figures[f"{role}_mb"] = _resident_mb(module)
        figures[f"{role}_own_modules_add_mb"] = own
    print(json.dumps({k: round(v, 1) for k, v in figures.items()}, indent=2))


if __name__ == "__main__":
    main()

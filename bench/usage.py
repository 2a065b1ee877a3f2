"""CPU time and memory of running processes."""

from __future__ import annotations

import os
import pathlib

__all__ = ["cpu_s", "peak_mb", "resident_mb"]

_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KB_PER_MB = 1024.0


def cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / _CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB."""
    return _status_mb(pid, "VmRSS:")


def peak_mb(pid: int) -> float:
    """Returns the peak resident memory of a process, in MB."""
    return _status_mb(pid, "VmHWM:")


def _status_mb(pid: int, field: str) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    for line in status.splitlines():
        if line.startswith(field):
            return int(line.split()[1]) / _KB_PER_MB
    return 0.0

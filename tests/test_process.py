"""Start of a process: what it imports, and what its metrics keep."""

from __future__ import annotations

import subprocess
import sys

# Libraries that took half of a gateway's start.
LATE_LIBRARIES = ("pydantic", "opentelemetry", "prometheus_client")
IMPORTS = """
import sys
import plumvane.gateway.main, plumvane.worker.main
print(*[name for name in {names!r} if name in sys.modules])
"""
EARLY_RECORDINGS = """
from plumvane import events, metrics
from plumvane.metrics import Metric
metrics.keep_until_configured()
metrics.add(Metric.REFUSALS, code="overloaded", not_run="true")
metrics.record(Metric.FIRST_TOKEN, 0.1, route="stream")
events.log(events.Event.STORE_CUT, error="")
metrics.configure()
metrics.configure()
events.log(events.Event.STORE_CUT, error="")
print(metrics.exposition().decode())
"""


def test_programs_on_the_platform_start_without_the_slow_libraries() -> None:
    found = run(IMPORTS.format(names=LATE_LIBRARIES))
    assert found.split() == []


def test_recordings_before_the_metrics_are_configured_are_counted() -> None:
    found = run(EARLY_RECORDINGS).splitlines()
    assert (
        'plumvane_refusals_total{code="overloaded",not_run="true"} 1.0' in found
    )
    assert 'plumvane_first_token_seconds_count{route="stream"} 1.0' in found
    assert 'plumvane_events_total{event="store_cut"} 2.0' in found


def run(code: str) -> str:
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout

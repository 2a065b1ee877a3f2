"""Tests of the modules imported at start and of early metric recordings."""

from __future__ import annotations

import subprocess
import sys

# Libraries whose import took half of the start time of a gateway.
DEFERRED_LIBRARIES = ("pydantic", "opentelemetry", "prometheus_client")
IMPORTS_SCRIPT = """
import sys
import plumvane.gateway.main, plumvane.worker.main
print(*[name for name in {names!r} if name in sys.modules])
"""
EARLY_RECORDINGS_SCRIPT = """
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


def test_gateway_and_worker_start_without_the_slow_libraries() -> None:
    output = run(IMPORTS_SCRIPT.format(names=DEFERRED_LIBRARIES))
    assert output.split() == []


def test_recordings_before_configure_are_exported() -> None:
    output = run(EARLY_RECORDINGS_SCRIPT).splitlines()
    assert (
        'plumvane_refusals_total{code="overloaded",not_run="true"} 1.0'
        in output
    )
    assert 'plumvane_first_token_seconds_count{route="stream"} 1.0' in output
    assert 'plumvane_events_total{event="store_cut"} 2.0' in output


def run(code: str) -> str:
    completed = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    return completed.stdout

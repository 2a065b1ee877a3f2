"""Latency and CPU time that one entry and one sidecar add to a request.

The baseline is an httpcore client that calls the same engine directly, in the
same run. Run with `python -m bench.path`; flags set the sizes. Figures are
printed and written to `--output` as JSON.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile
from typing import Any

from absl import app, flags

from bench import usage
from standins.launcher import TEAM_TOKEN, Fleet, Process

__all__ = ["main"]

_REQUESTS = flags.DEFINE_integer("requests", 4000, "Requests per phase.")
_SOAK = flags.DEFINE_integer(
    "soak", 50_000, "Requests over which memory growth is measured."
)
_STREAMS = flags.DEFINE_integer("streams", 64, "Concurrent streams.")
_STREAM_TOKENS = flags.DEFINE_integer(
    "stream_tokens", 200, "Tokens per stream."
)
_OUTPUT = flags.DEFINE_string("output", None, "File for the figures as JSON.")

CLIENTS = 3
CONCURRENCY = 16
LOAD_FRACTION = 0.5
SOAK_STEPS = 5
# Duration of an engine step while streams are measured; near the target of
# 39 ms between tokens.
STREAM_STEP_S = 0.03
TARGETS = {
    "added_p50_ms": 3.0,
    "added_p99_ms": 10.0,
    "entry_us_per_token": 15.0,
}


def _run_clients(
    url: str, token: str, requests: int, **client_flags: Any
) -> Any:
    """Runs client processes in parallel and merges their figures."""
    clients = []
    for seed in range(CLIENTS):
        command = [
            sys.executable,
            "-m",
            "bench.path_client",
            f"--url={url}/v1/completions",
            f"--token={token}",
            f"--requests={requests // CLIENTS}",
            f"--seed={seed + 1}",
            *(f"--{key}={value}" for key, value in client_flags.items()),
        ]
        clients.append(subprocess.Popen(command, stdout=subprocess.PIPE))
    outputs = [json.loads(process.communicate()[0]) for process in clients]
    latencies = sorted(x for out in outputs for x in out["latencies_ms"])
    return {
        "p50_ms": latencies[len(latencies) // 2],
        "p99_ms": latencies[int(len(latencies) * 0.99)],
        "requests_per_s": len(latencies) / max(o["elapsed_s"] for o in outputs),
        "failed": sum(out["failed"] for out in outputs),
    }


class _CpuMeter:
    """CPU time that processes use from the creation of the meter on."""

    def __init__(self, processes: list[Process]) -> None:
        self._pids_by_name = {p.name: p.pid for p in processes}
        self._started = self._read()

    def used_us(self, count: int) -> dict[str, float]:
        """Returns the CPU time in us per request or token, by process."""
        return {
            name: (value - self._started[name]) * 1e6 / count
            for name, value in self._read().items()
        }

    def _read(self) -> dict[str, float]:
        return {n: usage.cpu_s(pid) for n, pid in self._pids_by_name.items()}


def _memory_mb(processes: list[Process]) -> dict[str, float]:
    return {p.name: round(usage.resident_mb(p.pid), 1) for p in processes}


def _start(fleet: Fleet, *engine_flags: str) -> list[Process]:
    fleet.start_platform()
    entry = fleet.start_entry("entry-0")
    sidecar = fleet.start_engine("engine-0", *engine_flags)
    document = fleet.default_document()
    document["policies"] = {"admission": "unlimited"}
    document["teams"]["intake"]["requests_per_s"] = 1e6
    fleet.wait_ready(fleet.apply_document(entry, document, 0))
    return [entry, sidecar]


def measure_requests() -> dict[str, Any]:
    """Measures unary requests to an engine that responds immediately."""
    with tempfile.TemporaryDirectory() as folder:
        with Fleet(pathlib.Path(folder)) as fleet:
            processes = _start(
                fleet,
                "--step_s=0",
                "--per_sequence_s=0",
                "--prefill_token_s=0",
            )
            entry, engine = processes[0].url, fleet["engine-0"].url
            idle_mb = _memory_mb(processes)
            count = _REQUESTS.value
            saturated = _run_clients(
                entry, TEAM_TOKEN, count, concurrency=CONCURRENCY
            )
            rate = saturated["requests_per_s"] * LOAD_FRACTION / CLIENTS
            direct = _run_clients(engine, "", count, rate=rate, stream=True)
            meter = _CpuMeter(processes)
            proxied = _run_clients(entry, TEAM_TOKEN, count, rate=rate)
            cpu_us = meter.used_us(count)
            memory = [_memory_mb(processes)]
            for _ in range(SOAK_STEPS):
                soak = _SOAK.value // SOAK_STEPS
                _run_clients(entry, TEAM_TOKEN, soak, concurrency=CONCURRENCY)
                memory.append(_memory_mb(processes))
    return {
        "sustainable": saturated,
        "bare": direct,
        "path": proxied,
        "added_p50_ms": proxied["p50_ms"] - direct["p50_ms"],
        "added_p99_ms": proxied["p99_ms"] - direct["p99_ms"],
        "cpu_us_per_request": cpu_us,
        "idle_mb": idle_mb,
        "memory_mb_by_step": memory,
    }


def measure_tokens() -> dict[str, Any]:
    """Measures the CPU time per token of concurrent streams."""
    with tempfile.TemporaryDirectory() as folder:
        with Fleet(pathlib.Path(folder)) as fleet:
            processes = _start(
                fleet, f"--step_s={STREAM_STEP_S}", "--per_sequence_s=0"
            )
            meter = _CpuMeter(processes)
            figures = _run_clients(
                processes[0].url,
                TEAM_TOKEN,
                _STREAMS.value,
                concurrency=_STREAMS.value,
                max_tokens=_STREAM_TOKENS.value,
                stream=True,
            )
            streams = _STREAMS.value // CLIENTS * CLIENTS
            tokens = streams * _STREAM_TOKENS.value
            return {**figures, "cpu_us_per_token": meter.used_us(tokens)}


def main(argv: list[str]) -> None:
    """Runs the benchmark."""
    del argv
    requests = measure_requests()
    tokens = measure_tokens()
    figures = {
        "requests": requests,
        "tokens": tokens,
        "targets": TARGETS,
        "commit": _commit(),
    }
    text = json.dumps(figures, indent=2)
    print(text)
    if _OUTPUT.value:
        pathlib.Path(_OUTPUT.value).write_text(text + "\n", encoding="utf-8")


def _commit() -> str:
    command = ["git", "describe", "--always", "--dirty"]
    return subprocess.run(
        command, capture_output=True, text=True, check=True
    ).stdout.strip()


if __name__ == "__main__":
    app.run(main)

"""Runs a scenario: `python -m bench.run SCENARIO.ini`.

Each variant of the scenario runs on a new fleet of real processes with the same
arrivals. The results are written to a folder as JSON and as a plot, and printed
to standard output as a table.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

import msgspec
from absl import app, flags

from bench.generator import Plan
from bench.report import print_table, save_plot
from bench.scenario import Scenario, Variant, read_scenario
from standins.launcher import MODEL, TEAM, TEAM_TOKEN, Fleet, Process

__all__ = ["main"]

_OUTPUT_FOLDER = flags.DEFINE_string(
    "out", "bench-results", "Folder for the results."
)
_ONLY = flags.DEFINE_list("only", [], "Names of the variants to run.")
_SEED = flags.DEFINE_integer(
    "seed", 0, "Overrides the seed of the scenario; 0 for none."
)

START_DELAY_S = 1.5
BULKS = 2
# Length of the windows in which requests at restarted engines are counted.
WINDOW_S = 1.0
UNLIMITED_RATE = 1e9


def main(argv: list[str]) -> None:
    """Runs the scenario that the command line names."""
    if len(argv) != 2:
        raise app.UsageError("Expected exactly one scenario file.")
    scenario = read_scenario(pathlib.Path(argv[1]))
    seed = _SEED.value or scenario.seed
    results: dict[str, Any] = {
        "scenario": scenario.name,
        "seed": seed,
        "commit": _commit(),
        "variants": {},
    }
    for variant in scenario.variants:
        if _ONLY.value and variant.name not in _ONLY.value:
            continue
        print(f"running {variant.name} ...", file=sys.stderr, flush=True)
        results["variants"][variant.name] = run_variant(scenario, variant, seed)
    folder = pathlib.Path(_OUTPUT_FOLDER.value)
    folder.mkdir(parents=True, exist_ok=True)
    save_plot(results, folder / f"{scenario.name}.png")
    path = folder / f"{scenario.name}.json"
    path.write_text(json.dumps(results, indent=1), encoding="utf-8")
    print_table(results)


def run_variant(
    scenario: Scenario, variant: Variant, seed: int
) -> dict[str, Any]:
    """Runs one variant on a new fleet; returns its measurements."""
    with (
        tempfile.TemporaryDirectory(prefix="plumvane-bench-") as folder,
        Fleet(pathlib.Path(folder)) as fleet,
    ):
        engines = _start(fleet, scenario, variant)
        entries = [fleet[f"entry-{n}"] for n in range(scenario.entries)]
        if variant.batch:
            _submit(fleet, scenario, entries[0])
        targets = engines if variant.direct_streams else entries
        plan = _plan(scenario, variant, seed, [p.url for p in targets])
        return _measure(fleet, scenario, variant, plan, engines)


def _start(fleet: Fleet, scenario: Scenario, variant: Variant) -> list[Process]:
    fleet.start_platform()
    for number in range(scenario.entries):
        fleet.start_entry(f"entry-{number}")
    for number in range(BULKS):
        fleet.start_bulk(f"bulk-{number}")
    for number in range(scenario.engines):
        slow = number < variant.slow_engines
        factor = scenario.slow_factor if slow else 1.0
        engine_flags = _engine_flags(scenario, factor)
        if number < variant.failing_engines:
            engine_flags.append("--failing")
        fleet.start_engine(f"engine-{number}", *engine_flags)
    document = fleet.default_document()
    document["policies"] = variant.policies
    document["workloads"]["notes"].update(variant.workload)
    document["teams"][TEAM]["requests_per_s"] = UNLIMITED_RATE
    revision = fleet.apply_document(fleet["entry-0"], document, 0)
    fleet.wait_ready(revision)
    return [fleet[f"engine-{n}"] for n in range(scenario.engines)]


def _engine_flags(scenario: Scenario, factor: float) -> list[str]:
    arguments = []
    for name, value in scenario.engine_flags.items():
        scaled = value * factor if name.endswith("_s") else int(value)
        arguments.append(f"--{name}={scaled}")
    return arguments


def _submit(fleet: Fleet, scenario: Scenario, entry: Process) -> None:
    lines = []
    for number in range(scenario.batch_items):
        prompt = [f"b{number}w{i}" for i in range(scenario.batch_prompt_words)]
        body = {
            "model": MODEL,
            "prompt": " ".join(prompt),
            "max_tokens": scenario.batch_max_tokens,
        }
        item = {
            "custom_id": f"item-{number}",
            "method": "POST",
            "url": "/v1/completions",
            "body": body,
        }
        lines.append(json.dumps(item).encode())
    status, answer = fleet.call_raw(
        "POST",
        f"{entry.url}/v1/batches",
        b"\n".join(lines) + b"\n",
        {"authorization": f"Bearer {TEAM_TOKEN}", "idempotency-key": "bench"},
    )
    if status != 202:
        raise RuntimeError(
            f"The job was refused with status {status}: {answer!r}"
        )


def _plan(
    scenario: Scenario, variant: Variant, seed: int, urls: list[str]
) -> Plan:
    online = scenario.online
    max_tokens = online.max_tokens
    if variant.direct_streams:
        max_tokens = scenario.batch_max_tokens
    return Plan(
        urls=urls,
        token=TEAM_TOKEN,
        model=MODEL,
        seed=seed,
        start_at=time.time() + START_DELAY_S,
        from_s=scenario.warmup_s,
        until_s=scenario.warmup_s + scenario.duration_s,
        rate_per_s=online.rate_per_s * variant.rate_factor,
        max_tokens=max_tokens,
        prompt_words=online.prompt_words,
        prefix_words=online.prefix_words,
        prefixes=online.prefixes,
        hot_share=online.hot_share,
        burst_at_s=online.burst_at_s,
        burst_for_s=online.burst_for_s,
        burst_factor=online.burst_factor,
        direct_streams=variant.direct_streams,
    )


def _measure(
    fleet: Fleet,
    scenario: Scenario,
    variant: Variant,
    plan: Plan,
    engines: list[Process],
) -> dict[str, Any]:
    generator = subprocess.Popen(
        [sys.executable, "-m", "bench.generator"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    if generator.stdin is None:
        raise RuntimeError("The load generator has no standard input.")
    generator.stdin.write(msgspec.json.encode(plan))
    generator.stdin.close()
    generator.stdin = None
    if variant.kill_engines:
        _sleep_until(plan.start_at + scenario.kill_at_s)
        for engine in engines[: variant.kill_engines]:
            fleet[f"{engine.name}-sidecar"].kill()
            engine.kill()
        killed = engines[: variant.kill_engines]
        engines = engines[variant.kill_engines :]
    request_rows: list[list[float]] = []
    if variant.kill_engines and scenario.restart_at_s:
        _sleep_until(plan.start_at + scenario.restart_at_s)
        request_rows = _restart(fleet, killed, engines, plan)
    _sleep_until(plan.start_at + plan.from_s)
    before = _engine_counts(fleet, engines)
    _sleep_until(plan.start_at + plan.until_s)
    after = _engine_counts(fleet, engines)
    output, _ = generator.communicate()
    if generator.returncode:
        raise RuntimeError(
            f"The load generator failed: exit {generator.returncode}."
        )
    result: dict[str, Any] = json.loads(output)
    result["engines"] = [
        {key: now.get(key, 0) - earlier.get(key, 0) for key in now}
        for earlier, now in zip(before, after, strict=True)
    ]
    result["duration_s"] = scenario.duration_s
    result["restarted"] = request_rows
    return result


def _restart(
    fleet: Fleet, killed: list[Process], others: list[Process], plan: Plan
) -> list[list[float]]:
    """Restarts killed engines; counts requests until the measured window.

    Returns:
        A row per window of WINDOW_S: seconds since the start of the run, mean
        requests at a restarted engine, mean requests at another engine.
    """
    for engine in killed:
        engine.start()
        fleet[f"{engine.name}-sidecar"].start()
    fleet.wait_started()
    rows = []
    before = [_mean_requests(fleet, group) for group in (killed, others)]
    until = plan.start_at + plan.from_s
    while (now := time.time()) < until:
        _sleep_until(now + WINDOW_S)
        after = [_mean_requests(fleet, group) for group in (killed, others)]
        done = [b - a for a, b in zip(before, after, strict=True)]
        rows.append([time.time() - plan.start_at, *done])
        before = after
    return rows


def _mean_requests(fleet: Fleet, engines: list[Process]) -> float:
    counts = _engine_counts(fleet, engines)
    return sum(c.get("requests", 0) for c in counts) / len(counts)


def _engine_counts(
    fleet: Fleet, engines: list[Process]
) -> list[dict[str, int]]:
    records = []
    for engine in engines:
        _, body = fleet.call("GET", f"{engine.url}/counts")
        records.append(json.loads(body))
    return records


def _sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - time.time()))


def _commit() -> str:
    def git(*arguments: str) -> str:
        done = subprocess.run(
            ["git", *arguments], capture_output=True, text=True, check=True
        )
        return done.stdout.strip()

    changed = git("status", "--porcelain", "--untracked-files=no")
    return git("rev-parse", "--short", "HEAD") + ("+changes" * bool(changed))


if __name__ == "__main__":
    app.run(main)

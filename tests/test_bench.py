"""Tests of the benchmark scenarios, arrivals and modules."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import bench
from bench import generator
from bench.scenario import read_scenario

SCENARIOS = pathlib.Path(__file__).parent.parent / "bench" / "scenarios"


def _plan(seed: int) -> generator.Plan:
    return generator.Plan(
        urls=[],
        token="",
        model="",
        seed=seed,
        start_at=0.0,
        from_s=0.0,
        until_s=100.0,
        rate_per_s=10.0,
        max_tokens=1,
        prompt_words=4,
        prefix_words=4,
        prefixes=3,
        hot_share=0.5,
        burst_at_s=50.0,
        burst_for_s=10.0,
        burst_factor=5.0,
    )


def test_every_scenario_parses() -> None:
    paths = sorted(SCENARIOS.glob("*.ini"))
    assert paths
    for path in paths:
        assert read_scenario(path).variants, path


def test_arrivals_are_determined_by_the_seed() -> None:
    assert generator.arrivals(_plan(1)) == generator.arrivals(_plan(1))
    assert generator.arrivals(_plan(1)) != generator.arrivals(_plan(2))


def test_burst_raises_the_rate_from_its_first_second() -> None:
    times = generator.arrivals(_plan(3))
    first_second = sum(50.0 <= t < 51.0 for t in times)
    burst = sum(50.0 <= t < 60.0 for t in times)
    before = sum(40.0 <= t < 50.0 for t in times)
    assert first_second >= 30
    assert 400 <= burst <= 600
    assert 70 <= before <= 130


def test_every_benchmark_module_imports() -> None:
    folder = pathlib.Path(bench.__file__).parent
    for path in sorted(folder.glob("*.py")):
        child = subprocess.run(
            [sys.executable, "-c", f"import bench.{path.stem}"],
            cwd=folder.parent,
            capture_output=True,
            text=True,
            check=False,
        )
        assert child.returncode == 0, child.stderr

"""Runs the test modules with nose2, several in parallel, and prints the counts.

Tests listed in KNOWN-RED.txt still run; their failures are printed but do not
fail the run. An entry starts with `test: ` and the test's dotted name.
"""

from __future__ import annotations

import concurrent.futures
import json
import pathlib
import subprocess
import sys

__all__ = ["main"]

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "
# Test modules that run in parallel; one of them may start twenty processes.
MAX_PARALLEL_MODULES = 3
# Name prefixes, without `test_`, of the slowest modules, which start first.
SLOWEST_MODULES = (
    "jobs_faults",
    "requests",
    "stopping",
    "config",
    "keys",
    "orders",
)


def known_red() -> set[str]:
    """Returns the names of the tests listed as known to fail."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in KNOWN_RED.read_text(encoding="utf-8").splitlines()
        if line.startswith(ENTRY_PREFIX)
    }


def all_modules() -> list[str]:
    """Returns the names of the test modules, the slowest first."""
    names = sorted(p.stem for p in (ROOT / "tests").glob("test_*.py"))
    prefixes = tuple(f"test_{word}" for word in SLOWEST_MODULES)
    names.sort(key=lambda name: not name.startswith(prefixes))
    return [f"tests.{name}" for name in names]


def run_target(target: str) -> tuple[str, set[str], set[str]]:
    """Runs a test module or test in its own process.

    Args:
        target: Dotted name of the module or test.

    Returns:
        The output, the names of the passed tests and those of the failed
        tests. A process that ends without printing its outcomes counts as one
        failed test.
    """
    child = subprocess.run(
        [sys.executable, "-m", "tests.outcomes", target],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    output, _, last = child.stdout.rstrip().rpartition("\n")
    try:
        outcomes = json.loads(last)
    except ValueError:
        return child.stdout, set(), {target}
    return output, set(outcomes["passed"]), set(outcomes["failed"])


def main(targets: list[str]) -> int:
    """Runs the tests.

    Args:
        targets: Dotted names of modules or tests; all modules if empty.

    Returns:
        Exit status: 0 if tests passed and only known ones failed.
    """
    passed: set[str] = set()
    failed: set[str] = set()
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_MODULES) as pool:
        runs = [
            pool.submit(run_target, target)
            for target in targets or all_modules()
        ]
        for run in concurrent.futures.as_completed(runs):
            output, passed_here, failed_here = run.result()
            print(output, flush=True)
            passed |= passed_here
            failed |= failed_here
    expected = known_red()
    for name in sorted(failed & expected):
        print(f"known red: {name}")
    unexpected = failed - expected
    for name in sorted(unexpected):
        print(f"failed: {name}")
    print(f"{len(passed - failed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Runs the test modules by nose2, a few at a time, and closes with counts.

A test named in KNOWN-RED.txt still runs; its failure is printed and does not
fail the run. Entries start with `test: ` and the test's dotted name.
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
PREFIX = "test: "
# Modules that run at once; one may start twenty processes.
WORKERS = 3
# The modules that take longest start first.
LONGEST = ("jobs_faults", "requests", "stopping", "config", "keys", "orders")


def known_red() -> set[str]:
    """Returns the names of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix(PREFIX).strip()
        for line in KNOWN_RED.read_text(encoding="utf-8").splitlines()
        if line.startswith(PREFIX)
    }


def all_modules() -> list[str]:
    """Returns the names of the test modules, the longest first."""
    names = sorted(p.stem for p in (ROOT / "tests").glob("test_*.py"))
    prefixes = tuple(f"test_{word}" for word in LONGEST)
    names.sort(key=lambda name: not name.startswith(prefixes))
    return [f"tests.{name}" for name in names]


def run_word(word: str) -> tuple[str, set[str], set[str]]:
    """Runs a module or test in a process of its own.

    Args:
        word: Its dotted name.

    Returns:
        What it printed, and the names of tests that passed and that failed.
        A process that does not end as it should counts as one failure.
    """
    child = subprocess.run(
        [sys.executable, "-m", "tests.outcomes", word],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    printed, _, last = child.stdout.rstrip().rpartition("\n")
    try:
        outcomes = json.loads(last)
    except ValueError:
        return child.stdout, set(), {word}
    return printed, set(outcomes["passed"]), set(outcomes["failed"])


def main(words: list[str]) -> int:
    """Runs the tests.

    Args:
        words: Dotted names of modules or tests; all if empty.

    Returns:
        0 if no test failed but those that are known to.
    """
    passed: set[str] = set()
    failed: set[str] = set()
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        runs = [pool.submit(run_word, word) for word in words or all_modules()]
        for run in concurrent.futures.as_completed(runs):
            printed, passed_here, failed_here = run.result()
            print(printed, flush=True)
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

"""Runs one module or test by nose2 and closes with its outcomes as JSON."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any

from nose2.events import Plugin
from nose2.main import PluggableTestProgram

__all__ = ["Outcomes", "failed_names", "main", "passed_names"]

ROOT = pathlib.Path(__file__).parent.parent

failed_names: set[str] = set()
passed_names: set[str] = set()


class Outcomes(Plugin):
    """Sorts the tests by their outcome."""

    configSection = "outcomes"  # noqa: N815
    alwaysOn = True  # noqa: N815

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Takes the outcome of one test in."""
        name = event.test.id().split("\n")[0].split(":")[0]
        if event.outcome in ("failed", "error") or event.exc_info:
            failed_names.add(name)
        else:
            passed_names.add(name)


def main(word: str) -> None:
    """Runs a module or test; the last line printed holds the outcomes.

    Args:
        word: Its dotted name.
    """
    argv = ["nose2", "-v", "-c", str(ROOT / "unittest.cfg"), "-t", str(ROOT)]
    PluggableTestProgram(module=None, argv=[*argv, word], exit=False)
    names = {"passed": sorted(passed_names), "failed": sorted(failed_names)}
    print(json.dumps(names))


if __name__ == "__main__":
    # The plugin's own module, not this one run as a program, is loaded.
    from tests import outcomes

    outcomes.main(sys.argv[1])

"""Runs a test module or test with nose2 and prints its outcomes as JSON."""

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
    """nose2 plug-in that collects the names of passed and failed tests."""

    configSection = "outcomes"  # noqa: N815
    alwaysOn = True  # noqa: N815

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Records the outcome of one test."""
        name = event.test.id().split("\n")[0].split(":")[0]
        if event.outcome in ("failed", "error") or event.exc_info:
            failed_names.add(name)
        else:
            passed_names.add(name)


def main(target: str) -> None:
    """Runs a test module or test; the last line printed holds the outcomes.

    Args:
        target: Dotted name of the module or test.
    """
    argv = ["nose2", "-v", "-c", str(ROOT / "unittest.cfg"), "-t", str(ROOT)]
    PluggableTestProgram(module=None, argv=[*argv, target], exit=False)
    names = {"passed": sorted(passed_names), "failed": sorted(failed_names)}
    print(json.dumps(names))


if __name__ == "__main__":
    # nose2 imports the plug-in as tests.outcomes, whose sets are not those of
    # this module, which runs as __main__.
    from tests import outcomes

    outcomes.main(sys.argv[1])

"""A nose2 plugin that keeps the names of failed tests."""

from __future__ import annotations

from typing import Any

from nose2.events import Plugin

__all__ = ["Outcomes", "failed_names", "passed_names"]

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

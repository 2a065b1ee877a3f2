"""Runs the demo's checks on a fleet of real processes."""

from __future__ import annotations

import pathlib
import tempfile

from demo import run as demo
from standins.launcher import Fleet


def test_all_demo_checks_pass() -> None:
    with tempfile.TemporaryDirectory() as folder:
        with Fleet(pathlib.Path(folder)) as fleet:
            demo.start_fleet(fleet)
            results = [check(fleet) for check in demo.CHECKS]
    assert all(passed for _, _, passed in results), results

"""Helpers for tests of planned stops."""

from __future__ import annotations

import json

from standins.launcher import Fleet, Process
from tests.fleets import OPERATOR, wait_for

__all__ = ["instances_known", "restart"]


def instances_known(fleet: Fleet, entry: Process) -> list[str]:
    """Returns the instances that an entry knows, including draining ones."""
    body = fleet.call("GET", f"{entry.url}/v1/fleet/instances", None, OPERATOR)[
        1
    ]
    return [item["name"] for item in json.loads(body)["instances"]]


def restart(fleet: Fleet, process: Process) -> None:
    """Stops an instance gracefully and starts it again."""
    assert process.terminate() == 0, process.name
    fleet.deregister_instance(process.name)
    other_entries = [
        other
        for other in fleet.processes_by_name.values()
        if other.role == "entry" and other is not process
    ]
    wait_for(
        lambda: all(
            process.name not in instances_known(fleet, other)
            for other in other_entries
        ),
        f"{process.name} is removed",
    )
    process.start()
    fleet.register_instance(process)
    fleet.wait_ready()

"""Entries of another writer among those of the upstreams end no process."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import anyio
import msgspec

from plumvane.errors import StoreUnavailableError
from plumvane.platform import names
from soak.fleet import FleetSize, SoakFleet
from tests.platform_fleets import run_on_fleet
from tests.test_configuration_in_force import wait_served

SIZE = FleetSize(gateways=2, workers=2, engines=2, services=1)
POLL_S = 0.05
# Time for which the processes run with the entries, in seconds.
OBSERVED_S = 2.0
DEPTH = 100_000
DEEP = b"[" * DEPTH + b"]" * DEPTH


def odd_entries(sound: dict[str, Any]) -> dict[str, bytes]:
    """Returns entries, by name, that are not right in one respect.

    Args:
        sound: The entry of an upstream that answers.
    """
    encoded = json.dumps(sound).encode()
    fields = {
        "born": {"born": 10**30},
        "born-limit": {"born": 2**64},
        "sequence": {"sequence": 10**30},
        "slots": {"slots": 10**30},
        "many-slots": {"slots": 10**9},
        "port": {"address": "127.0.0.1:70000"},
        "long-port": {"address": "127.0.0.1:" + "9" * 9999},
    }
    return {
        "deep": DEEP,
        "deep-field": encoded[:-1] + b',"x":' + DEEP + b"}",
        "bytes": b"\xff\x00",
        "infinite": b'{"slots":1e999,' + encoded[1:],
        "an odd\tname": encoded,
        "\u0142": encoded,
        **{
            name: json.dumps(sound | changed).encode()
            for name, changed in fields.items()
        },
    }


async def sound_entry(fleet: SoakFleet) -> dict[str, Any]:
    """Returns the entry of a model engine."""
    while True:
        listed = await fleet.store.list(names.UPSTREAM_PREFIX)
        for record in listed.records:
            entry: dict[str, Any] = json.loads(record.value)
            if entry["service"] == "lm":
                return entry
        await anyio.sleep(POLL_S)


def logged(log: pathlib.Path, event: int) -> list[dict[str, Any]]:
    """Returns the lines of an event in the log of a process."""
    found = []
    for line in log.read_text(errors="replace").splitlines():
        if line.startswith("{"):
            row = msgspec.json.decode(line)
            if row.get("event") == event:
                found.append(row)
    return found


async def write(fleet: SoakFleet, key: str, value: bytes) -> None:
    while True:
        try:
            await fleet.store.put(key, value, expected_revision=None)
            return
        except StoreUnavailableError:
            await anyio.sleep(POLL_S)


# Guards against processes that end, or follow the list no more, because of one
# entry that they cannot read, or whose values they cannot pass on.
def test_odd_entries_end_no_process_and_the_list_is_followed() -> None:
    async def steps(fleet: SoakFleet) -> None:
        await fleet.write_configuration()
        for gateway in fleet.gateways:
            await wait_served(gateway, "/slip/0")
        sound = await sound_entry(fleet)
        odd = odd_entries(sound)
        for name, value in odd.items():
            await write(fleet, f"{names.UPSTREAM_PREFIX}{name}", value)
        await anyio.sleep(OBSERVED_S)
        # A server that is listed after them is found by all.
        entry = json.dumps(sound).encode()
        await write(fleet, f"{names.UPSTREAM_PREFIX}later", entry)
        for program in fleet.programs:
            while not any(
                row["upstream"] == "later" for row in logged(program.log, 7004)
            ):
                await anyio.sleep(POLL_S)
        for gateway in fleet.gateways:
            await wait_served(gateway, "/slip/1")
        for program in fleet.programs:
            assert not program.has_exited(), program.name
            faults = [
                *logged(program.log, 1004),
                *logged(program.log, 6008),
                *logged(program.log, 2012),
            ]
            assert not faults, (program.name, faults[0])
        for program in fleet.programs:
            unreadable = {row["upstream"] for row in logged(program.log, 7006)}
            assert unreadable == odd.keys(), program.name

    run_on_fleet(SIZE, steps)

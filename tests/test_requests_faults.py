"""Keyed requests, sent again to other entries under kills and freezes."""

from __future__ import annotations

import json
import random
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import httpcore

from standins.engine import expected_text
from standins.launcher import MODEL, Fleet
from tests.fleets import TEAM, Caller, running_fleet, wait_for

KEYS = 500
CALLERS = 12
KEYS_PER_FAULT = 40
ANSWER_TIMEOUT_S = 10.0
OUTER_DEADLINE_S = 120.0
ENTRIES = ("entry-0", "entry-1", "entry-2")
SIDECARS = ("engine-0-sidecar", "engine-1-sidecar")


def _prompt(number: int) -> str:
    return f"mattress {number}"


class _Resender:
    """Sends keyed requests to random entries until each is answered."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._seed = seed
        self._lock = threading.Lock()
        self.bodies_by_key: dict[str, set[bytes]] = {}
        self.refusals: list[dict[str, Any]] = []

    def send(self, number: int) -> None:
        """Sends one key one to three times, each to a random entry."""
        source = random.Random(f"{self._seed}-{number}")
        with ThreadPoolExecutor(3) as senders:
            for _ in range(source.choice((1, 2, 3))):
                senders.submit(self._send_until_answered, number, source)

    def answered(self) -> int:
        """Returns how many keys have an answer."""
        return len(self.bodies_by_key)

    def _send_until_answered(self, number: int, source: random.Random) -> None:
        deadline = time.monotonic() + OUTER_DEADLINE_S
        while time.monotonic() < deadline:
            status, body = self._send_once(number, source.choice(ENTRIES))
            if status == 200:
                with self._lock:
                    bodies = self.bodies_by_key.setdefault(f"k{number}", set())
                    bodies.add(body)
                return
            if status:
                self.refusals.append(json.loads(body))

    def _send_once(self, number: int, entry: str) -> tuple[int, bytes]:
        fields = {"model": MODEL, "prompt": _prompt(number), "max_tokens": 6}
        try:
            response = httpcore.request(
                "POST",
                f"{self._fleet[entry].url}/v1/completions",
                headers=[*TEAM.items(), ("idempotency-key", f"k{number}")],
                content=json.dumps(fields).encode(),
                extensions={
                    "timeout": {"connect": 1.0, "read": ANSWER_TIMEOUT_S}
                },
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return 0, b""
        return response.status, response.content


def _has_lease(fleet: Fleet, name: str) -> bool:
    _, body = fleet.call(
        "GET", f"{fleet['store'].url}/list?prefix=owners/instance/{name}"
    )
    return bool(json.loads(body)["records"])


def _freeze_past_lease(fleet: Fleet, name: str) -> None:
    fleet[name].signal(signal.SIGSTOP)
    wait_for(lambda: not _has_lease(fleet, name), "the lease's lapse")
    fleet[name].signal(signal.SIGCONT)


def _strike(fleet: Fleet, source: random.Random) -> str:
    """Kills or freezes one process, and has it back afterwards."""
    name = source.choice(ENTRIES + SIDECARS)
    if name in ENTRIES and source.random() < 0.5:
        _freeze_past_lease(fleet, name)
        return f"froze {name}"
    fleet[name].kill()
    fleet.restart(name)
    return f"killed {name}"


def _replace_all(fleet: Fleet) -> None:
    for name in ENTRIES + SIDECARS:
        fleet[name].kill()
        fleet.restart(name)
    fleet.wait_ready()


def _run_under_faults(seed: int) -> None:
    source = random.Random(seed)
    with running_fleet(entries=3, engines=2) as fleet:
        resender = _Resender(fleet, seed)
        faults = []
        with ThreadPoolExecutor(CALLERS) as callers:
            sent = [callers.submit(resender.send, n) for n in range(KEYS)]
            for goal in range(KEYS_PER_FAULT, KEYS, KEYS_PER_FAULT):
                wait_for(
                    lambda goal=goal: resender.answered() >= goal,
                    f"{goal} answers after {faults}",
                    OUTER_DEADLINE_S,
                )
                faults.append(_strike(fleet, source))
            for future in sent:
                future.result()
        _replace_all(fleet)
        stored = {
            f"k{number}": Caller(fleet).result(
                fleet[source.choice(ENTRIES)], f"k{number}"
            )
            for number in range(KEYS)
        }
        for number in range(KEYS):
            key = f"k{number}"
            bodies = resender.bodies_by_key[key]
            assert len(bodies) == 1, (key, bodies, faults)
            answer = json.loads(bodies.pop())
            assert stored[key] == (200, answer), (key, stored[key], faults)
            text = answer["choices"][0]["text"]
            assert text == expected_text(_prompt(number), 6), key
        _check_not_run(fleet, resender.refusals)


def _check_not_run(fleet: Fleet, refusals: list[dict[str, Any]]) -> None:
    """Checks refused runs against the engines' own records."""
    executed: set[str] = set()
    for name in ("engine-0", "engine-1"):
        _, body = fleet.call("GET", f"{fleet[name].url}/record")
        executed |= set(json.loads(body)["executions"])
    for refusal in refusals:
        if refusal.get("not_run"):
            assert refusal["request_id"] not in executed, refusal


def test_every_key_has_one_result_under_kills_and_freezes() -> None:
    _run_under_faults(seed=11)

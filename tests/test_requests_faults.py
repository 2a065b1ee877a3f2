"""Keyed requests, sent again to other entries under faults of all kinds."""

from __future__ import annotations

import json
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from standins.engine import expected_text
from standins.launcher import MODEL, Fleet
from tests.fleets import Caller, running_fleet
from tests.mixed_faults import (
    ENTRIES,
    MixedFaults,
    executions,
    post,
    restart_all,
)

KEYS = 500
CALLERS = 12
KEYS_PER_FAULT = 80
OUTER_DEADLINE_S = 120.0
ENGINES = ("engine-0", "engine-1")
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
            sent = [
                senders.submit(self._send_until_answered, number, source)
                for _ in range(source.choice((1, 2, 3)))
            ]
            for future in sent:
                future.result()

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
        raise AssertionError(f"a caller of k{number} was never answered")

    def _send_once(self, number: int, entry: str) -> tuple[int, bytes]:
        fields = {"model": MODEL, "prompt": _prompt(number), "max_tokens": 6}
        return post(self._fleet[entry], "/v1/completions", fields, f"k{number}")


def _run_under_faults(seed: int) -> None:
    source = random.Random(seed)
    with running_fleet(entries=3, engines=2, proxied=True) as fleet:
        resender = _Resender(fleet, seed)
        faults = MixedFaults(fleet, SIDECARS, seed)
        with ThreadPoolExecutor(CALLERS) as callers:
            sent = [callers.submit(resender.send, n) for n in range(KEYS)]
            goals = range(KEYS_PER_FAULT, KEYS, KEYS_PER_FAULT)
            faults.inject_at(resender.answered, goals, "answers")
            for future in sent:
                future.result()
        restart_all(fleet, ENTRIES + SIDECARS)
        stored = {
            f"k{number}": Caller(fleet).result(
                fleet[source.choice(ENTRIES)], f"k{number}"
            )
            for number in range(KEYS)
        }
        for number in range(KEYS):
            key = f"k{number}"
            bodies = resender.bodies_by_key[key]
            assert len(bodies) == 1, (key, bodies, faults.injected)
            answer = json.loads(bodies.pop())
            assert stored[key] == (200, answer), (key, faults.injected)
            text = answer["choices"][0]["text"]
            assert text == expected_text(_prompt(number), 6), key
        _check_not_run(fleet, resender.refusals)


def _check_not_run(fleet: Fleet, refusals: list[dict[str, Any]]) -> None:
    """Checks refused runs against the engines' own records."""
    executed = executions(fleet, ENGINES)
    for refusal in refusals:
        if refusal.get("not_run"):
            assert refusal["request_id"] not in executed, refusal


def test_every_key_has_one_result_under_mixed_faults() -> None:
    _run_under_faults(seed=11)

"""Each idempotency key gets exactly one result under mixed faults.

Entries are killed or frozen, sidecars are killed or frozen and connections are
cut, while callers retry each key at random entries until it is answered.
"""

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


class _RetryingCallers:
    """Retries keyed requests at random entries until each is answered."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._seed = seed
        self._lock = threading.Lock()
        self.bodies_by_key: dict[str, set[bytes]] = {}
        self.refusals: list[dict[str, Any]] = []

    def send(self, number: int) -> None:
        """Sends one key from one to three callers at once."""
        rng = random.Random(f"{self._seed}-{number}")
        with ThreadPoolExecutor(3) as pool:
            futures = [
                pool.submit(self._send_until_answered, number, rng)
                for _ in range(rng.choice((1, 2, 3)))
            ]
            for future in futures:
                future.result()

    def answered(self) -> int:
        """Returns the number of keys that have an answer."""
        return len(self.bodies_by_key)

    def _send_until_answered(self, number: int, rng: random.Random) -> None:
        deadline = time.monotonic() + OUTER_DEADLINE_S
        while time.monotonic() < deadline:
            status, body = self._send_once(number, rng.choice(ENTRIES))
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
    rng = random.Random(seed)
    with running_fleet(entries=3, engines=2, proxied=True) as fleet:
        callers = _RetryingCallers(fleet, seed)
        faults = MixedFaults(fleet, SIDECARS, seed)
        with ThreadPoolExecutor(CALLERS) as pool:
            futures = [pool.submit(callers.send, n) for n in range(KEYS)]
            thresholds = range(KEYS_PER_FAULT, KEYS, KEYS_PER_FAULT)
            faults.inject_at(callers.answered, thresholds, "answers")
            for future in futures:
                future.result()
        restart_all(fleet, ENTRIES + SIDECARS)
        stored = {
            f"k{number}": Caller(fleet).result(
                fleet[rng.choice(ENTRIES)], f"k{number}"
            )
            for number in range(KEYS)
        }
        for number in range(KEYS):
            key = f"k{number}"
            bodies = callers.bodies_by_key[key]
            assert len(bodies) == 1, (key, bodies, faults.injected)
            answer = json.loads(bodies.pop())
            assert stored[key] == (200, answer), (key, faults.injected)
            text = answer["choices"][0]["text"]
            assert text == expected_text(_prompt(number), 6), key
        _check_not_run(fleet, callers.refusals)


def _check_not_run(fleet: Fleet, refusals: list[dict[str, Any]]) -> None:
    """Checks that no engine executed a request rejected as not run."""
    executed = executions(fleet, ENGINES)
    for refusal in refusals:
        if refusal.get("not_run"):
            assert refusal["request_id"] not in executed, refusal


def test_every_key_has_one_result_under_mixed_faults() -> None:
    _run_under_faults(seed=11)

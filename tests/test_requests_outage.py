"""Requests during an outage of the store and after it."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from typing import Any

import httpcore

from standins.engine import expected_text
from standins.launcher import MODEL, SERVICE, Fleet
from tests.fleets import TEAM, Caller, running_fleet, wait_for

OUTAGE_S = 30.0
ENTRIES = ("entry-0", "entry-1", "entry-2")
CALLERS = 4
# Capacity of the platform's store.
STORE_WRITES_PER_S = 400
STORE_READS_PER_S = 2000


class _Response:
    """Status, decoded body and relevant headers of a response."""

    def __init__(self, response: httpcore.Response) -> None:
        headers = {k.lower(): v for k, v in response.headers}
        self.status = response.status
        self.body = json.loads(response.content)
        self.durable = headers.get(b"plumvane-durable")
        self.retry_after = headers.get(b"retry-after")


def _post(
    fleet: Fleet, entry: str, path: str, body: Any, key: str
) -> _Response:
    return _Response(
        httpcore.request(
            "POST",
            fleet[entry].url + path,
            headers=[*TEAM.items(), ("idempotency-key", key)],
            content=json.dumps(body).encode(),
            extensions={"timeout": {"connect": 5.0, "read": 60.0}},
        )
    )


def _complete(fleet: Fleet, entry: str, key: str) -> _Response:
    fields = {"model": MODEL, "prompt": f"note {key}", "max_tokens": 4}
    return _post(fleet, entry, "/v1/completions", fields, key)


def _quote(fleet: Fleet, entry: str, key: str) -> _Response:
    return _post(fleet, entry, f"/v1/services/{SERVICE}", key, key)


class _BackgroundCallers:
    """Threads that send keyed requests until they are stopped."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopping = threading.Event()
        self.replies_by_key: dict[str, _Response] = {}
        self.errors: list[Exception] = []
        self._threads = [
            threading.Thread(target=self._send, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops the threads after their current requests."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _send(self, caller: int) -> None:
        number = 0
        while not self._stopping.is_set():
            key = f"c{caller}-{number}"
            entry = ENTRIES[number % len(ENTRIES)]
            try:
                self.replies_by_key[key] = _complete(self._fleet, entry, key)
            except Exception as error:
                self.errors.append(error)
                return
            number += 1


def _counts(fleet: Fleet) -> dict[str, int]:
    _, body = fleet.call("GET", f"{fleet['store'].url}/counts")
    return dict(json.loads(body))


def _peak_rates(fleet: Fleet, until: Callable[[], bool]) -> tuple[float, float]:
    """Returns the peak rates of writes and other calls until a condition."""
    peaks = (0.0, 0.0)
    last_counts, last_time = _counts(fleet), time.monotonic()
    while not until():
        # Length of a measurement window; it does not wait for a condition.
        time.sleep(0.5)
        counts, now_time = _counts(fleet), time.monotonic()
        writes = counts.get("write", 0) - last_counts.get("write", 0)
        other_calls = sum(counts.values()) - sum(last_counts.values()) - writes
        rates = (
            writes / (now_time - last_time),
            other_calls / (now_time - last_time),
        )
        peaks = (max(peaks[0], rates[0]), max(peaks[1], rates[1]))
        last_counts, last_time = counts, now_time
    return peaks


def _is_stored(fleet: Fleet, key: str) -> bool:
    response = httpcore.request(
        "GET",
        f"{fleet['entry-1'].url}/v1/requests/{key}",
        headers=list(TEAM.items()),
        extensions={"timeout": {"connect": 5.0, "read": 60.0}},
    )
    reply = _Response(response)
    return reply.status == 200 and reply.durable == b"true"


def test_requests_are_served_during_an_outage_and_stored_after_it() -> None:
    with running_fleet(entries=3, services=1, bulks=2) as fleet:
        callers = _BackgroundCallers(fleet)
        wait_for(lambda: len(callers.replies_by_key) > 20, "answers")
        fleet.set_store_faults(down=True)
        end = time.monotonic() + OUTAGE_S
        wait_for(
            lambda: any(
                r.durable == b"false" for r in callers.replies_by_key.values()
            ),
            "an answer that is not stored",
        )
        quotes, jobs = [], []
        while time.monotonic() < end:
            number = len(quotes)
            entry = ENTRIES[number % len(ENTRIES)]
            quotes.append(_quote(fleet, entry, f"q{number}"))
            line = {"custom_id": "a", "body": {"model": MODEL, "prompt": "p"}}
            jobs.append(_post(fleet, entry, "/v1/batches", line, f"j{number}"))
        fleet.set_store_faults(down=False)
        pending = set(callers.replies_by_key)

        def all_stored() -> bool:
            for key in list(pending):
                if not _is_stored(fleet, key):
                    return False
                pending.discard(key)
            return True

        writes_per_s, reads_per_s = _peak_rates(fleet, all_stored)
        callers.stop()
        _, body = fleet.call("GET", f"{fleet['service-0'].url}/executions")
        for name in ENTRIES:
            fleet[name].kill()
            fleet.restart(name)
        fleet.wait_ready()
        for key, reply in callers.replies_by_key.items():
            text = expected_text(f"note {key}", 4)
            assert reply.status == 200, (key, reply.body)
            assert reply.body["choices"][0]["text"] == text
            stored = Caller(fleet).result(fleet["entry-2"], key)
            assert stored == (200, reply.body), key
    print(
        f"{len(callers.replies_by_key)} answers, {len(quotes)} refused quotes; "
        f"after the outage at most {writes_per_s:.0f} writes/s "
        f"and {reads_per_s:.0f} other calls/s"
    )
    assert not callers.errors, callers.errors
    assert json.loads(body)["by_body"] == {}
    for reply in (*quotes, *jobs):
        assert reply.status == 503, reply.body
        assert reply.body["not_run"] is True, reply.body
        assert reply.retry_after is not None
    assert writes_per_s <= STORE_WRITES_PER_S
    assert reads_per_s <= STORE_READS_PER_S


def test_result_of_an_outage_survives_loss_of_its_owner() -> None:
    with running_fleet(entries=3) as fleet:
        fleet.set_store_faults(down=True)
        replies = {}
        for number in range(40):
            key = f"n{number}"
            replies[key] = _complete(fleet, "entry-0", key)
        unstored_keys = [k for k, r in replies.items() if r.durable == b"false"]
        assert unstored_keys
        # The entry that served the calls still holds the results that the two
        # killed owners lose.
        fleet["entry-1"].kill()
        fleet["entry-2"].kill()
        fleet.set_store_faults(down=False)
        wait_for(
            lambda: all(
                Caller(fleet).result(fleet["entry-0"], key)
                == (200, replies[key].body)
                for key in unstored_keys
            ),
            "the results of the outage",
        )

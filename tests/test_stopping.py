"""Planned stops under load interrupt, lose and repeat no request or item."""

from __future__ import annotations

import contextlib
import http.client
import json
import random
import signal
import threading
from collections.abc import Iterator
from typing import Any

from standins.engine import expected_text
from standins.launcher import MODEL, Fleet, Process
from tests.batches import (
    engine_record,
    is_complete_answer,
    item_lines,
    wait_completed,
)
from tests.fleets import TEAM, Caller, running_fleet, wait_for
from tests.stopping import restart

SEED = 20
CLIENT_THREADS = 6
TOKENS = 40
ITEMS = 600
CALL_TIMEOUT_S = 60.0
LONG_REQUESTS = 6
LONG_TOKENS = 1500
# A draining upstream receives no new work after this time.
DRAIN_NOTICE_S = 3.0


class LoadGenerator:
    """Clients behind a balancer that retries at another entry on a drain.

    Attributes:
        completed: Number of requests with a complete, correct response.
        failures: Descriptions of the failures of the other requests.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self.completed = 0
        self.failures: list[str] = []

    @contextlib.contextmanager
    def running(self) -> Iterator[LoadGenerator]:
        """Sends requests continuously until the context ends."""
        threads = [
            threading.Thread(target=self._work, args=(number,))
            for number in range(CLIENT_THREADS)
        ]
        for thread in threads:
            thread.start()
        try:
            yield self
        finally:
            self._stopping.set()
            for thread in threads:
                thread.join()

    def _work(self, number: int) -> None:
        rng = random.Random(SEED + number)
        count = 0
        while not self._stopping.is_set():
            count += 1
            failure = self._request(rng, f"note {number}-{count}")
            with self._lock:
                if failure is None:
                    self.completed += 1
                else:
                    self.failures.append(failure)

    def _request(self, rng: random.Random, prompt: str) -> str | None:
        """Sends one request; returns a description of the failure, or None."""
        entries = [
            process
            for process in self._fleet.processes_by_name.values()
            if process.role == "entry"
        ]
        while True:
            entry = rng.choice(entries)
            try:
                status, body = self._post(entry, prompt)
            except ConnectionRefusedError:
                continue
            except (OSError, ValueError, http.client.HTTPException) as error:
                return f"{entry.name} cut {prompt}: {error!r}"
            if status == 503 and body.get("not_run"):
                continue
            if status != 200:
                return f"{entry.name} answered {status} {body}"
            text = body["choices"][0]["text"]
            if text != expected_text(prompt, TOKENS):
                return f"{entry.name} returned a wrong text for {prompt}"
            return None

    def _post(self, entry: Process, prompt: str) -> tuple[int, Any]:
        connection = http.client.HTTPConnection(
            entry.host, entry.http_port, timeout=CALL_TIMEOUT_S
        )
        body = {"model": MODEL, "prompt": prompt, "max_tokens": TOKENS}
        headers = {**TEAM, "idempotency-key": prompt, "connection": "close"}
        with contextlib.closing(connection):
            connection.request(
                "POST", "/v1/completions", json.dumps(body), headers
            )
            response = connection.getresponse()
            return response.status, json.loads(response.read())


def live_instances(fleet: Fleet, entry: Process) -> list[str]:
    """Returns the live instances that an entry knows; empty on failure."""
    with contextlib.suppress(Exception):
        body = fleet.call("GET", f"{entry.url}/readyz")[1]
        return list(json.loads(body)["instances"])
    return []


def test_rolling_restart_interrupts_no_request() -> None:
    with running_fleet(entries=2, engines=2, bulks=2) as fleet:
        caller = Caller(fleet)
        prompts = [f"plan {number}" for number in range(ITEMS)]
        status, job = caller.submit(
            fleet["entry-0"], item_lines(prompts), key="plans"
        )
        assert status == 202, job
        load = LoadGenerator(fleet)
        with load.running():
            wait_for(
                lambda: load.completed >= CLIENT_THREADS,
                "requests are completed",
            )
            for role in ("entry", "sidecar", "bulk"):
                for process in list(fleet.processes_by_name.values()):
                    if process.role == role:
                        restart(fleet, process)
            before = load.completed
            wait_for(
                lambda: load.completed > before + CLIENT_THREADS,
                "requests are completed after the restarts",
            )
        assert not load.failures, load.failures[:5]
        wait_completed(caller, fleet["entry-0"], job["id"])
        results = caller.job_results(fleet["entry-1"], job["id"])
        numbers = sorted(int(r["custom_id"].split("-")[1]) for r in results)
        assert numbers == list(range(ITEMS))
        for line in results:
            number = int(line["custom_id"].split("-")[1])
            assert is_complete_answer(line, prompts[number])


def test_stopping_sidecar_returns_its_items() -> None:
    flags = ("--step_s=0.05",)
    with running_fleet(
        entries=1, engines=1, bulks=2, engine_flags=flags
    ) as fleet:
        caller = Caller(fleet)
        prompts = [f"plan {number}" for number in range(40)]
        _, job = caller.submit(
            fleet["entry-0"], item_lines(prompts, max_tokens=100), key="plans"
        )
        wait_for(lambda: engine_record(fleet)["running"], "items run")
        assert fleet["engine-0-sidecar"].terminate() == 0
        assert engine_record(fleet)["running"] == []
        fleet.start_engine("engine-1")
        fleet.wait_started()
        # Another sidecar gets the items well before their claims expire.
        wait_for(
            lambda: engine_record(fleet, "engine-1")["running"],
            "the items run elsewhere",
            timeout_s=12.0,
        )
        wait_completed(caller, fleet["entry-0"], job["id"])


def test_draining_upstream_receives_no_new_requests() -> None:
    for by_list in (True, False):
        with running_fleet(entries=2, engines=2) as fleet:
            check_draining(fleet, by_list=by_list)


def check_draining(fleet: Fleet, *, by_list: bool) -> None:
    """Drains engine-0 by the instance list, or by a signal to its sidecar."""
    sidecar = fleet["engine-0-sidecar"]
    entries = [fleet["entry-0"], fleet["entry-1"]]
    load = LoadGenerator(fleet)
    with long_requests(fleet) as statuses, load.running():
        wait_for(
            lambda: load.completed > CLIENT_THREADS, "requests are completed"
        )
        if by_list:
            fleet.register_instance(sidecar, "leaving")
        else:
            # The instance list still shows the sidecar as live.
            sidecar.signal(signal.SIGTERM)
        wait_for(
            lambda: all(
                sidecar.name not in live_instances(fleet, entry)
                for entry in entries
            ),
            "the entries know",
            timeout_s=DRAIN_NOTICE_S,
        )
        start = load.completed
        wait_for(
            lambda: load.completed > start + CLIENT_THREADS,
            "earlier requests are completed",
        )
        before = engine_record(fleet)["counts"]["requests"]
        start = load.completed
        wait_for(lambda: load.completed > start + 20, "other upstreams respond")
        record = engine_record(fleet)
        assert record["running"], "no long request is running"
        assert record["counts"]["requests"] == before
    assert not load.failures, load.failures[:5]
    assert statuses == [200] * LONG_REQUESTS


@contextlib.contextmanager
def long_requests(fleet: Fleet) -> Iterator[list[int]]:
    """Sends long requests to both engines; yields their statuses."""
    caller = Caller(fleet)
    statuses: list[int] = []

    def call(number: int) -> None:
        status, _ = caller.complete(
            fleet[f"entry-{number % 2}"],
            f"long {number}",
            max_tokens=LONG_TOKENS,
        )
        statuses.append(status)

    threads = [
        threading.Thread(target=call, args=(number,))
        for number in range(LONG_REQUESTS)
    ]
    for thread in threads:
        thread.start()
    wait_for(
        lambda: engine_record(fleet)["running"],
        "a long request runs at engine-0",
    )
    try:
        yield statuses
    finally:
        for thread in threads:
            thread.join()

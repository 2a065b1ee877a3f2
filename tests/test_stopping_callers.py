"""Planned stops with clients that reuse connections and read streams."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import json
import random
import select
import signal
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

from standins.engine import expected_text
from standins.launcher import MODEL, Fleet, Process
from tests.fleets import TEAM, Caller, running_fleet, wait_for
from tests.stopping import restart

SEED = 21
CLIENTS = 8
CALL_TIMEOUT_S = 60.0
# Streams take some seconds, so that some are open during each stop.
STREAM_TOKENS = 300
CALL_TOKENS = 20
OUTAGE_S = 4.0
PREFIX = b"data: "


class PersistentClients:
    """Clients that each keep one connection open to each entry.

    Every second client reads streams. A client retries at another entry if
    one refuses a request as not run or refuses the connection; anything else
    is a failure.

    Attributes:
        completed: Prompts with a complete, correct response. A prompt is also
            the idempotency key.
        failures: Descriptions of the failures of the other requests.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._entries = [
            process
            for process in fleet.processes_by_name.values()
            if process.role == "entry"
        ]
        self._stopping = threading.Event()
        self.completed: list[str] = []
        self.failures: list[str] = []

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Sends requests continuously until the context ends."""
        threads = [
            threading.Thread(target=self._work, args=(number,))
            for number in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        try:
            self.wait_for_progress()
            yield
            self.wait_for_progress()
        finally:
            self._stopping.set()
            for thread in threads:
                thread.join()

    def wait_for_progress(self) -> None:
        """Waits for one more response per client on average, or a failure."""
        before = len(self.completed)
        wait_for(
            lambda: self.failures or len(self.completed) >= before + CLIENTS,
            "requests are completed",
        )

    def _work(self, number: int) -> None:
        rng = random.Random(SEED + number)
        connections = {
            entry.name: http.client.HTTPConnection(
                entry.host, entry.http_port, timeout=CALL_TIMEOUT_S
            )
            for entry in self._entries
        }
        send = _stream if number % 2 else _call
        for count in itertools.count():
            if self._stopping.is_set():
                break
            prompt = f"note-{number}-{count}"
            failure = self._request(rng, connections, send, prompt)
            if failure is None:
                self.completed.append(prompt)
            else:
                self.failures.append(failure)
        for connection in connections.values():
            connection.close()

    def _request(
        self,
        rng: random.Random,
        connections: dict[str, http.client.HTTPConnection],
        send: Callable[[http.client.HTTPConnection, str], str | None],
        prompt: str,
    ) -> str | None:
        """Sends one request until an entry accepts it.

        Returns:
            A description of the failure, or None.
        """
        deadline = time.monotonic() + CALL_TIMEOUT_S
        while time.monotonic() < deadline:
            name, connection = rng.choice(list(connections.items()))
            _close_if_ended_by_peer(connection)
            try:
                return send(connection, prompt)
            except _RefusedError:
                continue
            except ConnectionRefusedError:
                connection.close()
            except (OSError, ValueError, http.client.HTTPException) as error:
                connection.close()
                return f"{name} cut {prompt}: {error!r}"
        return f"no entry accepted {prompt}"


class _RefusedError(Exception):
    """The entry refused the request as not run."""


def _close_if_ended_by_peer(connection: http.client.HTTPConnection) -> None:
    """Closes an idle connection that the entry closed, as HTTP pools do."""
    sock = connection.sock
    if sock is not None and select.select([sock], [], [], 0)[0]:
        connection.close()


def _post(
    connection: http.client.HTTPConnection, fields: dict[str, Any]
) -> http.client.HTTPResponse:
    """Sends a completion request; returns the response if its status is 200.

    Raises:
        _RefusedError: The request was refused as not run.
        ValueError: The entry responded with another error.
    """
    headers = {**TEAM, "idempotency-key": fields["prompt"]}
    body = json.dumps({"model": MODEL, **fields})
    connection.request("POST", "/v1/completions", body, headers)
    response = connection.getresponse()
    if response.status != 200:
        problem = json.loads(response.read())
        if response.status == 503 and problem.get("not_run"):
            raise _RefusedError
        raise ValueError(problem)
    return response


def _call(connection: http.client.HTTPConnection, prompt: str) -> str | None:
    fields = {"prompt": prompt, "max_tokens": CALL_TOKENS}
    body = json.loads(_post(connection, fields).read())
    if body["choices"][0]["text"] != expected_text(prompt, CALL_TOKENS):
        return f"wrong text for {prompt}"
    return None


def _stream(connection: http.client.HTTPConnection, prompt: str) -> str | None:
    fields = {"prompt": prompt, "max_tokens": STREAM_TOKENS, "stream": True}
    lines = _post(connection, fields).read().split(b"\n")
    events = [line[len(PREFIX) :] for line in lines if line.startswith(PREFIX)]
    if events[-1:] != [b"[DONE]"]:
        return f"the stream of {prompt} ended with {events[-1:]}"
    pieces = [json.loads(event)["choices"][0]["text"] for event in events[:-1]]
    if "".join(pieces) != expected_text(prompt, STREAM_TOKENS):
        return f"wrong text for {prompt}"
    return None


def _processes(fleet: Fleet, role: str) -> list[Process]:
    return [p for p in fleet.processes_by_name.values() if p.role == role]


def _check(fleet: Fleet, clients: PersistentClients) -> None:
    """Checks that no request failed and that all results are stored."""
    assert not clients.failures, clients.failures[:5]
    for prompt in clients.completed:
        status, body = Caller(fleet).result(fleet["entry-1"], prompt)
        assert status == 200, (prompt, body)
        text = expected_text(prompt, body["usage"]["completion_tokens"])
        assert body["choices"][0]["text"] == text, prompt


def test_rolling_restart_interrupts_no_stream_or_connection() -> None:
    with running_fleet(entries=2, engines=2, bulks=2) as fleet:
        clients = PersistentClients(fleet)
        with clients.running():
            for role in ("entry", "sidecar", "bulk"):
                for process in _processes(fleet, role):
                    restart(fleet, process)
        _check(fleet, clients)


def test_stop_during_store_outage_interrupts_no_request() -> None:
    with running_fleet(entries=2, engines=2, bulks=2) as fleet:
        clients = PersistentClients(fleet)
        with clients.running():
            for role in ("entry", "sidecar", "bulk"):
                process = _processes(fleet, role)[0]
                fleet.set_store_faults(down=True)
                process.signal(signal.SIGTERM)
                end = time.monotonic() + OUTAGE_S
                wait_for(
                    lambda end=end: time.monotonic() > end,
                    "the end of the outage",
                )
                clients.wait_for_progress()
                fleet.set_store_faults(down=False)
                restart(fleet, process)
        _check(fleet, clients)

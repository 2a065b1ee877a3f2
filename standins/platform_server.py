"""Stand-in for a server on the users' platform: an engine or a plain service.

It registers in the platform's store under a lease and executes requests in the
order of arrival. It prints a JSON line before each execution, as a record of
what was executed. The events of each run have a tag of that run and the version
of the server's software; a resumed run has its own tag. On SIGTERM it announces
that it is draining, and exits shortly after. It crashes when it begins to
answer a prompt with a part that is named by a flag, and when it runs a request
whose path has the segment `crashing`.

`POST /limit` with `{"max_rate": RATE}` has it name a limit in its answers, in
requests per second, or none for `null`. While it does, it prints a JSON line
for each request that arrives.
"""

from __future__ import annotations

import json
import os
import secrets
import signal
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio
import msgspec
from absl import flags

from plumvane import clock
from plumvane.errors import PlumvaneError
from plumvane.platform.requests import item_prompt
from plumvane.platform.store import PlatformStore
from standins.program import run_app
from standins.server_events import ServerEvent

__all__ = ["CRASHING_SEGMENT", "PlatformServerApp", "main"]

_NAME = flags.DEFINE_string("name", "", "Name of the server.")
_SERVICE = flags.DEFINE_string("service", "", "Service that it belongs to.")
_ADDRESS = flags.DEFINE_string("address", "", "IP:PORT that it registers.")
_STORE = flags.DEFINE_string("store", "", "URL of the platform's store.")
_SLOTS = flags.DEFINE_integer(
    "slots", 4, "Maximum number of concurrent requests."
)
_VERSION = flags.DEFINE_string(
    "software_version", "1", "Version of its software."
)
_STEP_S = flags.DEFINE_float("step_s", 0.02, "Seconds that each event takes.")

_CRASHING_PART = flags.DEFINE_string(
    "crashing_part", "", "Part of a prompt on which it crashes; empty for none."
)

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

# Segment of the path of a request that crashes each server that runs it.
CRASHING_SEGMENT = "/crashing/"
HEARTBEAT_S = 0.5
# The registration expires after three missed heartbeats of the platform, 1.2 s
# each. A server that writes more often may miss some on a busy machine.
REGISTRATION_TTL_S = 3.6
# Seconds for which a draining server still serves requests.
DRAIN_S = 2.5
# Maximum number of waiting requests.
MAX_WAITING = 24


class PlatformServerApp:
    """One incarnation of a server, from start to exit."""

    def __init__(self) -> None:
        """Creates the server from the command-line flags."""
        # Each start is a new incarnation with a new identifier.
        self._server_id = f"{_NAME.value}-{secrets.token_hex(4)}"
        self._store = PlatformStore(_STORE.value)
        self._started_ms = int(clock.wall() * 1000)
        self._sequence = 0
        self._is_draining = False
        self._running = 0
        self._waiting = 0
        self._max_rate: float | None = None
        self._slots = anyio.Semaphore(_SLOTS.value)

    def application(self) -> Callable[[Message, Receive, Send], Any]:
        """Returns the ASGI application."""
        return self

    async def run(self) -> None:
        """Keeps the registration up to date, and drains on SIGTERM."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._drain_at_signal)
            lease_id = ""
            while True:
                try:
                    if not lease_id:
                        lease = await self._store.grant_lease(
                            REGISTRATION_TTL_S
                        )
                        lease_id = lease.lease_id
                    else:
                        await self._store.renew_lease(lease_id)
                    await self._write_registration(lease_id)
                except PlumvaneError:
                    # The lease has expired or the store is unreachable:
                    # register again under a new lease.
                    lease_id = ""
                await anyio.sleep(HEARTBEAT_S)

    async def _write_registration(self, lease_id: str) -> None:
        self._sequence += 1
        registration = {
            "service": _SERVICE.value,
            "address": _ADDRESS.value,
            "zone": "a",
            "version": _VERSION.value,
            "slots": _SLOTS.value,
            "state": "draining" if self._is_draining else "ready",
            "warmup-left-ms": 0,
            "sequence": self._sequence,
            "born": self._started_ms,
        }
        await self._store.put(
            f"servers/{self._server_id}",
            msgspec.json.encode(registration),
            expected_revision=None,
            lease_id=lease_id,
        )

    async def _drain_at_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                self._is_draining = True
                await anyio.sleep(HEARTBEAT_S + DRAIN_S)
                os._exit(0)

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Handles one ASGI request."""
        if scope["type"] != "http":
            return
        headers = {n.decode(): v.decode() for n, v in scope["headers"]}
        writer = _ResponseWriter(
            headers.get("x-request-id", ""),
            self._is_draining,
            self._max_rate,
            send,
        )
        if scope["path"] == "/limit":
            self._max_rate = json.loads((await receive())["body"])["max_rate"]
            await writer.respond(200, "")
            return
        if scope["path"] != "/v1/report" and self._max_rate is not None:
            arrival = {"arrival": self._server_id, "max_rate": self._max_rate}
            print(json.dumps({**arrival, "at": clock.wall()}), flush=True)
        if scope["path"] == "/v1/report":
            report = {
                "queue-depth": self._waiting,
                "active-requests": self._running,
            }
            await writer.respond(200, json.dumps(report))
        elif headers.get("x-expect-instance") != self._server_id:
            await writer.respond(421, "", {"x-not-executed": "1"})
        elif self._waiting >= MAX_WAITING:
            await writer.respond(503, "", {"x-not-executed": "1"})
        else:
            await self._run_until_disconnected(
                scope["path"], headers, receive, writer
            )

    async def _run_until_disconnected(
        self,
        path: str,
        headers: dict[str, str],
        receive: Receive,
        writer: _ResponseWriter,
    ) -> None:
        async def stop_when_disconnected() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(stop_when_disconnected)
            self._waiting += 1
            try:
                await self._slots.acquire()
            finally:
                self._waiting -= 1
            self._running += 1
            try:
                await self._run(path, headers, writer)
            finally:
                self._running -= 1
                self._slots.release()
            group.cancel_scope.cancel()

    async def _run(
        self, path: str, headers: dict[str, str], writer: _ResponseWriter
    ) -> None:
        last_event_id = int(headers.get("last-event-id", 0))
        run = secrets.token_hex(4)
        record = {
            "run": writer.request_id,
            "tag": run,
            "version": _VERSION.value,
            "path": path,
            "after": last_event_id,
            "team": headers.get("x-tenant", ""),
            "has_key": "api-key" in headers,
        }
        crashes = (
            CRASHING_SEGMENT in path
            or _CRASHING_PART.value in item_prompt(headers)[:-1]
        )
        print(
            json.dumps({**record, "at": clock.wall(), "crashes": crashes}),
            flush=True,
        )
        load = f"{self._running},{self._waiting},{_SLOTS.value}"
        extra_headers = {
            "x-server-load": load,
            "x-response-signature": "signed",
        }
        await anyio.sleep(_STEP_S.value)
        if "/failing/" in path:
            await writer.respond(500, "failed", extra_headers)
        elif "/impossible/" in path:
            await writer.respond(422, "impossible", extra_headers)
        elif "x-token-usage" in headers:
            events = int(headers["x-token-usage"].partition(",")[2]) // 10
            await self._stream(
                writer, run, last_event_id, events, extra_headers, crashes
            )
        elif crashes:
            os.kill(os.getpid(), signal.SIGKILL)
        else:
            event = ServerEvent(writer.request_id, 0, run, _VERSION.value)
            await writer.respond(200, event.encode(), extra_headers)

    async def _stream(
        self,
        writer: _ResponseWriter,
        run: str,
        last_event_id: int,
        events: int,
        extra_headers: dict[str, str],
        crashes: bool,
    ) -> None:
        await writer.start_response(
            200, {**extra_headers, "content-type": "text/event-stream"}
        )
        if crashes:
            os.kill(os.getpid(), signal.SIGKILL)
        for number in range(last_event_id + 1, events + 1):
            event = ServerEvent(writer.request_id, number, run, _VERSION.value)
            await writer.send_body(f"id: {number}\ndata: {event.encode()}\n\n")
            await anyio.sleep(_STEP_S.value)
        await writer.send_body("", more=False)


class _ResponseWriter:
    """Sends the response to one request."""

    def __init__(
        self,
        request_id: str,
        is_draining: bool,
        max_rate: float | None,
        send: Send,
    ) -> None:
        self.request_id = request_id
        self._is_draining = is_draining
        self._max_rate = max_rate
        self._send = send

    async def start_response(
        self, status: int, headers: dict[str, str]
    ) -> None:
        """Sends status and headers, with the request's identifier added."""
        all_headers = {"x-request-id": self.request_id, **headers}
        if self._is_draining:
            all_headers["server-leaving"] = "1"
        if self._max_rate is not None:
            all_headers["server-limit"] = str(self._max_rate)
        rows = [(n.encode(), v.encode()) for n, v in all_headers.items()]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": rows}
        )

    async def send_body(self, text: str, *, more: bool = True) -> None:
        """Sends a chunk of the body."""
        await self._send(
            {
                "type": "http.response.body",
                "body": text.encode(),
                "more_body": more,
            }
        )

    async def respond(
        self, status: int, text: str, headers: dict[str, str] | None = None
    ) -> None:
        """Sends a complete response."""
        length = {"content-length": str(len(text))}
        await self.start_response(status, {**length, **(headers or {})})
        await self.send_body(text, more=False)


def main() -> None:
    """Runs the stand-in."""
    run_app(PlatformServerApp)


if __name__ == "__main__":
    main()

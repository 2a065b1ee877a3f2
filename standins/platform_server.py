"""Stand-in of a server on the users' platform: an engine or a plain service.

It lists itself in the platform's store under a lease and runs requests in the
order of arrival. It prints a line for each run before it begins, which tells
what has run. SIGTERM makes it announce that it drains, and end a little later.
"""

from __future__ import annotations

import json
import os
import signal
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio
import msgspec
from absl import flags

from plumvane import clock
from plumvane.errors import PlumvaneError
from plumvane.platform.store import PlatformStore
from standins.program import run_app

__all__ = ["PlatformServerApp", "event_data", "main"]

_NAME = flags.DEFINE_string("name", "", "Identifier of the server.")
_SERVICE = flags.DEFINE_string("service", "", "Service that it belongs to.")
_ADDRESS = flags.DEFINE_string("address", "", "IP:PORT that it lists.")
_STORE = flags.DEFINE_string("store", "", "URL of the platform's store.")
_SLOTS = flags.DEFINE_integer("slots", 4, "Requests that it runs at once.")
_STEP_S = flags.DEFINE_float("step_s", 0.02, "Seconds for each event.")

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

HEARTBEAT_S = 0.5
# The entry goes after three heartbeats of silence.
ENTRY_TTL_S = 1.5
# How long a draining server still serves, in seconds.
DRAIN_S = 2.5
# Requests that may wait.
QUEUE = 24


def event_data(request_id: str, number: int) -> str:
    """Returns the data of an event, the same at every server."""
    return f"{request_id}-{number}"


class PlatformServerApp:
    """One incarnation of a server."""

    def __init__(self) -> None:
        """Creates the server from the program's flags."""
        self._store = PlatformStore(_STORE.value)
        self._started_ms = int(clock.wall() * 1000)
        self._sequence = 0
        self._is_draining = False
        self._running = 0
        self._waiting = 0
        self._slots = anyio.Semaphore(_SLOTS.value)

    def application(self) -> Callable[[Message, Receive, Send], Any]:
        """Returns the ASGI application."""
        return self

    async def run(self) -> None:
        """Keeps the entry in the store, and drains at SIGTERM."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._drain_at_signal)
            lease_id = ""
            while True:
                try:
                    if not lease_id:
                        lease = await self._store.grant_lease(ENTRY_TTL_S)
                        lease_id = lease.lease_id
                    else:
                        await self._store.renew_lease(lease_id)
                    await self._write_entry(lease_id)
                except PlumvaneError:
                    # The lease is gone or the store is away: all is new then.
                    lease_id = ""
                await anyio.sleep(HEARTBEAT_S)

    async def _write_entry(self, lease_id: str) -> None:
        self._sequence += 1
        entry = {
            "service": _SERVICE.value,
            "address": _ADDRESS.value,
            "zone": "a",
            "version": "1",
            "slots": _SLOTS.value,
            "state": "draining" if self._is_draining else "ready",
            "warmup-left-ms": 0,
            "sequence": self._sequence,
            "born": self._started_ms,
        }
        await self._store.put(
            f"servers/{_NAME.value}",
            msgspec.json.encode(entry),
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
        """Serves one request."""
        if scope["type"] != "http":
            return
        headers = {n.decode(): v.decode() for n, v in scope["headers"]}
        exchange = _Exchange(headers.get("x-request-id", ""), send)
        if scope["path"] == "/v1/report":
            report = {
                "queue-depth": self._waiting,
                "active-requests": self._running,
            }
            await exchange.answer(200, json.dumps(report))
        elif headers.get("x-expect-instance") != _NAME.value:
            await exchange.answer(421, "", {"x-not-executed": "1"})
        elif self._waiting >= QUEUE:
            await exchange.answer(503, "", {"x-not-executed": "1"})
        else:
            await self._run_until_disconnected(
                scope["path"], headers, receive, exchange
            )

    async def _run_until_disconnected(
        self,
        path: str,
        headers: dict[str, str],
        receive: Receive,
        exchange: _Exchange,
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
                await self._run(path, headers, exchange)
            finally:
                self._running -= 1
                self._slots.release()
            group.cancel_scope.cancel()

    async def _run(
        self, path: str, headers: dict[str, str], exchange: _Exchange
    ) -> None:
        last = int(headers.get("last-event-id", 0))
        row = {"run": exchange.request_id, "path": path, "after": last}
        print(json.dumps({**row, "at": clock.wall()}), flush=True)
        load = f"{self._running},{self._waiting},{_SLOTS.value}"
        extra = {"x-server-load": load, "x-response-signature": "signed"}
        await anyio.sleep(_STEP_S.value)
        if "/failing/" in path:
            await exchange.answer(500, "failed", extra)
        elif "/impossible/" in path:
            await exchange.answer(422, "impossible", extra)
        elif "x-token-usage" in headers:
            events = int(headers["x-token-usage"].partition(",")[2]) // 10
            await self._stream(exchange, last, events, extra)
        else:
            await exchange.answer(
                200, event_data(exchange.request_id, 0), extra
            )

    async def _stream(
        self, exchange: _Exchange, last: int, events: int, extra: dict[str, str]
    ) -> None:
        await exchange.start(
            200, {**extra, "content-type": "text/event-stream"}
        )
        for number in range(last + 1, events + 1):
            data = event_data(exchange.request_id, number)
            await exchange.part(f"id: {number}\ndata: {data}\n\n")
            await anyio.sleep(_STEP_S.value)
        await exchange.part("", more=False)


class _Exchange:
    """Sends the answer to one request."""

    def __init__(self, request_id: str, send: Send) -> None:
        self.request_id = request_id
        self._send = send

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Sends the head, which names the request."""
        named = {"x-request-id": self.request_id, **headers}
        rows = [(n.encode(), v.encode()) for n, v in named.items()]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": rows}
        )

    async def part(self, text: str, *, more: bool = True) -> None:
        """Sends a part of the body."""
        await self._send(
            {
                "type": "http.response.body",
                "body": text.encode(),
                "more_body": more,
            }
        )

    async def answer(
        self, status: int, text: str, headers: dict[str, str] | None = None
    ) -> None:
        """Sends a whole answer."""
        length = {"content-length": str(len(text))}
        await self.start(status, {**length, **(headers or {})})
        await self.part(text, more=False)


def main() -> None:
    """Runs the program."""
    run_app(PlatformServerApp)


if __name__ == "__main__":
    main()

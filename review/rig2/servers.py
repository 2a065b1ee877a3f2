"""Stand-in for a model server or a plain service of the platform."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import secrets
import time
from collections.abc import Awaitable, Callable

from review.rig2.store import Store
from review.rig2.wire import Request, Writer, serve

__all__ = ["HEARTBEAT_S", "Run", "Server", "event_text", "whole_text"]

HEARTBEAT_S = 1.2
EVENT_S = 0.02
# Time after which a server closes an idle connection, and the most connections
# that it accepts, as on the sheets.
IDLE_S = 5.0
MAX_CONNECTIONS = 180
TOKENS_PER_EVENT = 8


@dataclasses.dataclass
class Run:
    """A request that reached a server.

    Attributes:
        at: Monotonic time of its arrival.
        server: Name of the server.
        request: Identifier of the request.
        path: Its path.
        after: Event after which it was asked to resume; 0 for none.
        status: What became of it.
        ended_at: Monotonic time at which its run ended; 0 while it runs.
    """

    at: float
    server: str
    request: str
    path: str
    after: int
    status: str
    ended_at: float = 0.0


def event_text(request_id: str, number: int) -> str:
    """Returns the data of an event."""
    return f"{request_id}.{number}"


def whole_text(request_id: str, tokens: int) -> str:
    """Returns the whole output of a request."""
    count = max(1, tokens // TOKENS_PER_EVENT)
    return "\n".join(event_text(request_id, n + 1) for n in range(count))


class Server:
    """One incarnation of a server, registered in the store.

    Attributes:
        before_run: Called with each request that the server would run; returns
            whether to go on. It may answer the request itself.
        runs: All requests that reached it, shared by the servers of a case.
    """

    def __init__(
        self,
        store: Store,
        service: str,
        address: str,
        runs: list[Run],
        zone: str = "a",
        slots: int = 8,
    ) -> None:
        """Creates the server."""
        self.server_id = f"i-{secrets.token_hex(4)}"
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.weights = 1
        self.state = "ready"
        self.runs = runs
        self.before_run: Callable[[Request, Writer], Awaitable[bool]] | None = (
            None
        )
        self._store = store
        self._running = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens and registers."""
        host, _, port = self.address.rpartition(":")
        self._server = await serve(
            host, int(port), self._handle, IDLE_S, MAX_CONNECTIONS
        )
        self.register()

    def register(self) -> None:
        """Writes the entry; the sequence counts the beats."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup-left-ms": 0,
            "stage": "combined",
            "models": [{"name": "m", "version": self.weights, "adapters": []}],
            "sequence": self._sequence,
        }
        known = self._store.items_by_key.get(f"servers/{self.server_id}")
        if known is not None:
            before = {**json.loads(known.value), "sequence": self._sequence}
            if before == entry:
                # The entry changes when more than the sequence changes.
                known.value = json.dumps(entry).encode()
                return
        self._store.put(f"servers/{self.server_id}", json.dumps(entry).encode())

    async def beat(self) -> None:
        """Writes heartbeats until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def _handle(self, request: Request, writer: Writer) -> None:
        headers = {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "X-Instance-Id": self.server_id,
            "X-Server-Load": f"{self._running},0,{self.slots}",
            "Keep-Alive": f"timeout={IDLE_S:.0f}",
        }
        if request.path == "/v1/report":
            await self._report(writer)
            return
        if request.path == "/health":
            await writer.respond(200, b"", headers)
            return
        expected = request.headers.get("x-expect-instance", self.server_id)
        weights = request.headers.get("x-expect-version", str(self.weights))
        if expected != self.server_id or weights != str(self.weights):
            reason = "address" if expected != self.server_id else "weights"
            self._record(request, f"421 {reason}")
            await writer.respond(421, b"", {**headers, "X-Not-Executed": "1"})
            return
        if self._running >= self.slots:
            self._record(request, "503 full")
            await writer.respond(503, b"", {**headers, "X-Not-Executed": "1"})
            return
        if self.before_run is not None and not await self.before_run(
            request, writer
        ):
            return
        self._running += 1
        run = self._record(request, "runs")
        try:
            await self._run(request, writer, headers, run)
            run.status = "done"
        finally:
            run.ended_at = time.monotonic()
            self._running -= 1

    async def _report(self, writer: Writer) -> None:
        report = {
            "stage": "combined",
            "models": [{"name": "m", "version": self.weights, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queue-depth": 0,
            "active-requests": self._running,
            "kv-used": 0,
            "kv-total": 134_354,
            "handles": 0,
        }
        await writer.respond(
            200,
            json.dumps(report).encode(),
            {"Content-Type": "application/json"},
        )

    async def _run(
        self,
        request: Request,
        writer: Writer,
        headers: dict[str, str],
        run: Run,
    ) -> None:
        headers["X-Response-Signature"] = f"s.{secrets.token_hex(4)}"
        headers["X-Weight-Versions"] = str(self.weights)
        usage = request.headers.get("x-token-usage")
        if usage is None:
            await asyncio.sleep(EVENT_S)
            await writer.respond(200, run.request.encode(), headers)
            return
        count = max(1, int(usage.split(",")[1]) // TOKENS_PER_EVENT)
        headers["Content-Type"] = "text/event-stream"
        await writer.start(200, headers)
        for number in range(run.after + 1, count + 1):
            await asyncio.sleep(EVENT_S)
            text = event_text(run.request, number)
            await writer.chunk(f"id: {number}\ndata: {text}\n\n".encode())
        await writer.chunk(b"")

    def _record(self, request: Request, status: str) -> Run:
        run = Run(
            time.monotonic(),
            self.server_id,
            request.headers.get("x-request-id", ""),
            request.path,
            int(request.headers.get("last-event-id") or 0),
            status,
        )
        self.runs.append(run)
        return run

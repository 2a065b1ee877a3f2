"""Shared fixtures: a gateway's parts over scripted upstreams, no network."""

from __future__ import annotations

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio

from plumvane.discovery.view import FleetView
from plumvane.errors import PlumvaneError, UpstreamLostError
from plumvane.gateway.exchange import Exchange
from plumvane.gateway.forwarder import Forwarder
from plumvane.platform.requests import AnswerHead
from plumvane.relay.caller import Attempt, Reply, UpstreamCaller
from plumvane.serving.routes import Route, RouteKind, WeightedService
from plumvane.serving.upstreams import ListedUpstream, Upstream
from plumvane.store.memory import MemoryStore

__all__ = [
    "Caller",
    "Script",
    "ScriptedCaller",
    "gateway",
    "listed",
    "route",
]

SERVICE = "engines"
HEADERS = [(b"x-response-signature", b"s")]


def listed(upstream_id: str, **fields: Any) -> ListedUpstream:
    """Returns an upstream's entry."""
    values = {
        "upstream_id": upstream_id,
        "service": SERVICE,
        "host": "127.0.0.1",
        "port": 1,
        "data_centre": "a",
        "slots": 8,
        "is_draining": False,
        "started_ms": 0,
        "report_number": 1,
    }
    return ListedUpstream(**{**values, **fields})


def route(kind: RouteKind, **fields: Any) -> Route:
    """Returns a route to the only service."""
    values = {
        "name": "r",
        "host": "h",
        "path_prefix": "/p/",
        "kind": kind,
        "is_idempotent": True,
        "is_resumable": False,
        "services": (WeightedService(SERVICE, 1),),
        "timeout_s": 5.0,
        "target_latency_s": 0.3,
        "max_attempts": 2,
    }
    return Route(**{**values, **fields})


@dataclasses.dataclass
class Script:
    """What an upstream does with one request.

    Attributes:
        error: Raised in place of an answer.
        status: Status of the answer.
        parts: Parts of the body.
        break_error: Raised after the parts.
        hang: Whether it never answers.
    """

    error: PlumvaneError | None = None
    status: int = 200
    parts: tuple[bytes, ...] = (b"whole",)
    break_error: UpstreamLostError | None = None
    hang: bool = False


@dataclasses.dataclass
class _ScriptedReply:
    """Stands in for `Reply`."""

    status: int
    headers: list[tuple[bytes, bytes]]
    head: AnswerHead
    script: Script

    async def parts(self) -> AsyncIterator[bytes]:
        for part in self.script.parts:
            yield part
        if self.script.break_error is not None:
            raise self.script.break_error


class ScriptedCaller(UpstreamCaller):
    """Answers by a list of scripts and keeps what it was sent."""

    def __init__(self, scripts: list[Script]) -> None:
        self.sent: list[tuple[str, Attempt]] = []
        self._scripts = scripts

    @contextlib.asynccontextmanager
    async def send(
        self, upstream: Upstream, attempt: Attempt
    ) -> AsyncIterator[Reply]:
        self.sent.append((upstream.upstream_id, attempt))
        script = self._scripts.pop(0)
        if script.hang:
            await anyio.sleep_forever()
        if script.error is not None:
            raise script.error
        head = AnswerHead("id", True, False, False, "", None)
        reply: Any = _ScriptedReply(script.status, HEADERS, head, script)
        yield reply


class Caller:
    """A caller's end of an exchange."""

    def __init__(self, **headers: str) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_finished = False
        sent = {"host": "h", "x-request-id": "id", **headers}
        scope = {
            "type": "http",
            "method": "POST",
            "raw_path": b"/p/x",
            "query_string": b"",
            "headers": [
                (n.replace("_", "-").encode(), v.encode())
                for n, v in sent.items()
            ],
        }
        self.exchange = Exchange(scope, self._receive, self._send, False)

    async def _receive(self) -> dict[str, Any]:
        await anyio.sleep_forever()
        raise AssertionError

    async def _send(self, message: Any) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = dict(message["headers"])
            return
        self.body += message.get("body", b"")
        self.is_finished = not message.get("more_body", False)


@dataclasses.dataclass
class Gateway:
    """A forwarder over scripted upstreams.

    Attributes:
        view: What it believes of the fleet.
        caller: The scripted upstreams.
        forwarder: The forwarder.
    """

    view: FleetView
    caller: ScriptedCaller
    forwarder: Forwarder


def gateway(scripts: list[Script], upstreams: int = 3) -> Gateway:
    """Returns a forwarder with some idle upstreams `u0`, `u1`, ..."""
    rng = random.Random(1)
    view = FleetView(MemoryStore(), "a", rng)
    for number in range(upstreams):
        view.upstreams.put(listed(f"u{number}"))
    caller = ScriptedCaller(scripts)
    return Gateway(view, caller, Forwarder(view, caller, rng))


Check = Callable[[], Awaitable[None]]

"""Shared fixtures: a forwarder over scripted upstreams, without a network."""

from __future__ import annotations

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any

import anyio

from plumvane import clock
from plumvane.discovery.origins import StreamOrigins
from plumvane.discovery.permits import Permits
from plumvane.discovery.quarantine import PromptQuarantine
from plumvane.discovery.view import FleetView
from plumvane.errors import PlumvaneError, UpstreamLostError
from plumvane.gateway.admission import InTimeAdmission
from plumvane.gateway.exchange import Exchange
from plumvane.gateway.forwarder import Forwarder, IncompleteResponseError
from plumvane.platform.requests import ResponseHead
from plumvane.relay.client import Attempt, UpstreamClient, UpstreamResponse
from plumvane.serving.overload import OverloadPolicy
from plumvane.serving.routes import Route, RouteKind, WeightedService
from plumvane.serving.upstreams import ListedUpstream, Load, Upstream
from plumvane.store.memory import MemoryStore

__all__ = [
    "FakeCaller",
    "RawGateway",
    "Script",
    "ScriptedClient",
    "make_gateway",
    "make_listed_upstream",
    "make_route",
]

SERVICE = "engines"
HEADERS = [(b"x-response-signature", b"s")]


def make_listed_upstream(upstream_id: str, **fields: Any) -> ListedUpstream:
    """Returns a listed upstream; `fields` replace the defaults."""
    values = {
        "upstream_id": upstream_id,
        "service": SERVICE,
        "host": "127.0.0.1",
        "port": 1,
        "data_centre": "a",
        "slots": 8,
        "is_draining": False,
        "version": "1",
        "started_ms": 0,
        "report_number": 1,
    }
    return ListedUpstream(**{**values, **fields})


def make_route(kind: RouteKind, **fields: Any) -> Route:
    """Returns a route to `SERVICE`; `fields` replace the defaults."""
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
    """How an upstream handles one request.

    Attributes:
        error: Raised instead of a response.
        status: Status of the response.
        parts: Parts of the body.
        body_error: Raised after the parts.
        hangs: Whether the upstream never responds.
        load: Load in the response.
    """

    error: PlumvaneError | None = None
    status: int = 200
    parts: tuple[bytes, ...] = (b"whole",)
    body_error: UpstreamLostError | None = None
    hangs: bool = False
    load: Load | None = None


@dataclasses.dataclass
class _ScriptedResponse:
    """Fake `UpstreamResponse` that follows a script."""

    status: int
    headers: list[tuple[bytes, bytes]]
    head: ResponseHead
    script: Script

    async def iter_body(self) -> AsyncIterator[bytes]:
        for part in self.script.parts:
            yield part
        if self.script.body_error is not None:
            raise self.script.body_error


class ScriptedClient(UpstreamClient):
    """Handles each request by the next script and records the attempts."""

    def __init__(self, scripts: list[Script]) -> None:
        self.sent: list[tuple[str, Attempt]] = []
        self._scripts = scripts

    @contextlib.asynccontextmanager
    async def send(
        self, upstream: Upstream, attempt: Attempt
    ) -> AsyncIterator[UpstreamResponse]:
        self.sent.append((upstream.upstream_id, attempt))
        script = self._scripts.pop(0)
        if script.hangs:
            await anyio.sleep_forever()
        if script.error is not None:
            raise script.error
        head = ResponseHead("id", True, False, False, "", script.load)
        response: Any = _ScriptedResponse(script.status, HEADERS, head, script)
        yield response


class FakeCaller:
    """A caller that sends one request and records the response."""

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
        view: The forwarder's view of the fleet.
        client: The scripted upstreams.
        origins: Versions that began streams.
        quarantine: Parts of prompts that crash upstreams.
        forwarder: The forwarder under test.
    """

    view: FleetView
    client: ScriptedClient
    origins: StreamOrigins
    quarantine: PromptQuarantine
    forwarder: Forwarder


def make_gateway(
    scripts: list[Script],
    upstreams: int = 3,
    versions: Sequence[str] = ("1",),
    policy: OverloadPolicy | None = None,
) -> Gateway:
    """Returns a forwarder over idle upstreams `u0`, `u1`, ...

    Args:
        scripts: How the upstreams handle the requests, in order.
        upstreams: Number of upstreams.
        versions: Software versions that the upstreams have in turn.
        policy: Decides which requests are admitted; None to admit all.
    """
    rng = random.Random(1)
    view = FleetView(MemoryStore(), "a", rng)
    for number in range(upstreams):
        version = versions[number % len(versions)]
        view.add_upstream(make_listed_upstream(f"u{number}", version=version))
    client = ScriptedClient(scripts)
    origins = StreamOrigins("gateway", None, view)
    quarantine = PromptQuarantine("gateway", None)
    permits = Permits("gateway", None, view.upstreams)
    admission = InTimeAdmission(view, policy) if policy else None
    forwarder = Forwarder(
        view, client, origins, quarantine, permits, rng, admission
    )
    return Gateway(view, client, origins, quarantine, forwarder)


Check = Callable[[], Awaitable[None]]


class RawGateway:
    """A forwarder with a real client of upstreams `u0`, `u1`, ..."""

    def __init__(self, ports: list[int]) -> None:
        rng = random.Random(1)
        self.view = FleetView(MemoryStore(), "a", rng)
        for number, port in enumerate(ports):
            self.view.upstreams.put(
                make_listed_upstream(
                    f"u{number}",
                    port=port,
                    data_centre="b" if number else "a",
                )
            )
        origins = StreamOrigins("gateway", None, self.view)
        self._forwarder = Forwarder(
            self.view,
            UpstreamClient(),
            origins,
            PromptQuarantine("gateway", None),
            Permits("gateway", None, self.view.upstreams),
            rng,
        )

    async def forward(
        self, route: Route, caller: FakeCaller
    ) -> PlumvaneError | IncompleteResponseError | None:
        """Forwards a request and returns its error."""
        try:
            await self._forwarder.forward(
                caller.exchange, route, b"body", clock.monotonic()
            )
        except (PlumvaneError, IncompleteResponseError) as error:
            return error
        return None

    def has_failed(self, upstream_id: str) -> bool:
        """Returns whether an upstream was ejected after its last success."""
        return self.view.upstreams.upstreams_by_id[upstream_id].record_success()

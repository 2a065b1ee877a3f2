"""The gateway's application: routes, callers that leave, batch calls."""

from __future__ import annotations

import contextlib
import json
import random
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio

from plumvane.batch.jobstore import Commit, JobStore
from plumvane.discovery.view import FleetView
from plumvane.errors import StoreUnavailableError
from plumvane.gateway.app import GatewayApp, ReadyApp
from plumvane.gateway.forwarder import Forwarder
from plumvane.gateway.jobs import JobCalls
from plumvane.gateway.reads import JobReader
from plumvane.relay.caller import Attempt, UpstreamCaller
from plumvane.serving.jobs import ItemResult
from plumvane.serving.routes import RouteKind, RouteTable, Service
from plumvane.serving.upstreams import Upstream
from plumvane.store.memory import MemoryStore
from tests.gateways import SERVICE, listed, route

OUTER_DEADLINE_S = 15.0
JOB = {
    "items": [
        {"id": f"i{n}", "path": "/b/x", "headers": {}, "body": "Ym9keQ=="}
        for n in range(3)
    ]
}


class HangingCaller(UpstreamCaller):
    """Upstreams that hold each request until it is cancelled."""

    def __init__(self) -> None:
        self.running = 0
        self.begun = anyio.Event()

    @contextlib.asynccontextmanager
    async def send(
        self, upstream: Upstream, attempt: Attempt
    ) -> AsyncIterator[Any]:
        self.running += 1
        self.begun.set()
        try:
            await anyio.sleep_forever()
            yield
        finally:
            self.running -= 1


class App:
    """An application over a store in memory, and its answers."""

    def __init__(self, store: MemoryStore | None = None) -> None:
        self.store = store or MemoryStore()
        rng = random.Random(1)
        self.view = FleetView(self.store, "a", rng)
        self.caller = HangingCaller()
        jobs = JobStore(self.store)
        self.app = GatewayApp(
            self.view,
            Forwarder(self.view, self.caller, rng),
            JobCalls(jobs, JobReader(jobs, None)),
        )

    def configure(self) -> None:
        """Puts two routes into force."""
        self.view.routes = RouteTable(
            1,
            [
                route(RouteKind.STREAM, path_prefix="/p/"),
                route(RouteKind.BATCH, path_prefix="/b/", retention_s=60.0),
            ],
            [Service(SERVICE, "/health", True)],
            max_body_bytes=4096,
            idle_timeout_s=15.0,
        )
        self.view.operator_keys.is_failing = False
        self.view.upstreams.put(listed("u1"))

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        left: anyio.Event | None = None,
        **headers: str,
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        """Makes a call; the caller leaves once an event is set."""
        received: list[dict[str, Any]] = []
        has_body = True
        raw_path, _, query = path.partition("?")

        async def receive() -> dict[str, Any]:
            nonlocal has_body
            if has_body:
                has_body = False
                return {"type": "http.request", "body": body}
            await (left or anyio.Event()).wait()
            return {"type": "http.disconnect"}

        async def send(message: Any) -> None:
            received.append(message)

        named = {"host": "h", "x-request-id": "r1", **headers}
        scope = {
            "type": "http",
            "method": method,
            "raw_path": raw_path.encode(),
            "query_string": query.encode(),
            "headers": [
                (n.replace("_", "-").encode(), v.encode())
                for n, v in named.items()
            ],
        }
        await self.app(scope, receive, send)
        if not received:
            return 0, {}, b""
        parts = b"".join(m.get("body", b"") for m in received[1:])
        return received[0]["status"], dict(received[0]["headers"]), parts


def play(steps: Callable[[], Any]) -> None:
    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await steps()

    anyio.run(run)


def test_instance_without_a_configuration_refuses_and_is_not_ready() -> None:
    async def steps() -> None:
        app = App()
        status, headers, _ = await app.call("POST", "/p/x")
        assert status == 503
        assert b"retry-after" in headers
        app.app = ReadyApp(app.view)  # type: ignore[assignment]
        assert (await app.call("GET", "/v1/ready"))[0] == 503
        app.configure()
        app.view._entries.loaded.set()
        assert (await app.call("GET", "/v1/ready"))[0] == 200
        app.app.is_leaving = True
        assert (await app.call("GET", "/v1/ready"))[0] == 503

    play(steps)


def test_unknown_route_is_404_only_while_the_configuration_is_followed() -> (
    None
):
    async def steps() -> None:
        app = App()
        app.configure()
        assert (await app.call("POST", "/none/x"))[0] == 404
        app.view.operator_keys.is_failing = True
        assert (await app.call("POST", "/none/x"))[0] == 503

    play(steps)


def test_caller_that_leaves_cancels_its_request_at_the_upstream() -> None:
    async def steps() -> None:
        app = App()
        app.configure()
        left = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(app.call, "POST", "/p/x", b"", left)
            await app.caller.begun.wait()
            assert app.caller.running == 1
            left.set()
        assert app.caller.running == 0

    play(steps)


def test_body_over_the_limit_is_refused() -> None:
    async def steps() -> None:
        app = App()
        app.configure()
        assert (await app.call("POST", "/p/x", b"x" * 5000))[0] == 413

    play(steps)


def test_job_is_accepted_once_read_at_any_instance_and_ended() -> None:
    async def steps() -> None:
        app = App()
        app.configure()
        body = json.dumps(JOB).encode()
        for _ in range(2):
            assert (await app.call("POST", "/b/x", body))[0] == 202
        other = App(app.store)
        other.configure()
        status, _, answer = await other.call("GET", "/v1/lots/r1?after=0")
        assert status == 200
        assert json.loads(answer) == {
            "total": 3,
            "next-token": 0,
            "results": [],
        }
        status, _, answer = await other.call("GET", "/v1/items/r1?id=i1")
        assert (status, answer) == (200, b"body")
        assert (await other.call("GET", "/v1/lots/none"))[0] == 404
        for _ in range(2):
            assert (await other.call("DELETE", "/v1/lots/r1"))[0] == 200
        job, _ = await JobStore(app.store).head("r1")
        assert job.is_ended

    play(steps)


def test_read_that_waits_gets_the_result_when_it_is_listed() -> None:
    async def steps() -> None:
        app = App()
        app.configure()
        await app.call("POST", "/b/x", json.dumps(JOB).encode())
        answers = []

        async def read() -> None:
            _, _, answer = await app.call(
                "GET", "/v1/lots/r1?after=0", x_wait_ms="1000"
            )
            answers.append(json.loads(answer))

        jobs = JobStore(app.store)
        async with anyio.create_task_group() as group:
            group.start_soon(read)
            job, revision = await jobs.head("r1")
            job.append_result("i2")
            result = ItemResult("i2", True, "text")
            await jobs.commit([Commit(job, revision, {0: result})])
        assert answers[0]["next-token"] == 1
        assert answers[0]["results"][0]["id"] == "i2"

    play(steps)


def test_job_that_the_store_may_hold_is_not_refused_as_not_run() -> None:
    class Losing(MemoryStore):
        not_run = False

        async def transact(self, writes: Any, *, expected_by_key: Any) -> int:
            raise StoreUnavailableError("x", not_run=self.not_run)

    async def steps() -> None:
        for not_run, expected in ((False, 502), (True, 503)):
            store = Losing()
            store.not_run = not_run
            app = App(store)
            app.configure()
            body = json.dumps(JOB).encode()
            assert (await app.call("POST", "/b/x", body))[0] == expected

    play(steps)


def test_submission_is_answered_before_its_caller_leaves() -> None:
    """Callers leave after a second; then they know neither outcome nor time."""

    class Away(MemoryStore):
        def __init__(self, *, is_silent: bool) -> None:
            super().__init__()
            self.is_silent = is_silent

        async def transact(self, *values: Any, **named: Any) -> int:
            if self.is_silent:
                await anyio.sleep_forever()
            raise StoreUnavailableError("away", not_run=True)

    async def steps() -> None:
        body = json.dumps(JOB).encode()
        refusing = App(Away(is_silent=False))
        refusing.configure()
        with anyio.fail_after(1.0):
            status, headers, _ = await refusing.call("POST", "/b/x", body)
        assert status == 503
        assert b"retry-after" in headers
        silent = App(Away(is_silent=True))
        silent.configure()
        with anyio.fail_after(1.0):
            status, headers, _ = await silent.call("POST", "/b/x", body)
        assert status == 502, "the write may still take effect"
        assert b"retry-after" not in headers

    play(steps)

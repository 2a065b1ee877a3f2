"""The gateway's application: routes, disconnects, calls on batch jobs."""

from __future__ import annotations

import contextlib
import json
import random
from collections.abc import AsyncIterator, Callable
from typing import Any
from unittest import mock

import anyio

from plumvane import clock
from plumvane.batch.jobstore import Commit, JobStore
from plumvane.discovery.origins import StreamOrigins
from plumvane.discovery.permits import Permits
from plumvane.discovery.quarantine import PromptQuarantine
from plumvane.discovery.view import FleetView
from plumvane.errors import StoreUnavailableError
from plumvane.gateway import app as gateway_app
from plumvane.gateway.app import GatewayApp, ReadinessApp
from plumvane.gateway.forwarder import Forwarder, IncompleteResponseError
from plumvane.gateway.jobs import BatchJobHandler
from plumvane.gateway.reads import JobReader
from plumvane.relay.client import Attempt, UpstreamClient
from plumvane.serving.jobs import ItemResult
from plumvane.serving.routes import RouteKind, RouteTable, Service
from plumvane.serving.upstreams import Upstream
from plumvane.store.base import Record
from plumvane.store.memory import MemoryStore
from tests.gateways import SERVICE, make_listed_upstream, make_route

OUTER_DEADLINE_S = 15.0
# Time within which a configuration takes effect, in seconds.
APPLY_S = 0.2
JOB = {
    "items": [
        {"id": f"i{n}", "path": "/b/x", "headers": {}, "body": "Ym9keQ=="}
        for n in range(3)
    ]
}


class HangingClient(UpstreamClient):
    """Upstreams that do not respond until the request is cancelled."""

    def __init__(self) -> None:
        self.running = 0
        self.started = anyio.Event()

    @contextlib.asynccontextmanager
    async def send(
        self, upstream: Upstream, attempt: Attempt
    ) -> AsyncIterator[Any]:
        self.running += 1
        self.started.set()
        try:
            await anyio.sleep_forever()
            yield
        finally:
            self.running -= 1


class App:
    """A gateway application over an in-memory store, and its client."""

    def __init__(self, store: MemoryStore | None = None) -> None:
        self.store = store or MemoryStore()
        rng = random.Random(1)
        self.view = FleetView(self.store, "a", rng)
        self.client = HangingClient()
        jobs = JobStore(self.store)
        origins = StreamOrigins("gateway", None, self.view)
        self.app = GatewayApp(
            self.view,
            Forwarder(
                self.view,
                self.client,
                origins,
                PromptQuarantine("gateway", None),
                Permits("gateway", None, self.view.upstreams),
                rng,
            ),
            BatchJobHandler(jobs, JobReader(jobs, None)),
            apply_s=APPLY_S,
        )

    def configure(self) -> None:
        """Sets two routes and lists one upstream."""
        self.view.routes = RouteTable(
            1,
            [
                make_route(RouteKind.STREAM, path_prefix="/p/"),
                make_route(
                    RouteKind.BATCH, path_prefix="/b/", retention_s=60.0
                ),
            ],
            [Service(SERVICE, "/health", True)],
            max_body_bytes=4096,
            idle_timeout_s=15.0,
        )
        self.view.operator_keys.is_failing = False
        self.view.upstreams.put(make_listed_upstream("u1"))

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        disconnected: anyio.Event | None = None,
        **headers: str,
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        """Sends a request; the caller disconnects once the event is set."""
        messages: list[dict[str, Any]] = []
        has_body = True
        raw_path, _, query = path.partition("?")

        async def receive() -> dict[str, Any]:
            nonlocal has_body
            if has_body:
                has_body = False
                return {"type": "http.request", "body": body}
            await (disconnected or anyio.Event()).wait()
            return {"type": "http.disconnect"}

        async def send(message: Any) -> None:
            messages.append(message)

        all_headers = {"host": "h", "x-request-id": "r1", **headers}
        scope = {
            "type": "http",
            "method": method,
            "raw_path": raw_path.encode(),
            "query_string": query.encode(),
            "headers": [
                (n.replace("_", "-").encode(), v.encode())
                for n, v in all_headers.items()
            ],
        }
        await self.app(scope, receive, send)
        if not messages:
            return 0, {}, b""
        parts = b"".join(m.get("body", b"") for m in messages[1:])
        return messages[0]["status"], dict(messages[0]["headers"]), parts


def run_steps(steps: Callable[[], Any]) -> None:
    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await steps()

    anyio.run(run)


def test_instance_without_configuration_rejects_requests_and_is_not_ready() -> (
    None
):
    async def steps() -> None:
        app = App()
        status, headers, _ = await app.call("POST", "/p/x")
        assert status == 503
        assert b"retry-after" in headers
        app.app = ReadinessApp(app.view)  # type: ignore[assignment]
        assert (await app.call("GET", "/v1/ready"))[0] == 503
        app.configure()
        app.view._entries.loaded.set()
        assert (await app.call("GET", "/v1/ready"))[0] == 200
        app.app.is_draining = True
        assert (await app.call("GET", "/v1/ready"))[0] == 503

    run_steps(steps)


def test_unknown_route_is_404_only_while_the_configuration_is_current() -> None:
    async def steps() -> None:
        app = App()
        app.configure()
        assert (await app.call("POST", "/none/x"))[0] == 404
        app.view.operator_keys.is_failing = True
        assert (await app.call("POST", "/none/x"))[0] == 503

    run_steps(steps)


class CountingStore(MemoryStore):
    """In-memory store that counts reads of keys, and may not respond."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0
        self.is_silent = False

    async def get(self, key: str) -> Record | None:
        self.reads += 1
        if self.is_silent:
            raise StoreUnavailableError("The store did not respond.")
        return await super().get(key)


# Guards against 404 for a route of a version that was acknowledged: the watch
# for it waits, but its response was lost.
def test_route_that_the_store_has_is_not_refused_as_unknown() -> None:
    async def steps() -> None:
        store = CountingStore()
        app = App(store)
        app.configure()
        route = {
            "name": "new",
            "host": "h",
            "path-prefix": "/new/",
            "kind": "streaming",
            "timeout-ms": 5000,
            "max-attempts": 2,
            "service": SERVICE,
        }
        value = json.dumps({"version": 2, "routes": [route]}).encode()
        await store.put("op/config", value, expected_revision=None)
        disconnected = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(app.call, "POST", "/new/x", b"", disconnected)
            await app.client.started.wait()
            disconnected.set()
        store.reads = 0
        for _ in range(5):
            assert (await app.call("POST", "/none/x"))[0] == 404
        assert store.reads <= 1, "one read is enough for some time"
        await anyio.sleep(2 * APPLY_S)
        store.is_silent = True
        assert (await app.call("POST", "/none/x"))[0] == 503

    run_steps(steps)


def test_disconnect_of_the_caller_cancels_its_request_at_the_upstream() -> None:
    async def steps() -> None:
        app = App()
        app.configure()
        disconnected = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(app.call, "POST", "/p/x", b"", disconnected)
            await app.client.started.wait()
            assert app.client.running == 1
            disconnected.set()
        assert app.client.running == 0

    run_steps(steps)


def test_body_over_the_limit_is_rejected() -> None:
    async def steps() -> None:
        app = App()
        app.configure()
        assert (await app.call("POST", "/p/x", b"x" * 5000))[0] == 413

    run_steps(steps)


def test_job_is_accepted_once_read_at_any_instance_and_ended() -> None:
    async def steps() -> None:
        app = App()
        app.configure()
        body = json.dumps(JOB).encode()
        for _ in range(2):
            assert (await app.call("POST", "/b/x", body))[0] == 202
        other = App(app.store)
        other.configure()
        status, _, content = await other.call("GET", "/v1/lots/r1?after=0")
        assert status == 200
        assert json.loads(content) == {
            "total": 3,
            "next-token": 0,
            "results": [],
        }
        status, _, content = await other.call("GET", "/v1/items/r1?id=i1")
        assert (status, content) == (200, b"body")
        assert (await other.call("GET", "/v1/lots/none"))[0] == 404
        for _ in range(2):
            assert (await other.call("DELETE", "/v1/lots/r1"))[0] == 200
        job, _ = await JobStore(app.store).head("r1")
        assert job.is_ended

    run_steps(steps)


def test_waiting_read_returns_the_result_when_it_is_listed() -> None:
    async def steps() -> None:
        app = App()
        app.configure()
        await app.call("POST", "/b/x", json.dumps(JOB).encode())
        pages = []

        async def read() -> None:
            _, _, content = await app.call(
                "GET", "/v1/lots/r1?after=0", x_wait_ms="1000"
            )
            pages.append(json.loads(content))

        jobs = JobStore(app.store)
        async with anyio.create_task_group() as group:
            group.start_soon(read)
            job, revision = await jobs.head("r1")
            job.append_result("i2")
            result = ItemResult("i2", True, "text")
            await jobs.commit([Commit(job, revision, {0: result})])
        assert pages[0]["next-token"] == 1
        assert pages[0]["results"][0]["id"] == "i2"

    run_steps(steps)


def test_job_that_may_be_in_the_store_is_not_reported_as_not_run() -> None:
    class FailingStore(MemoryStore):
        not_run = False

        async def transact(self, writes: Any, *, expected_by_key: Any) -> int:
            raise StoreUnavailableError("x", not_run=self.not_run)

    async def steps() -> None:
        for not_run, expected in ((False, 502), (True, 503)):
            store = FailingStore()
            store.not_run = not_run
            app = App(store)
            app.configure()
            body = json.dumps(JOB).encode()
            assert (await app.call("POST", "/b/x", body))[0] == expected

    run_steps(steps)


def test_read_of_a_job_that_is_not_certain_gets_503() -> None:
    class SilentStore(MemoryStore):
        async def get(self, key: str) -> Record | None:
            raise StoreUnavailableError("no response")

    async def steps() -> None:
        app = App(SilentStore())
        app.configure()
        for target in ("/v1/lots/r1?after=0", "/v1/items/r1?id=i1"):
            status, headers, _ = await app.call("GET", target)
            assert status == 503, target
            assert b"retry-after" in headers
        status, _, _ = await app.call("DELETE", "/v1/lots/r1")
        assert status == 502, "the end may still take effect"

    run_steps(steps)


def test_submission_gets_a_response_before_its_caller_disconnects() -> None:
    """A submission must not wait for the store longer than its caller waits.

    Callers disconnect after 1 s and then get neither a status nor a
    Retry-After. A submission used to wait 1.2 s while the store rejected all
    calls.
    """

    class UnavailableStore(MemoryStore):
        def __init__(self, *, hangs: bool) -> None:
            super().__init__()
            self.hangs = hangs

        async def transact(self, *values: Any, **named: Any) -> int:
            if self.hangs:
                await anyio.sleep_forever()
            raise StoreUnavailableError("away", not_run=True)

    async def steps() -> None:
        body = json.dumps(JOB).encode()
        rejecting = App(UnavailableStore(hangs=False))
        rejecting.configure()
        with anyio.fail_after(1.0):
            status, headers, _ = await rejecting.call("POST", "/b/x", body)
        assert status == 503
        assert b"retry-after" in headers
        hanging = App(UnavailableStore(hangs=True))
        hanging.configure()
        with anyio.fail_after(1.0):
            status, headers, _ = await hanging.call("POST", "/b/x", body)
        assert status == 502, "the write may still take effect"
        assert b"retry-after" not in headers

    run_steps(steps)


def test_read_of_a_job_ends_if_its_caller_does_not_read_the_response() -> None:
    """The response, of up to 1 MB, would otherwise stay in memory."""

    async def steps() -> None:
        app = App()
        app.configure()
        body = json.dumps(JOB).encode()
        assert (await app.call("POST", "/b/x", body))[0] == 202
        sent: list[Any] = []

        async def send(message: Any) -> None:
            sent.append(message)
            if len(sent) > 1:
                await anyio.sleep_forever()

        async def receive() -> dict[str, Any]:
            if not sent:
                return {"type": "http.request", "body": b""}
            await anyio.sleep_forever()
            raise AssertionError

        scope = {
            "type": "http",
            "method": "GET",
            "raw_path": b"/v1/items/r1",
            "query_string": b"id=i1",
            "headers": [(b"host", b"h"), (b"x-request-id", b"r2")],
        }
        try:
            await app.app(scope, receive, send)
        except IncompleteResponseError:
            assert [m["type"] for m in sent][0] == "http.response.start"
            return
        raise AssertionError("the call did not end")

    with mock.patch.object(gateway_app, "JOB_CALL_TIMEOUT_S", 0.3):
        run_steps(steps)


# Guards against LOST: requests that a stopping instance took late were cut with
# no answer when the platform ended it.
def test_draining_instance_refuses_requests_that_it_may_not_finish() -> None:
    async def steps() -> None:
        app = App()
        app.configure()
        app.app.drain(clock.monotonic() + 1.0)
        status, headers, _ = await app.call("POST", "/p/x")
        assert status == 503
        assert headers[b"retry-after"] == b"0.00"
        assert not app.client.started.is_set(), "it was passed on"
        status, _, _ = await app.call("POST", "/p/x", x_deadline_ms="300")
        assert status == 504
        assert app.client.started.is_set()

    run_steps(steps)


# The same for those that it took before it was stopped.
def test_requests_left_at_the_end_of_an_instance_are_answered() -> None:
    async def steps() -> None:
        app = App()
        app.configure()
        statuses = []

        async def call() -> None:
            statuses.append((await app.call("POST", "/p/x"))[0])

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            await app.client.started.wait()
            app.app.drain(clock.monotonic())
            app.app.end_requests()
        assert statuses == [502], "it may have run"
        assert not app.client.running

    run_steps(steps)

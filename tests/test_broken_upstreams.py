"""What callers get, on the wire, when upstreams break off or send errors."""

from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from plumvane import web
from plumvane.batch.jobstore import JobStore
from plumvane.discovery.origins import StreamOrigins
from plumvane.discovery.permits import Permits
from plumvane.discovery.quarantine import PromptQuarantine
from plumvane.discovery.view import FleetView
from plumvane.gateway.app import GatewayApp
from plumvane.gateway.forwarder import Forwarder
from plumvane.gateway.jobs import BatchJobHandler
from plumvane.gateway.reads import JobReader
from plumvane.relay.client import UpstreamClient
from plumvane.serving.routes import RouteKind, RouteTable, Service
from plumvane.store.memory import MemoryStore
from tests.gateways import SERVICE, make_listed_upstream, make_route
from tests.raw_servers import HOST, Answer, header, serving

OUTER_DEADLINE_S = 30.0
EVENT = b"id: 1\ndata: a\n\n"
# Time after which an event has been relayed, in seconds.
RELAY_S = 0.02
LAST_CHUNK = b"0\r\n\r\n"
ERROR_TEXT = b"upstream failed\n\n"
# Statuses of the error that the next upstream answers with, and its framing.
ERRORS = [
    (status, is_framed)
    for status in (400, 404, 409, 422, 500, 502, 503, 504)
    for is_framed in (True, False)
]


def make_head(
    request: bytes, status: int, *lines: bytes, is_signed: bool = True
) -> bytes:
    """Returns the head of an upstream's response to a request."""
    rows = [
        b"HTTP/1.1 %d Status" % status,
        b"x-request-id: " + header(request, "x-request-id").encode(),
        *lines,
    ]
    if is_signed:
        rows.append(b"x-response-signature: signed")
    return b"\r\n".join(rows) + b"\r\n\r\n"


@contextlib.asynccontextmanager
async def gateway_over(*answers: Answer) -> AsyncIterator[int]:
    """Runs a gateway over upstreams, and yields its port.

    Args:
        answers: How each of the upstreams answers requests.
    """
    async with contextlib.AsyncExitStack() as stack:
        rng = random.Random(1)
        store = MemoryStore()
        view = FleetView(store, "a", rng)
        view.operator_keys.is_failing = False
        view.routes = RouteTable(
            1,
            [
                make_route(
                    RouteKind.STREAM,
                    name="resumable",
                    path_prefix="/stream/",
                    is_resumable=True,
                ),
                make_route(
                    RouteKind.STREAM,
                    name="once",
                    path_prefix="/once/",
                    is_idempotent=False,
                ),
                make_route(
                    RouteKind.CALL,
                    name="call",
                    path_prefix="/call/",
                    is_idempotent=False,
                ),
            ],
            [Service(SERVICE, "/health", True)],
            max_body_bytes=4096,
            idle_timeout_s=15.0,
        )
        for number, answer in enumerate(answers):
            port = await stack.enter_async_context(serving(answer))
            view.add_upstream(make_listed_upstream(f"u{number}", port=port))
        jobs = JobStore(store)
        app = GatewayApp(
            view,
            Forwarder(
                view,
                UpstreamClient("a"),
                StreamOrigins("gateway", None, view),
                PromptQuarantine("gateway", None),
                Permits("gateway", None, view.upstreams),
                rng,
            ),
            BatchJobHandler(jobs, JobReader(jobs, None)),
        )
        listening = web.bind(HOST, 0)
        server = web.HttpServer(app, listening)
        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(server.run)
        await server.wait_started()
        yield listening.getsockname()[1]
        server.stop()
        await server.wait_stopped()


async def call(port: int, path: str) -> bytes:
    """Sends a request; returns all that comes until the connection ends."""
    received = b""
    async with await anyio.connect_tcp(HOST, port) as stream:
        await stream.send(
            b"POST %b HTTP/1.1\r\nhost: h\r\nx-request-id: r%b\r\n"
            b"content-length: 0\r\nconnection: close\r\n\r\n"
            % (path.encode(), path.replace("/", "-").encode())
        )
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                received += await stream.receive()
    return received


def run(steps: object) -> None:
    async def run_in_time() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await steps()  # type: ignore[operator]

    anyio.run(run_in_time)


# Guards against ORDER and MIXED: an error's text or head in the middle of a
# stream, or a stream that ends as if it were complete.
def test_error_after_a_begun_stream_is_not_part_of_the_stream() -> None:
    async def steps(status: int, is_framed: bool) -> None:
        resumed = 0

        async def answer(stream: anyio.abc.SocketStream, head: bytes) -> None:
            nonlocal resumed
            if header(head, "last-event-id") == "":
                await stream.send(
                    make_head(head, 200, b"transfer-encoding: chunked")
                    + b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
                )
                raise anyio.EndOfStream
            resumed += 1
            framing = b"content-length: %d" % len(ERROR_TEXT)
            if not is_framed:
                framing = b"connection: close"
            await stream.send(make_head(head, status, framing) + ERROR_TEXT)
            raise anyio.EndOfStream

        async with gateway_over(answer, answer) as port:
            received = await call(port, "/stream/x")
        assert resumed
        assert EVENT in received, received
        assert received.count(b"HTTP/1.1") == 1, received
        assert ERROR_TEXT.strip() not in received, received
        assert not received.endswith(LAST_CHUNK), received

    for status, is_framed in ERRORS:
        run(lambda s=status, f=is_framed: steps(s, f))


# The same if the upstream that began the stream writes the error behind it.
def test_error_text_behind_events_is_not_relayed() -> None:
    texts = (
        ERROR_TEXT,
        b"HTTP/1.1 502 Bad Gateway\r\ncontent-length: 5\r\n\r\nerror",
        b"HTTP/1.1 502 Bad Gateway\ncontent-length: 5\n\nerror",
        b'{"error": "failed"}\n\n',
    )

    async def steps(text: bytes, path: str, framing: bytes) -> None:
        async def answer(stream: anyio.abc.SocketStream, head: bytes) -> None:
            await stream.send(make_head(head, 200, framing))
            for part in (EVENT, text):
                if framing.startswith(b"transfer"):
                    part = b"%x\r\n%b\r\n" % (len(part), part)
                await stream.send(part)
                await anyio.sleep(RELAY_S)
            if framing.startswith(b"transfer"):
                await stream.send(LAST_CHUNK)
            raise anyio.EndOfStream

        async with gateway_over(answer) as port:
            received = await call(port, path)
        assert EVENT in received, received
        assert text.strip() not in received, received
        assert received.count(b"HTTP/1.1") == 1, received
        assert not received.endswith(LAST_CHUNK), received

    for text in texts:
        for framing in (b"transfer-encoding: chunked", b"connection: close"):
            run(lambda t=text, f=framing: steps(t, "/once/x", f))


# Guards against MIXED and ORDER: a success whose body is empty or short,
# because the upstream stopped in the middle of its answer's head.
def test_head_that_is_cut_off_is_no_success() -> None:
    async def steps(path: str) -> None:
        position = 0

        async def answer(stream: anyio.abc.SocketStream, head: bytes) -> None:
            whole = make_head(
                head, 200, b"content-type: text/plain", b"content-length: 5"
            )
            assert position < len(whole)
            await stream.send(whole[:position])
            raise anyio.EndOfStream

        size = len(
            make_head(
                b"x-request-id: r" + path.replace("/", "-").encode(),
                200,
                b"content-type: text/plain",
                b"content-length: 5",
            )
        )
        async with gateway_over(answer) as port:
            for position in range(size):  # noqa: B007
                received = await call(port, path)
                status = received[: len(b"HTTP/1.1 502")]
                assert status == b"HTTP/1.1 502", (position, received)

    for path in ("/call/x", "/once/x"):
        run(lambda p=path: steps(p))

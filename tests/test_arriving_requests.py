"""Tests of requests that arrive while the server stops, or never whole.

Each test talks to the HTTP server of gateways and entries over real sockets.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any
from unittest import mock

import anyio
import anyio.to_thread
import uvicorn

from plumvane import web

HOST = "127.0.0.1"
OUTER_DEADLINE_S = 10.0
BODY = b"x" * 4_000
HEAD = b"POST /p HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % len(BODY)
REQUEST = HEAD + BODY
CONNECTIONS = 40
# Interval between bytes of a caller that trickles them, in seconds.
TRICKLE_S = 0.02


def run_with_timeout(steps: Callable[[], Awaitable[None]]) -> None:
    """Runs steps on the event loop that the programs use."""

    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await steps()

    anyio.run(run, backend_options={"use_uvloop": True})


class App:
    """Answers with the number of bytes of the request's body.

    Attributes:
        holds: Whether responses wait after their head.
        waiting: Number of responses that wait.
    """

    def __init__(self) -> None:
        self.holds = False
        self.waiting = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            size += len(message.get("body", b""))
            if not message.get("more_body"):
                break
        await send(
            {"type": "http.response.start", "status": 200, "headers": []}
        )
        self.waiting += 1
        while self.holds:
            await anyio.sleep(0.01)
        self.waiting -= 1
        await send({"type": "http.response.body", "body": b"got %d" % size})


@contextlib.asynccontextmanager
async def running(app: App) -> AsyncIterator[tuple[web.HttpServer, int]]:
    bound = web.bind(HOST, 0)
    port = bound.getsockname()[1]
    server = web.HttpServer(app, bound)
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        await server.wait_started()
        yield server, port
        server.stop()
        with anyio.fail_after(OUTER_DEADLINE_S):
            await server.wait_stopped()


@contextlib.contextmanager
def connected(port: int) -> Iterator[socket.socket]:
    with socket.create_connection((HOST, port), OUTER_DEADLINE_S) as caller:
        yield caller


def read_to_end(caller: socket.socket) -> bytes:
    """Reads until the server closes the connection; a reset is an error."""
    found = b""
    while part := caller.recv(65_536):
        found += part
    return found


async def read_all(caller: socket.socket) -> bytes:
    return await anyio.to_thread.run_sync(
        read_to_end, caller, abandon_on_cancel=True
    )


def is_answered(response: bytes) -> bool:
    return response.startswith(b"HTTP/1.1 200") and b"got 4000" in response


@contextlib.contextmanager
def just_before_shutdown(act: Callable[[], None]) -> Iterator[None]:
    """Runs a function that blocks the loop just before a server shuts down."""
    shutdown = web._Server.shutdown

    async def act_first(self: Any, sockets: Any = None) -> None:
        act()
        await shutdown(self, sockets)

    with mock.patch.object(web._Server, "shutdown", act_first):
        yield


def test_requests_that_the_kernel_accepted_before_a_stop_are_answered() -> None:
    async def steps() -> None:
        callers: list[socket.socket] = []

        def send() -> None:
            for _ in range(CONNECTIONS):
                callers.append(socket.create_connection((HOST, port)))
                callers[-1].sendall(REQUEST)

        with just_before_shutdown(send):
            async with running(App()) as (server, port):
                server.stop()
                await server.wait_stopped()
            responses = [await read_all(caller) for caller in callers]
        for caller in callers:
            caller.close()
        assert len(responses) == CONNECTIONS
        assert all(is_answered(response) for response in responses)

    run_with_timeout(steps)


def test_request_on_an_idle_connection_that_crosses_a_stop_is_answered() -> (
    None
):
    async def steps() -> None:
        async with running(App()) as (server, port):
            with connected(port) as caller:
                caller.sendall(REQUEST)
                first = await anyio.to_thread.run_sync(caller.recv, 65_536)
                while b"got" not in first:
                    first += await anyio.to_thread.run_sync(caller.recv, 65_536)
                with just_before_shutdown(lambda: caller.sendall(REQUEST)):
                    server.stop()
                    assert is_answered(await read_all(caller))

    run_with_timeout(steps)


def test_idle_connections_end_without_a_reset() -> None:
    async def steps() -> None:
        async with running(App()) as (server, port):
            with connected(port) as caller:
                server.stop()
                assert await read_all(caller) == b""

    run_with_timeout(steps)


def test_half_read_heads_and_bodies_are_served_after_a_stop() -> None:
    async def steps() -> None:
        for cut in (10, len(HEAD) - 1, len(HEAD), len(HEAD) + 100):
            async with running(App()) as (server, port):
                with connected(port) as caller:
                    caller.sendall(REQUEST[:cut])
                    await anyio.sleep(0.1)
                    server.stop()
                    await anyio.sleep(0.3)
                    caller.sendall(REQUEST[cut:])
                    assert is_answered(await read_all(caller)), cut

    run_with_timeout(steps)


def test_response_that_has_begun_is_completed_after_a_stop() -> None:
    async def steps() -> None:
        app = App()
        app.holds = True
        async with running(app) as (server, port):
            with connected(port) as caller:
                caller.sendall(REQUEST)
                while not app.waiting:
                    await anyio.sleep(0.01)
                server.stop()
                await anyio.sleep(0.3)
                app.holds = False
                assert is_answered(await read_all(caller))

    run_with_timeout(steps)


def test_callers_that_trickle_a_head_or_a_body_are_refused() -> None:
    """Their connection would otherwise stay for as long as they like."""

    async def steps() -> None:
        for start, byte in (
            (b"GET /p HTTP/1.1\r\nx: ", b"a"),
            (HEAD, b"a"),
            (b"\r\n", b"\r\n"),
        ):
            async with running(App()) as (_, port):
                with connected(port) as caller:
                    caller.sendall(start)
                    response = await trickle(caller, byte)
                    assert response[:12] in (b"HTTP/1.1 408", b""), start

    with (
        mock.patch.object(web, "HEAD_TIMEOUT_S", 0.5),
        mock.patch.object(web, "IDLE_TIMEOUT_S", 0.5),
        mock.patch.object(web, "BODY_CHECK_INTERVAL_S", 0.5),
    ):
        run_with_timeout(steps)


def test_begun_head_does_not_cut_the_response_before_it() -> None:
    async def steps() -> None:
        app = App()
        app.holds = True
        async with running(app) as (_, port):
            with connected(port) as caller:
                caller.sendall(REQUEST + HEAD[:10])
                while not app.waiting:
                    await anyio.sleep(0.01)
                await anyio.sleep(0.8)
                app.holds = False
                response = await read_all(caller)
        first, _, second = response.partition(b"HTTP/1.1 408")
        assert is_answered(first)
        assert second, "the head that never ends is refused afterwards"

    with mock.patch.object(web, "HEAD_TIMEOUT_S", 0.3):
        run_with_timeout(steps)


async def trickle(caller: socket.socket, byte: bytes) -> bytes:
    """Sends a byte now and then until the server ends the connection."""
    caller.setblocking(False)
    while True:
        with contextlib.suppress(BlockingIOError):
            return caller.recv(65_536)
        caller.sendall(byte)
        await anyio.sleep(TRICKLE_S)


def test_slow_but_steady_body_is_served() -> None:
    async def steps() -> None:
        async with running(App()) as (_, port):
            with connected(port) as caller:
                caller.sendall(HEAD)
                for start in range(0, len(BODY), 100):
                    caller.sendall(BODY[start : start + 100])
                    await anyio.sleep(0.03)
                caller.shutdown(socket.SHUT_WR)
                response = await anyio.to_thread.run_sync(caller.recv, 65_536)
                assert response.startswith(b"HTTP/1.1 200")

    # The body takes 1.2 s in all and 3,300 bytes a second.
    with mock.patch.object(web, "BODY_CHECK_INTERVAL_S", 0.4):
        run_with_timeout(steps)


def test_head_without_end_is_refused() -> None:
    async def steps() -> None:
        async with running(App()) as (_, port):
            with connected(port) as caller:
                caller.sendall(b"GET /p HTTP/1.1\r\nx: ")

                def send() -> bytes:
                    with contextlib.suppress(OSError):
                        for _ in range(100):
                            caller.sendall(b"a" * 65_536)
                    with contextlib.suppress(ConnectionResetError):
                        return caller.recv(65_536)
                    return b"HTTP/1.1 431 reset"

                response = await anyio.to_thread.run_sync(send)
                assert response.startswith(b"HTTP/1.1 431")

    run_with_timeout(steps)


def test_server_uses_the_bounded_connections() -> None:
    server = web.HttpServer(App(), web.bind(HOST, 0))
    config: uvicorn.Config = server._server.config
    assert config.http is web._Connection

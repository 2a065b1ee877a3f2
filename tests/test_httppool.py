"""Tests of HttpPool against servers with unusual or faulty responses."""

from __future__ import annotations

import contextlib
import ssl
import unittest.mock
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import httpcore
import trustme
from anyio.streams.tls import TLSListener, TLSStream

from plumvane.httppool import (
    KEEPALIVE_SOCKET_OPTIONS,
    NETWORK_ERRORS,
    HttpPool,
)
from standins.launcher import free_port

OUTER_DEADLINE_S = 30.0
HOST = "127.0.0.1"
COMPLETE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
TRUNCATED = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Name: Value\r\ntransfer-encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n"
)
CHUNKED_TAIL = b"\r\n1\r\n!\r\n0\r\n\r\n"
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\n\r\nall of it"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + COMPLETE


class _Server:
    """Sends the next of its responses to each request, byte by byte.

    Attributes:
        connections: Number of accepted connections.
        requests: Data received at the start of each request.
        closed: Set when a connection was closed by the server.
    """

    def __init__(
        self, responses: list[bytes], *, closes_connection: bool
    ) -> None:
        self._responses = responses
        self._closes_connection = closes_connection
        self.connections = 0
        self.requests: list[bytes] = []
        self.closed = anyio.Event()

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        async with stream:
            while self._responses:
                try:
                    self.requests.append(await stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                response = self._responses.pop(0)
                for start in range(len(response)):
                    with contextlib.suppress(anyio.BrokenResourceError):
                        await stream.send(response[start : start + 1])
                if self._closes_connection:
                    break
        self.closed.set()


def _run(
    responses: list[bytes],
    test: Callable[[HttpPool, str, _Server], Awaitable[None]],
    *,
    closes_connection: bool = False,
) -> None:
    async def run() -> None:
        server = _Server(list(responses), closes_connection=closes_connection)
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        pool = HttpPool()
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, server.serve)
                await test(pool, f"http://{HOST}:{port}", server)
                await pool.aclose()
                group.cancel_scope.cancel()
        await listener.aclose()

    anyio.run(run)


def test_complete_responses_are_read_over_one_connection() -> None:
    async def check(pool: HttpPool, url: str, server: _Server) -> None:
        for body in (b"ok", b"hello!", b"ok"):
            response = await pool.request("GET", url + "/a?b=c")
            assert (response.status, response.content) == (200, body)
        assert server.connections == 1
        assert server.requests[0].startswith(b"GET /a?b=c HTTP/1.1\r\n")

    _run([COMPLETE, CHUNKED, INTERIM], check)


def test_body_without_content_length_ends_when_the_connection_closes() -> None:
    async def check(pool: HttpPool, url: str, server: _Server) -> None:
        response = await pool.request("GET", url)
        assert response.content == b"all of it"
        assert (await pool.request("GET", url)).content == b"ok"
        assert server.connections == 2

    _run([UNTIL_CLOSE, COMPLETE], check, closes_connection=True)


def test_truncated_responses_are_errors() -> None:
    async def check(pool: HttpPool, url: str, server: _Server) -> None:
        for _ in range(3):
            try:
                await pool.request("GET", url)
            except httpcore.ProtocolError:
                continue
            raise AssertionError("a truncated response was accepted")

    _run([TRUNCATED, CHUNKED[:-4], b"not http"], check, closes_connection=True)


def test_closed_idle_connection_is_not_reused() -> None:
    async def check(pool: HttpPool, url: str, server: _Server) -> None:
        assert (await pool.request("GET", url)).content == b"ok"
        await server.closed.wait()
        assert (await pool.request("GET", url)).content == b"ok"
        assert server.connections == 2

    _run([COMPLETE, COMPLETE], check, closes_connection=True)


def test_connection_of_an_unfinished_stream_is_not_reused() -> None:
    async def check(pool: HttpPool, url: str, server: _Server) -> None:
        async with pool.stream("GET", url) as response:
            text = b""
            async for part in response.aiter_stream():
                text += part
                if text == b"hello":
                    break
        assert (await pool.request("GET", url)).content == b"ok"
        assert server.connections == 2

    _run([CHUNKED[: -len(CHUNKED_TAIL)], COMPLETE], check)


def test_refused_connection_is_an_error() -> None:
    async def check() -> None:
        try:
            await HttpPool().request("GET", f"http://{HOST}:{free_port(HOST)}/")
        except httpcore.ConnectError:
            return
        raise AssertionError("no connection was refused")

    anyio.run(check)


def test_https_verifies_the_certificate() -> None:
    async def check() -> None:
        ca = trustme.CA()
        server_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        ca.issue_cert(HOST).configure_cert(server_context)
        client_context = ssl.create_default_context()
        ca.configure_trust(client_context)
        tcp = await anyio.create_tcp_listener(local_host=HOST)
        port = tcp.extra(anyio.abc.SocketAttribute.local_port)
        listener = TLSListener(tcp, server_context, standard_compatible=False)
        url = f"https://{HOST}:{port}/"

        async def serve(stream: TLSStream) -> None:
            async with stream:
                await stream.receive()
                await stream.send(COMPLETE)

        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, serve)
                response = await HttpPool(client_context).request("GET", url)
                assert response.content == b"ok"
                try:
                    await HttpPool().request("GET", url)
                except httpcore.ConnectError:
                    group.cancel_scope.cancel()
                else:
                    raise AssertionError("a false certificate was taken")
        await listener.aclose()

    anyio.run(check)


class _ResetStream:
    """A stream whose connection was reset right after it was opened."""

    _raw_socket = None

    async def aclose(self) -> None:
        """Closes the stream."""


def test_connection_that_is_reset_while_opened_is_a_network_error() -> None:
    async def connect(**kwargs: object) -> _ResetStream:
        return _ResetStream()

    async def run() -> None:
        pool = HttpPool(socket_options=KEEPALIVE_SOCKET_OPTIONS)
        try:
            await pool.request("GET", f"http://{HOST}:1/")
            raise AssertionError("the request succeeded")
        except NETWORK_ERRORS as error:
            assert isinstance(error, httpcore.ConnectError)

    with unittest.mock.patch("anyio.connect_tcp", connect):
        anyio.run(run)

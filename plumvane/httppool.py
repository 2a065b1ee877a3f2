"""Keep-alive HTTP/1.1 connections to a few origins.

One write sends a request and httptools reads the answer, so a call costs a
small part of what it does with httpcore. Its errors are httpcore's.
"""

from __future__ import annotations

import contextlib
import functools
import select
import ssl
from collections.abc import AsyncIterator
from typing import Any

import anyio
import anyio.abc
import httpcore
import httptools

from plumvane import clock

__all__ = ["NETWORK_ERRORS", "HttpPool", "Response"]

# Shorter than servers usually keep an idle connection.
KEEPALIVE_S = 4.0

#: What a call raises if the other side is lost or misbehaves.
NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)

_LOST = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)
_DEFAULT_PORTS = {"http": 80, "https": 443}
_LENGTH_HEADERS = {b"content-length", b"transfer-encoding"}


class Response:
    """An answer whose body may still be on its way.

    Attributes:
        status: HTTP status.
        headers: Names and values as they were sent.
        content: The whole body, once it was read by `aread`.
    """

    def __init__(self, connection: _Connection) -> None:
        self._connection = connection
        self.status = connection.status
        self.headers = connection.headers
        self.content = b""

    async def aread(self) -> bytes:
        """Reads the rest of the body.

        Raises:
            httpcore.NetworkError: The connection failed.
            httpcore.ProtocolError: The answer is cut off or not HTTP.
        """
        self.content = b"".join([part async for part in self.aiter_stream()])
        return self.content

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        """Yields the body, each piece what one read has brought.

        Raises:
            httpcore.NetworkError: The connection failed.
            httpcore.ProtocolError: The answer is cut off or not HTTP.
        """
        connection = self._connection
        while True:
            if body := connection.take_body():
                yield body
            if connection.is_complete:
                return
            await connection.read()


class _Connection:
    """One connection, with the state of the answer that it is reading.

    Attributes:
        status: Status of the answer.
        headers: Headers of the answer.
        has_headers: Whether all headers are read.
        is_complete: Whether the whole answer is read.
        is_reusable: Whether the connection takes another request.
    """

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self._stream = stream
        self._idle_since = 0.0
        raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self._poll = select.poll()
        self._poll.register(raw_socket.fileno(), select.POLLIN)
        self._parser: Any = None
        self._body: list[bytes] = []
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.has_headers = False
        self.is_complete = False
        self.is_reusable = False

    async def send(self, data: bytes) -> None:
        """Sends a request and reads the headers of its answer."""
        self._parser = httptools.HttpResponseParser(self)
        self._body = []
        self.headers = []
        self.has_headers = self.is_complete = self.is_reusable = False
        try:
            await self._stream.send(data)
        except _LOST as error:
            raise httpcore.WriteError(str(error)) from error
        while not self.has_headers:
            await self.read()

    async def read(self) -> None:
        """Reads what has come of the answer."""
        try:
            data = await self._stream.receive()
        except anyio.EndOfStream:
            self._take_end()
            return
        except _LOST as error:
            raise httpcore.ReadError(str(error)) from error
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error

    def take_body(self) -> bytes:
        """Returns what was read of the body since the last call."""
        if not self._body:
            return b""
        body = self._body
        self._body = []
        return body[0] if len(body) == 1 else b"".join(body)

    def rest(self) -> None:
        """Notes that the connection is idle from now on."""
        self._idle_since = clock.monotonic()

    def is_fresh(self) -> bool:
        """Returns whether an idle connection may be used again.

        One that has something to read was closed by the other side.
        """
        idle_s = clock.monotonic() - self._idle_since
        return idle_s < KEEPALIVE_S and not self._poll.poll(0)

    async def aclose(self) -> None:
        """Closes the connection."""
        with anyio.CancelScope(shield=True), contextlib.suppress(*_LOST):
            await self._stream.aclose()

    def on_status(self, status: bytes) -> None:
        """Takes the start of an answer in."""
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header in."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Takes in that the headers are read."""
        self.status = self._parser.get_status_code()
        self.has_headers = self.status >= 200

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body in."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Takes the end of the answer in; an interim one has no meaning."""
        if self.has_headers:
            self.is_complete = True
            self.is_reusable = self._parser.should_keep_alive()

    def _take_end(self) -> None:
        """Takes in that the other side has closed the connection."""
        names = {name.lower() for name, _ in self.headers}
        if not self.has_headers or names & _LENGTH_HEADERS:
            raise httpcore.RemoteProtocolError("The answer was cut off.")
        self.is_complete = True


class HttpPool:
    """Sends HTTP/1.1 requests over connections that it keeps."""

    def __init__(self, ssl_context: ssl.SSLContext | None = None) -> None:
        """Creates an empty pool.

        Args:
            ssl_context: How the servers of https URLs are checked.
        """
        self._ssl_context = ssl_context
        self._idle_by_origin: dict[str, list[_Connection]] = {}

    async def aclose(self) -> None:
        """Closes the idle connections."""
        for idle in self._idle_by_origin.values():
            while idle:
                await idle.pop().aclose()

    async def request(
        self,
        method: str,
        url: str,
        *,
        headers: list[tuple[str, str]] | None = None,
        content: bytes = b"",
        connect_timeout_s: float | None = None,
    ) -> Response:
        """Sends a request and reads the whole answer.

        Args:
            method: HTTP method.
            url: Absolute URL.
            headers: Headers beside those that HTTP needs.
            content: Body.
            connect_timeout_s: Longest time that connecting may take.

        Raises:
            httpcore.NetworkError: The connection failed.
            httpcore.ProtocolError: The answer is not HTTP.
            httpcore.TimeoutException: Connecting took too long.
        """
        async with self.stream(
            method,
            url,
            headers=headers,
            content=content,
            connect_timeout_s=connect_timeout_s,
        ) as response:
            await response.aread()
            return response

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        *,
        headers: list[tuple[str, str]] | None = None,
        content: bytes = b"",
        connect_timeout_s: float | None = None,
    ) -> AsyncIterator[Response]:
        """Sends a request and yields the answer before its body is read.

        See `request` for the arguments and errors.
        """
        origin, target = _split(url)
        data = _request_bytes(method, origin, target, headers or [], content)
        connection = await self._take(origin, connect_timeout_s)
        try:
            await connection.send(data)
            yield Response(connection)
        finally:
            if connection.is_complete and connection.is_reusable:
                connection.rest()
                self._idle_by_origin.setdefault(origin, []).append(connection)
            else:
                await connection.aclose()

    async def _take(
        self, origin: str, connect_timeout_s: float | None
    ) -> _Connection:
        idle = self._idle_by_origin.get(origin, [])
        while idle:
            connection = idle.pop()
            if connection.is_fresh():
                return connection
            await connection.aclose()
        return await self._connect(origin, connect_timeout_s)

    async def _connect(
        self, origin: str, timeout_s: float | None
    ) -> _Connection:
        scheme, host, port = _address(origin)
        try:
            with anyio.fail_after(timeout_s):
                if scheme == "http":
                    return _Connection(await anyio.connect_tcp(host, port))
                return _Connection(
                    await anyio.connect_tcp(
                        host,
                        port,
                        tls=True,
                        ssl_context=self._ssl_context,
                        tls_standard_compatible=False,
                    )
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(f"{origin} is silent.") from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error


def _split(url: str) -> tuple[str, str]:
    """Returns the origin and the path with its query."""
    scheme, _, rest = url.partition("://")
    authority, _, path = rest.partition("/")
    return f"{scheme}://{authority}", f"/{path}"


@functools.lru_cache(maxsize=256)
def _address(origin: str) -> tuple[str, str, int]:
    """Returns the scheme, host and port of an origin."""
    scheme, _, authority = origin.partition("://")
    if scheme not in _DEFAULT_PORTS:
        raise httpcore.UnsupportedProtocol(f"{origin} is not an HTTP origin.")
    host, colon, port = authority.rpartition(":")
    if not colon or authority.endswith("]"):
        host, port = authority, str(_DEFAULT_PORTS[scheme])
    return scheme, host.strip("[]"), int(port)


def _request_bytes(
    method: str,
    origin: str,
    target: str,
    headers: list[tuple[str, str]],
    content: bytes,
) -> bytes:
    """Returns a whole request.

    Raises:
        httpcore.LocalProtocolError: A part would break its line.
    """
    host = origin.partition("://")[2]
    lines = [f"{method} {target} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"content-length: {len(content)}")
    if " " in target or any("\r" in line or "\n" in line for line in lines):
        raise httpcore.LocalProtocolError("A line holds what would end it.")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + content

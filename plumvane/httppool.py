"""Pool of keep-alive HTTP connections to a few origins, on httpcore.

httpcore's own pool checks every connection on every request, so the cost of a
request grows with the number of connections. This pool keeps the idle
connections of an origin on a stack and checks only the one it pops.
"""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import ssl
from collections.abc import AsyncIterator, Iterable, Sequence
from typing import Any

import anyio
import httpcore

from plumvane import clock

__all__ = [
    "BodyBudget",
    "KEEPALIVE_SOCKET_OPTIONS",
    "MAX_HELD_BYTES",
    "NETWORK_ERRORS",
    "HttpPool",
    "OversizedResponseError",
    "read_body",
]

Headers = Sequence[tuple[str, str]] | Sequence[tuple[bytes, bytes]]

# Idle time after which a connection is not reused, in seconds. Shorter than the
# usual idle timeout of servers.
KEEPALIVE_EXPIRY_S = 4.0
# Interval of the check for idle connections that the server has closed or that
# have expired, in seconds.
PRUNE_INTERVAL_S = 1.0

# Maximum number of bytes that a server may send until the head of its response
# is complete; informational responses count, and so does what arrives together
# with the head. httpcore limits a single head to 100 KB.
MAX_HEAD_BYTES = 262_144
# Maximum size of all bodies together that the requests of a pool hold at a
# time, in bytes. The largest are listings and values of a store, of about 1 MB.
MAX_HELD_BYTES = 33_554_432

# TCP_USER_TIMEOUT: time with unacknowledged bytes after which the kernel closes
# a connection, in milliseconds. The longest round trips within one region take
# a few milliseconds.
TCP_USER_TIMEOUT_MS = 1500
# Idle time before the first TCP keepalive probe and time between probes, in
# seconds, and number of unanswered probes after which the kernel closes the
# connection.
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2

#: Socket options that close a connection whose remote host stopped answering.
KEEPALIVE_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
)

#: Raised by requests if the server is unreachable, closes the connection,
#: violates HTTP or exceeds a timeout.
NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class OversizedResponseError(httpcore.RemoteProtocolError):
    """A response exceeds a limit on its size."""


@dataclasses.dataclass(slots=True)
class BodyBudget:
    """Limits the size of all bodies together that are being read.

    Attributes:
        max_bytes: Maximum size of the bodies.
        held_bytes: Size of what has been read of them.
    """

    max_bytes: int
    held_bytes: int = 0

    def add(self, size: int) -> None:
        """Adds a part of a body.

        Raises:
            OversizedResponseError: The bodies exceed the maximum.
        """
        self.held_bytes += size
        if self.held_bytes > self.max_bytes:
            raise OversizedResponseError(
                f"The bodies of responses are over {self.max_bytes} bytes."
            )


@dataclasses.dataclass(slots=True)
class _ReadLimit:
    """Number of bytes that may be read from a server; None for no limit."""

    readable_bytes: int | None = None


class _LimitedStream(httpcore.AsyncNetworkStream):
    """Byte stream from a server that can be limited."""

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, limit: _ReadLimit
    ) -> None:
        self._stream = stream
        self._limit = limit

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        data = await self._stream.read(max_bytes, timeout)
        if self._limit.readable_bytes is not None:
            self._limit.readable_bytes -= len(data)
            if self._limit.readable_bytes < 0:
                raise OversizedResponseError(
                    f"The head of the response is over {MAX_HEAD_BYTES} bytes."
                )
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await self._stream.start_tls(
            ssl_context, server_hostname, timeout
        )
        return _LimitedStream(stream, self._limit)

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)


class _LimitingBackend(httpcore.AnyIOBackend):
    """Opens connections whose streams can be limited."""

    def __init__(self, limit: _ReadLimit) -> None:
        self._limit = limit

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """See base class; a reset while connecting is a network error."""
        try:
            stream = await super().connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        except AttributeError as error:
            # httpcore sets the options on the socket, which the event loop has
            # removed from a connection that was reset.
            raise httpcore.ConnectError(
                f"The connection to {host}:{port} was reset."
            ) from error
        return _LimitedStream(stream, self._limit)


class _Connection(httpcore.AsyncHTTPConnection):
    """Connection that limits response heads and detects surplus bytes."""

    def __init__(
        self,
        origin: httpcore.Origin,
        ssl_context: ssl.SSLContext | None,
        socket_options: Iterable[httpcore.SOCKET_OPTION],
    ) -> None:
        self.read_limit = _ReadLimit()
        super().__init__(
            origin=origin,
            ssl_context=ssl_context,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            network_backend=_LimitingBackend(self.read_limit),
            socket_options=socket_options,
        )

    def is_reusable(self) -> bool:
        """Returns whether the connection is open and awaits a request."""
        return (
            self.is_idle()
            and not self.is_closed()
            and not self.has_expired()
            and not self._has_surplus_bytes()
        )

    def _has_surplus_bytes(self) -> bool:
        """Returns whether bytes follow the response in the parser's buffer.

        httpcore would take them for the next response. It has no public
        attribute for them.
        """
        http11: Any = self._connection
        surplus, _ = http11._h11_state.trailing_data
        return bool(surplus)


class HttpPool:
    """Sends HTTP/1.1 requests over pooled keep-alive connections."""

    def __init__(
        self,
        ssl_context: ssl.SSLContext | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] = (),
        *,
        reuses_connections: bool = True,
    ) -> None:
        """Creates an empty pool.

        Args:
            ssl_context: TLS context that verifies servers of https URLs;
                httpcore's default if None.
            socket_options: Options set on the sockets of new connections.
            reuses_connections: Whether connections are kept for further
                requests. A server whose responses do not name their request
                may send one twice, which the next request would read.
        """
        self._budget = BodyBudget(MAX_HELD_BYTES)
        self._reuses_connections = reuses_connections
        self._ssl_context = ssl_context
        self._socket_options = tuple(socket_options)
        self._idle_by_origin: dict[str, list[_Connection]] = {}
        self._next_prune_at = 0.0

    async def aclose(self) -> None:
        """Closes the idle connections."""
        for idle in self._idle_by_origin.values():
            while idle:
                await idle.pop().aclose()

    async def request(
        self,
        method: str,
        url: str | httpcore.URL,
        *,
        headers: Headers | None = None,
        content: bytes = b"",
        extensions: dict[str, Any] | None = None,
        use_new_connection: bool = False,
    ) -> httpcore.Response:
        """Sends a request and reads the complete response.

        Args:
            method: HTTP method.
            url: Absolute URL.
            headers: Request headers besides those that HTTP requires.
            content: Request body.
            extensions: httpcore's extensions, such as `timeout`.
            use_new_connection: Opens a new connection instead of reusing an
                idle one.

        Raises:
            OversizedResponseError: The head is over its limit, or the body
                together with those of other requests.
            httpcore.NetworkError: The connection failed.
            httpcore.ProtocolError: The response is malformed or incomplete.
            httpcore.TimeoutException: A timeout in `extensions` expired.
        """
        async with self.stream(
            method,
            url,
            headers=headers,
            content=content,
            extensions=extensions,
            use_new_connection=use_new_connection,
        ) as response:
            complete = httpcore.Response(
                response.status,
                headers=response.headers,
                content=await read_body(response, self._budget),
            )
            complete.read()
            return complete

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str | httpcore.URL,
        *,
        headers: Headers | None = None,
        content: bytes = b"",
        extensions: dict[str, Any] | None = None,
        use_new_connection: bool = False,
    ) -> AsyncIterator[httpcore.Response]:
        """Sends a request and yields the response before its body is read.

        See `request` for the other arguments and the errors.

        Args:
            method: HTTP method.
            url: Absolute URL.
            headers: Request headers besides those that HTTP requires.
            content: Request body.
            extensions: httpcore's extensions, such as `timeout`.
            use_new_connection: Opens a new connection instead of reusing an
                idle one.
        """
        target = url if isinstance(url, httpcore.URL) else httpcore.URL(url)
        if use_new_connection:
            connection = self._new_connection(target.origin)
        else:
            connection = await self._acquire(target.origin)
        connection.read_limit.readable_bytes = MAX_HEAD_BYTES
        is_complete = False
        try:
            async with connection.stream(
                method,
                target,
                headers=headers or [],
                content=content,
                extensions=extensions or {},
            ) as response:
                connection.read_limit.readable_bytes = None
                yield response
            is_complete = True
        finally:
            # After an error the server may still send data of this response,
            # which the next request would read.
            if (
                self._reuses_connections
                and is_complete
                and connection.is_reusable()
            ):
                self._idle_by_origin.setdefault(str(target.origin), []).append(
                    connection
                )
            else:
                await _close(connection)

    async def _acquire(self, origin: httpcore.Origin) -> _Connection:
        await self._prune()
        idle = self._idle_by_origin.get(str(origin), [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable():
                return connection
            await connection.aclose()
        return self._new_connection(origin)

    async def _prune(self) -> None:
        """Closes the idle connections that can no longer be used."""
        now = clock.monotonic()
        if now < self._next_prune_at:
            return
        self._next_prune_at = now + PRUNE_INTERVAL_S
        unusable: list[_Connection] = []
        for origin, idle in list(self._idle_by_origin.items()):
            usable: list[_Connection] = []
            for connection in idle:
                kept = usable if connection.is_reusable() else unusable
                kept.append(connection)
            idle[:] = usable
            if not idle:
                del self._idle_by_origin[origin]
        for connection in unusable:
            await _close(connection)

    def _new_connection(self, origin: httpcore.Origin) -> _Connection:
        return _Connection(origin, self._ssl_context, self._socket_options)


async def read_body(response: httpcore.Response, budget: BodyBudget) -> bytes:
    """Reads the body of a response.

    Args:
        response: The response, whose body has not been read.
        budget: Limits the body together with the others that are being read.

    Raises:
        OversizedResponseError: The budget is exceeded.
    """
    body = bytearray()
    try:
        async for part in response.aiter_stream():
            body += part
            budget.add(len(part))
    finally:
        budget.held_bytes -= len(body)
    return bytes(body)


async def _close(connection: _Connection) -> None:
    with anyio.CancelScope(shield=True):
        await connection.aclose()

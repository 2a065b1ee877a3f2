"""Pool of keep-alive HTTP connections to a few origins, on httpcore.

httpcore's own pool checks every connection on every request, so the cost of a
request grows with the number of connections. This pool keeps the idle
connections of an origin on a stack and checks only the one it pops.
"""

from __future__ import annotations

import contextlib
import socket
import ssl
from collections.abc import AsyncIterator, Iterable, Sequence
from typing import Any

import anyio
import httpcore

__all__ = ["NETWORK_ERRORS", "KEEPALIVE_SOCKET_OPTIONS", "HttpPool"]

Headers = Sequence[tuple[str, str]] | Sequence[tuple[bytes, bytes]]

# Idle time after which a connection is not reused, in seconds. Shorter than the
# usual idle timeout of servers.
KEEPALIVE_EXPIRY_S = 4.0

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


class _Backend(httpcore.AnyIOBackend):
    """Opens connections; a reset in the meantime is a network error."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """See base class."""
        try:
            return await super().connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        except AttributeError as error:
            # httpcore sets the options on the socket, which the event loop has
            # removed from a connection that was reset.
            raise httpcore.ConnectError(
                f"The connection to {host}:{port} was reset."
            ) from error


class HttpPool:
    """Sends HTTP/1.1 requests over pooled keep-alive connections."""

    def __init__(
        self,
        ssl_context: ssl.SSLContext | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] = (),
    ) -> None:
        """Creates an empty pool.

        Args:
            ssl_context: TLS context that verifies servers of https URLs;
                httpcore's default if None.
            socket_options: Options set on the sockets of new connections.
        """
        self._ssl_context = ssl_context
        self._socket_options = tuple(socket_options)
        self._idle_by_origin: dict[str, list[httpcore.AsyncHTTPConnection]] = {}

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
    ) -> httpcore.Response:
        """Sends a request and reads the complete response.

        Args:
            method: HTTP method.
            url: Absolute URL.
            headers: Request headers besides those that HTTP requires.
            content: Request body.
            extensions: httpcore's extensions, such as `timeout`.

        Raises:
            httpcore.NetworkError: The connection failed.
            httpcore.ProtocolError: The response is malformed or incomplete.
            httpcore.TimeoutException: A timeout in `extensions` expired.
        """
        async with self.stream(
            method, url, headers=headers, content=content, extensions=extensions
        ) as response:
            await response.aread()
            return response

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
        is_reusable = False
        try:
            async with connection.stream(
                method,
                target,
                headers=headers or [],
                content=content,
                extensions=extensions or {},
            ) as response:
                yield response
            is_reusable = True
        finally:
            # After an error the server may still send data of this response,
            # which the next request would read.
            if is_reusable:
                await self._release(target.origin, connection)
            else:
                await _close(connection)

    async def _acquire(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncHTTPConnection:
        idle = self._idle_by_origin.get(str(origin), [])
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
            await connection.aclose()
        return self._new_connection(origin)

    def _new_connection(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncHTTPConnection:
        return httpcore.AsyncHTTPConnection(
            origin=origin,
            ssl_context=self._ssl_context,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            socket_options=self._socket_options,
            network_backend=_Backend(),
        )

    async def _release(
        self, origin: httpcore.Origin, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        if connection.is_idle() and not connection.is_closed():
            self._idle_by_origin.setdefault(str(origin), []).append(connection)
            return
        await _close(connection)


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    with anyio.CancelScope(shield=True):
        await connection.aclose()

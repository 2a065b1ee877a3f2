"""Keep-alive HTTP connections to a few origins, on httpcore.

httpcore's own pool looks at every connection on every request, so its cost
grows with the connections. This one keeps idle connections in a stack and
looks only at the one it takes.
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

# Shorter than servers usually keep an idle connection.
KEEPALIVE_S = 4.0

# Time with unacknowledged bytes after which a connection is lost, in
# milliseconds; the longest round trips in one region take a few.
UNACKNOWLEDGED_MS = 1500
# Idle time before the first probe and between probes, in seconds, and probes
# without an answer after which the connection is lost.
PROBE_S = 1
PROBES = 2

#: Socket options that end a connection whose other side went silent.
KEEPALIVE_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
)

#: What a call raises if the other side is lost or misbehaves.
NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class HttpPool:
    """Sends HTTP/1.1 requests over connections that it keeps."""

    def __init__(
        self,
        ssl_context: ssl.SSLContext | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] = (),
    ) -> None:
        """Creates an empty pool.

        Args:
            ssl_context: How the servers of https URLs are checked.
            socket_options: Options of the connections' sockets.
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
        """Sends a request and reads the whole answer.

        Args:
            method: HTTP method.
            url: Absolute URL.
            headers: Headers beside those that HTTP needs.
            content: Body.
            extensions: httpcore's extensions, such as `timeout`.

        Raises:
            httpcore.NetworkError: The connection failed.
            httpcore.ProtocolError: The answer is not HTTP.
            httpcore.TimeoutException: A time limit in `extensions` passed.
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
        """Sends a request and yields the answer before its body is read.

        See `request` for the other arguments and the errors.

        Args:
            method: HTTP method.
            url: Absolute URL.
            headers: Headers beside those that HTTP needs.
            content: Body.
            extensions: httpcore's extensions, such as `timeout`.
            use_new_connection: Whether the request gets a new connection.
        """
        target = url if isinstance(url, httpcore.URL) else httpcore.URL(url)
        if use_new_connection:
            connection = self._connection(target.origin)
        else:
            connection = await self._take(target.origin)
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
            # After an error the other side may still send what belongs to
            # this request.
            if is_reusable:
                await self._give_back(target.origin, connection)
            else:
                await _close(connection)

    async def _take(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncHTTPConnection:
        idle = self._idle_by_origin.get(str(origin), [])
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
            await connection.aclose()
        return self._connection(origin)

    def _connection(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncHTTPConnection:
        return httpcore.AsyncHTTPConnection(
            origin=origin,
            ssl_context=self._ssl_context,
            keepalive_expiry=KEEPALIVE_S,
            socket_options=self._socket_options,
        )

    async def _give_back(
        self, origin: httpcore.Origin, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        if connection.is_idle() and not connection.is_closed():
            self._idle_by_origin.setdefault(str(origin), []).append(connection)
            return
        await _close(connection)


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    with anyio.CancelScope(shield=True):
        await connection.aclose()

"""Keep-alive HTTP connections to a few origins, on httpcore.

httpcore's own pool looks at every connection on every request, so its cost
grows with the connections. This one keeps idle connections in a stack and
looks only at the one it takes.
"""

from __future__ import annotations

import contextlib
import ssl
from collections.abc import AsyncIterator
from typing import Any

import anyio
import httpcore

__all__ = ["NETWORK_ERRORS", "HttpPool"]

# Shorter than servers usually keep an idle connection.
KEEPALIVE_S = 4.0

#: What a call raises if the other side is lost or misbehaves.
NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class HttpPool:
    """Sends HTTP/1.1 requests over connections that it keeps."""

    def __init__(self, ssl_context: ssl.SSLContext | None = None) -> None:
        """Creates an empty pool.

        Args:
            ssl_context: How the servers of https URLs are checked.
        """
        self._ssl_context = ssl_context
        self._idle_by_origin: dict[str, list[httpcore.AsyncHTTPConnection]] = {}

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
        url: str,
        *,
        headers: list[tuple[str, str]] | None = None,
        content: bytes = b"",
        extensions: dict[str, Any] | None = None,
    ) -> AsyncIterator[httpcore.Response]:
        """Sends a request and yields the answer before its body is read.

        See `request` for the arguments and errors.
        """
        target = httpcore.URL(url)
        connection = await self._take(target.origin)
        try:
            async with connection.stream(
                method,
                target,
                headers=headers or [],
                content=content,
                extensions=extensions or {},
            ) as response:
                yield response
        finally:
            await self._give_back(target.origin, connection)

    async def _take(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncHTTPConnection:
        idle = self._idle_by_origin.get(str(origin), [])
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
            await connection.aclose()
        return httpcore.AsyncHTTPConnection(
            origin=origin,
            ssl_context=self._ssl_context,
            keepalive_expiry=KEEPALIVE_S,
        )

    async def _give_back(
        self, origin: httpcore.Origin, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        if connection.is_idle() and not connection.is_closed():
            self._idle_by_origin.setdefault(str(origin), []).append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()

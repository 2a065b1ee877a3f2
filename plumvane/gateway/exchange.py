"""One HTTP request of a caller and its response, over ASGI."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from plumvane import clock
from plumvane.errors import BodyTooLargeError
from plumvane.gateway.memory import HeldBytes
from plumvane.platform.requests import (
    CallerRequest,
    body_length,
    decode_request,
)

__all__ = ["CallerDisconnectedError", "Exchange"]

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its response was complete."""


class Exchange:
    """Reads one request and sends its response."""

    def __init__(
        self, scope: Message, receive: Receive, send: Send, is_closing: bool
    ) -> None:
        """Creates the exchange.

        Args:
            scope: ASGI scope of the request.
            receive: ASGI's receive.
            send: ASGI's send.
            is_closing: Whether to close the connection after the response.
        """
        self.request: CallerRequest = decode_request(
            scope["method"],
            scope["raw_path"],
            scope["query_string"],
            list(scope["headers"]),
        )
        # Status of the response; 0 until its head is sent.
        self.status = 0
        # Value of the label `route` in the metrics.
        self.kind = "unrouted"
        # Monotonic time in seconds at which the head of the response was sent.
        self.started_at = 0.0
        self._receive = receive
        self._send = send
        self._is_closing = is_closing
        self._announced_bytes = body_length(scope["headers"])

    @property
    def has_started(self) -> bool:
        """Whether the head of the response was sent."""
        return self.status > 0

    async def read_body(self, max_bytes: int, held: HeldBytes) -> bytes:
        """Reads the request's body.

        Args:
            max_bytes: Largest size of the body.
            held: Account of the bytes that are held for the request.

        Raises:
            BodyTooLargeError: The body is over `max_bytes`.
            CallerDisconnectedError: The caller disconnected.
            OverloadedError: There is no memory for the body.
        """
        held.require(min(self._announced_bytes, max_bytes))
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            part = message.get("body", b"")
            size += len(part)
            if size > max_bytes:
                raise BodyTooLargeError(
                    f"The request body is over {max_bytes} bytes."
                )
            held.require(size)
            parts.append(part)
            if not message.get("more_body"):
                return b"".join(parts)

    async def wait_disconnected(self) -> None:
        """Returns once the caller has closed its connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Sends the status and headers of the response."""
        self.started_at = clock.monotonic()
        self.status = status
        if self._is_closing:
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def send_part(self, body: bytes) -> None:
        """Sends a part of the body; more parts follow."""
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )

    async def finish(self, body: bytes = b"") -> None:
        """Sends the last part of the body."""
        await self._send({"type": "http.response.body", "body": body})

    async def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        """Sends a complete response."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*(headers or []), length])
        await self.finish(body)

"""Shared fixtures: TCP servers that send HTTP responses byte for byte."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.abc

__all__ = ["HOST", "Answer", "header", "serving"]

HOST = "127.0.0.1"

Answer = Callable[[anyio.abc.SocketStream, bytes], Awaitable[None]]


@contextlib.asynccontextmanager
async def serving(answer: Answer) -> AsyncIterator[int]:
    """Runs a server on loopback and yields its port.

    Args:
        answer: Called with the connection and the head of each request. The
            connection is closed if it raises `anyio.EndOfStream`.
    """

    async def serve(stream: anyio.abc.SocketStream) -> None:
        head = b""
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                while True:
                    head += await stream.receive()
                    if b"\r\n\r\n" in head:
                        await answer(stream, head)
                        head = b""

    listener = await anyio.create_tcp_listener(local_host=HOST)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        yield listener.extra(anyio.abc.SocketAttribute.local_port)
        group.cancel_scope.cancel()


def header(head: bytes, name: str) -> str:
    """Returns the value of a header of a request; empty if it has none."""
    for line in head.decode("latin-1").split("\r\n"):
        found, _, value = line.partition(":")
        if found.lower() == name:
            return value.strip()
    return ""

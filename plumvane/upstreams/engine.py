"""Client of a model engine: streamed completions and their cancellation."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import httpcore

from plumvane import clock
from plumvane.errors import (
    BadRequestError,
    UpstreamFailedError,
    UpstreamLostError,
)
from plumvane.httppool import NETWORK_ERRORS, HttpPool

__all__ = ["CompletionChunk", "EngineClient"]

CANCEL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionChunk:
    """One event of a completion stream.

    Attributes:
        text: Generated text.
        tokens: Number of tokens in the text.
        finish_reason: Reason for the end of the stream; None before the last
            chunk.
        has_more: Whether later chunks of the stream were received in the same
            read.
    """

    text: str
    tokens: int
    finish_reason: str | None
    has_more: bool = False


class EngineClient:
    """Calls one engine through its completions API."""

    def __init__(self, url: str, observe_step: Callable[[float], None]) -> None:
        """Creates the client.

        Args:
            url: Base URL of the engine.
            observe_step: Called with the seconds between two consecutive tokens
                of a stream.
        """
        self._observe_step = observe_step
        self._url = url.rstrip("/")
        self._pool = HttpPool(reuses_connections=False)

    async def stream(
        self,
        request_id: str,
        body: dict[str, Any],
        *,
        resume_text: str = "",
        resume_tokens: int = 0,
    ) -> AsyncIterator[CompletionChunk]:
        """Runs a completion and yields its chunks.

        Args:
            request_id: Identifier by which `cancel` stops the stream.
            body: The completion request.
            resume_text: Text that an earlier stream has already generated.
            resume_tokens: Number of tokens in that text.

        Raises:
            BadRequestError: The engine rejects the request.
            UpstreamFailedError: The engine reports an error or sends an invalid
                response.
            UpstreamLostError: The connection cannot be opened or is lost.
        """
        payload = {**body, "stream": True, "request_id": request_id}
        if resume_tokens:
            payload["resume_text"] = resume_text
            payload["resume_tokens"] = resume_tokens
        try:
            async with self._pool.stream(
                "POST",
                f"{self._url}/v1/completions",
                headers=[("content-type", "application/json")],
                content=json.dumps(payload).encode(),
                extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
            ) as response:
                await _check_status(response)
                last_read_at = 0.0
                async for events in _read_events(response):
                    read_at = clock.monotonic()
                    chunks = list(filter(None, map(_parse_event, events)))
                    if last_read_at and len(chunks) == 1:
                        self._observe_step(read_at - last_read_at)
                    last_read_at = read_at
                    for number, chunk in enumerate(chunks, 1):
                        has_more = number < len(chunks)
                        yield dataclasses.replace(chunk, has_more=has_more)
        except NETWORK_ERRORS as error:
            raise UpstreamLostError(
                f"The connection to the engine failed: {type(error).__name__}.",
                not_run=isinstance(
                    error, (httpcore.ConnectError, httpcore.ConnectTimeout)
                ),
            ) from error

    async def cancel(self, request_id: str) -> None:
        """Asks the engine to stop a stream.

        Network errors and time-outs are ignored: the stream then runs until it
        ends by itself.
        """
        try:
            with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
                await self._pool.request(
                    "POST", f"{self._url}/v1/cancel/{request_id}"
                )
        except NETWORK_ERRORS:
            return


async def _check_status(response: httpcore.Response) -> None:
    if response.status == 200:
        return
    text = (await response.aread()).decode(errors="replace")[:500]
    if 400 <= response.status < 500:
        raise BadRequestError(f"The engine rejected the request: {text}")
    raise UpstreamFailedError(
        f"The engine returned status {response.status}: {text}"
    )


async def _read_events(
    response: httpcore.Response,
) -> AsyncIterator[list[bytes]]:
    """Yields the data of the complete server-sent events of each read."""
    buffer = b""
    async for block in response.aiter_stream():
        *lines, buffer = (buffer + block).split(b"\n")
        events = [line[6:] for line in lines if line.startswith(b"data: ")]
        if events:
            yield events


def _parse_event(data: bytes) -> CompletionChunk | None:
    if data == b"[DONE]":
        return None
    try:
        event = json.loads(data)
        if "error" in event:
            raise UpstreamFailedError(str(event["error"]))
        choice = event["choices"][0]
        return CompletionChunk(
            choice["text"], event.get("tokens", 1), choice.get("finish_reason")
        )
    except (ValueError, KeyError, IndexError, TypeError) as error:
        raise UpstreamFailedError(
            f"The engine sent an invalid event: {error!r}."
        ) from error

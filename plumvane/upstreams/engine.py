"""Client of a model engine: streams, cancel, load and orders."""

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
    """A piece of an engine's stream.

    Attributes:
        text: The text.
        tokens: How many tokens it holds.
        finish_reason: Why the stream ends, on its last piece.
        more: Whether further pieces were read with it.
    """

    text: str
    tokens: int
    finish_reason: str | None
    has_more: bool = False


class EngineClient:
    """Calls one engine over its completions interface."""

    def __init__(self, url: str, observe_step: Callable[[float], None]) -> None:
        """Creates the client.

        Args:
            url: Base URL of the engine.
            observe_step: Told the seconds between two tokens of a stream.
        """
        self._observe_step = observe_step
        self._url = url.rstrip("/")
        self._pool = HttpPool()

    async def stream(
        self,
        request_id: str,
        body: dict[str, Any],
        *,
        resume_text: str = "",
        resume_tokens: int = 0,
    ) -> AsyncIterator[CompletionChunk]:
        """Runs a completion and yields its pieces.

        Args:
            request_id: Identifier for a later cancel.
            body: The completion request.
            resume_text: Text that an earlier stream already gave.
            resume_tokens: How many tokens that text has.

        Raises:
            BadRequestError: The engine refuses the request.
            UpstreamFailedError: The engine failed or was lost.
        """
        sent = {**body, "stream": True, "request_id": request_id}
        if resume_tokens:
            sent["resume_text"] = resume_text
            sent["resume_tokens"] = resume_tokens
        try:
            async with self._pool.stream(
                "POST",
                f"{self._url}/v1/completions",
                headers=[("content-type", "application/json")],
                content=json.dumps(sent).encode(),
                extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
            ) as response:
                await _check_status(response)
                last = 0.0
                async for lines in _lines(response):
                    now = clock.monotonic()
                    tokens = list(filter(None, map(_parse, lines)))
                    if last and len(tokens) == 1:
                        self._observe_step(now - last)
                    last = now
                    for number, token in enumerate(tokens, 1):
                        has_more = number < len(tokens)
                        yield dataclasses.replace(token, has_more=has_more)
        except NETWORK_ERRORS as error:
            raise UpstreamLostError(
                f"The engine was lost: {type(error).__name__}.",
                not_run=isinstance(
                    error, (httpcore.ConnectError, httpcore.ConnectTimeout)
                ),
            ) from error

    async def cancel(self, request_id: str) -> None:
        """Asks the engine to stop a stream; errors are left to its end."""
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
        raise BadRequestError(f"The engine refused the request: {text}")
    raise UpstreamFailedError(f"The engine answered {response.status}: {text}")


async def _lines(response: httpcore.Response) -> AsyncIterator[list[bytes]]:
    """Yields the data of the whole events of each read."""
    rest = b""
    async for data in response.aiter_stream():
        *lines, rest = (rest + data).split(b"\n")
        found = [line[6:] for line in lines if line.startswith(b"data: ")]
        if found:
            yield found


def _parse(line: bytes) -> CompletionChunk | None:
    if line == b"[DONE]":
        return None
    try:
        piece = json.loads(line)
        if "error" in piece:
            raise UpstreamFailedError(str(piece["error"]))
        choice = piece["choices"][0]
        return CompletionChunk(
            choice["text"], piece.get("tokens", 1), choice.get("finish_reason")
        )
    except (ValueError, KeyError, IndexError, TypeError) as error:
        raise UpstreamFailedError(
            f"The engine's answer is not understood: {error!r}."
        ) from error

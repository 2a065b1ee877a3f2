"""A streamed completion as server-sent events."""

from __future__ import annotations

import json

import msgspec
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from plumvane.entry.problems import outcome_error, problem_body
from plumvane.entry.running import Answer, RunningRequest
from plumvane.errors import PlumvaneError

__all__ = ["EventStream"]

_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-store"),
]
_DONE = b"data: [DONE]\n\n"

_encode = msgspec.json.Encoder().encode


class EventStream(Response):
    """Sends a request's text as it comes; its last event follows the commit.

    A caller that disconnects does not end the request, so nothing is read
    from the connection meanwhile.
    """

    def __init__(self, running: RunningRequest, model: str) -> None:
        """Creates the response.

        Args:
            running: The request.
            model: Name of the model, for the events.
        """
        self.status_code = 200
        self.background = None
        self._running = running
        self._model = model
        self._given = 0
        head = {
            "id": running.request_id,
            "object": "text_completion",
            "model": model,
        }
        self._head = (
            b"data: "
            + _encode(head)[:-1]
            + b',"choices":[{"index":0,"finish_reason":null,"text":'
        )

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Sends the events."""
        await send(
            {
                "type": "http.response.start",
                "status": self.status_code,
                "headers": _HEADERS,
            }
        )
        while (text := await self._running.next_text()) is not None:
            self._given += len(text)
            body = self._head + _encode(text) + b"}]}\n\n"
            await send(
                {
                    "type": "http.response.body",
                    "body": body,
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": await self._end()})

    async def _end(self) -> bytes:
        """Returns the events that follow the commit."""
        try:
            answer = await self._running.answer()
        except PlumvaneError as error:
            return _error_event(error)
        if answer.outcome.error is not None:
            return _error_event(outcome_error(answer.outcome))
        return self._last_event(answer) + _DONE

    def _last_event(self, answer: Answer) -> bytes:
        choice = json.loads(answer.outcome.body)["choices"][0]
        piece = {
            "id": answer.request_id,
            "object": "text_completion",
            "model": self._model,
            "choices": [
                {
                    "index": 0,
                    "text": choice["text"][self._given :],
                    "finish_reason": choice["finish_reason"],
                }
            ],
        }
        return b"data: " + _encode(piece) + b"\n\n"


def _error_event(error: PlumvaneError) -> bytes:
    return b"data: " + _encode({"error": problem_body(error)}) + b"\n\n"

"""Server-sent events of a streamed completion."""

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
    """Streams a request's text; the final events follow the commit.

    The request continues if its caller disconnects, so the connection is not
    monitored for a disconnect while the response is sent.
    """

    def __init__(self, running: RunningRequest, model: str) -> None:
        """Creates the response.

        Args:
            running: The running request.
            model: Model name that the events contain.
        """
        self.status_code = 200
        self.background = None
        self._running = running
        self._model = model
        self._sent_characters = 0
        common_fields = {
            "id": running.request_id,
            "object": "text_completion",
            "model": model,
        }
        self._event_prefix = (
            b"data: "
            + _encode(common_fields)[:-1]
            + b',"choices":[{"index":0,"finish_reason":null,"text":'
        )

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Sends the events as the ASGI response."""
        await send(
            {
                "type": "http.response.start",
                "status": self.status_code,
                "headers": _HEADERS,
            }
        )
        while (text := await self._running.next_text()) is not None:
            self._sent_characters += len(text)
            body = self._event_prefix + _encode(text) + b"}]}\n\n"
            await send(
                {
                    "type": "http.response.body",
                    "body": body,
                    "more_body": True,
                }
            )
        await send(
            {"type": "http.response.body", "body": await self._final_events()}
        )

    async def _final_events(self) -> bytes:
        """Waits for the commit and returns the final events."""
        try:
            answer = await self._running.answer()
        except PlumvaneError as error:
            return _error_event(error)
        if answer.outcome.error is not None:
            return _error_event(
                outcome_error(answer.outcome, answer.request_id)
            )
        return self._last_text_event(answer) + _DONE

    def _last_text_event(self, answer: Answer) -> bytes:
        choice = json.loads(answer.outcome.body)["choices"][0]
        event = {
            "id": answer.request_id,
            "object": "text_completion",
            "model": self._model,
            "choices": [
                {
                    "index": 0,
                    "text": choice["text"][self._sent_characters :],
                    "finish_reason": choice["finish_reason"],
                }
            ],
        }
        return b"data: " + _encode(event) + b"\n\n"


def _error_event(error: PlumvaneError) -> bytes:
    return b"data: " + _encode({"error": problem_body(error)}) + b"\n\n"

"""Runs single batch items at an engine."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from typing import Any

import anyio

from plumvane import clock
from plumvane.errors import (
    BadRequestError,
    PlumvaneError,
    UpstreamLostError,
)
from plumvane.peers.messages import FailedItem, FailureKind
from plumvane.sidecar.dispatcher import completion_outcome
from plumvane.sidecar.ranges import RangeRun
from plumvane.sidecar.rate import ItemRate
from plumvane.upstreams.admission_controller import (
    AdmissionController,
    AdmissionRequest,
)
from plumvane.upstreams.engine import CompletionChunk, EngineClient

__all__ = ["ItemRunner"]

# Marks batch work for the engine's own records.
BATCH_METADATA = {"kind": "batch"}
# An item waits for admission this long after its place in the queue.
LATE_ITEM_S = 30 * 86_400.0
# An engine that gives no token for this is taken as lost.
SILENT_ENGINE_S = 60.0


class ItemRunner:
    """Runs items as they are admitted and measures their rate."""

    def __init__(
        self,
        admission: AdmissionController,
        engine: EngineClient,
        rate: ItemRate,
    ) -> None:
        """Creates the runner.

        Args:
            admission: Admission controller of the engine.
            engine: Client of the engine.
            rate: Takes each completion in.
        """
        self._admission = admission
        self._engine = engine
        self._rate = rate

    async def run(self, run: RangeRun, index: int, line: bytes) -> bool:
        """Runs an item; returns False if it was not run.

        The engine could not be asked, or the range is handed back.

        Args:
            run: The range, which takes the result or the failure in.
            index: Index of the item.
            line: Its line of input.
        """
        item = json.loads(line)
        request_id = f"{run.grant.claim_id}:{index}"
        try:
            body = await self._complete(run, request_id, item["body"])
        except PlumvaneError as error:
            if isinstance(error, UpstreamLostError) and error.not_run:
                return False
            run.failed_items.append(FailedItem(index, str(error), _kind(error)))
            return True
        if body is None:
            return False
        answer = {
            "id": request_id,
            "custom_id": item["custom_id"],
            "response": {"status_code": 200, "body": body},
            "error": None,
        }
        run.add_result(index, json.dumps(answer).encode())
        self._rate.add(clock.monotonic())
        return True

    async def _complete(
        self, run: RangeRun, request_id: str, body: dict[str, Any]
    ) -> Any:
        """Runs one item; a preempted one resumes from its tokens.

        Returns:
            The answer, or None if the range was handed back before its end.
        """
        text: list[str] = []
        tokens = 0
        attempt = 0
        while True:
            # Keeps the owners' order of admission: a job that was set aside,
            # or whose team has had its share, does not go first by its
            # earlier deadline.
            work = AdmissionRequest(
                online=False,
                rank=run.grant.urgency,
                deadline=run.queue_key + LATE_ITEM_S,
            )
            with run.queue_scope() as queue_scope:
                await self._admission.acquire(work)
            if queue_scope.cancelled_caught:
                return None
            stream_id = f"{request_id}:{attempt}"
            attempt += 1
            finish_reason = None
            ended = False
            stream = self._engine.stream(
                stream_id,
                {**body, "metadata": BATCH_METADATA},
                resume_text="".join(text),
                resume_tokens=tokens,
            )
            try:
                with work.scope:
                    async for chunk in _watched(stream):
                        text.append(chunk.text)
                        tokens += chunk.tokens
                        finish_reason = chunk.finish_reason
                    ended = True
            finally:
                self._admission.release(work)
                if not ended:
                    await self._engine.cancel(stream_id)
            ended = ended or finish_reason is not None
            if ended and finish_reason is None:
                raise UpstreamLostError("The engine ended the stream early.")
            if ended:
                outcome = completion_outcome(
                    request_id,
                    body,
                    "".join(text),
                    tokens,
                    finish_reason or "stop",
                )
                return json.loads(outcome.body)


async def _watched(
    stream: AsyncIterator[CompletionChunk],
) -> AsyncIterator[CompletionChunk]:
    """Yields the pieces of a stream.

    Raises:
        UpstreamLostError: The stream went silent.
    """
    while True:
        try:
            with anyio.fail_after(SILENT_ENGINE_S):
                chunk = await anext(stream)
        except StopAsyncIteration:
            return
        except TimeoutError:
            raise UpstreamLostError("The engine went silent.") from None
        yield chunk


def _kind(error: PlumvaneError) -> FailureKind:
    if isinstance(error, BadRequestError):
        return FailureKind.REFUSED
    if isinstance(error, UpstreamLostError):
        return FailureKind.LOST
    return FailureKind.ERROR

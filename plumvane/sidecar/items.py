"""Execution of single batch items on an engine."""

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

# Marks batch items in the engine's own records.
BATCH_METADATA = {"kind": "batch"}
# An item waits for admission until this long after its queue key, so that items
# of late jobs are run too.
MAX_ADMISSION_DELAY_S = 30 * 86_400.0
# An engine that sends no token for this long is considered lost.
ENGINE_IDLE_TIMEOUT_S = 60.0


class ItemRunner:
    """Runs items once they are admitted and measures their rate."""

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
            rate: Estimate that is updated with each completion.
        """
        self._admission = admission
        self._engine = engine
        self._item_rate = rate

    async def run(self, run: RangeRun, index: int, line: bytes) -> bool:
        """Runs an item and records its result or failure in the range.

        Args:
            run: The range.
            index: Index of the item in the job.
            line: Input line of the item.

        Returns:
            False if the item was not run because the engine could not be
            reached or the range was released.
        """
        item = json.loads(line)
        request_id = f"{run.grant.claim_id}:{index}"
        try:
            body = await self._complete(run, request_id, item["body"])
        except PlumvaneError as error:
            if isinstance(error, UpstreamLostError) and error.not_run:
                return False
            run.failed_items.append(
                FailedItem(index, str(error), _failure_kind(error))
            )
            return True
        if body is None:
            return False
        result = {
            "id": request_id,
            "custom_id": item["custom_id"],
            "response": {"status_code": 200, "body": body},
            "error": None,
        }
        run.add_result(index, json.dumps(result).encode())
        self._item_rate.add(clock.monotonic())
        return True

    async def _complete(
        self, run: RangeRun, request_id: str, body: dict[str, Any]
    ) -> Any:
        """Runs an item, resuming it from its tokens after a preemption.

        Returns:
            The response, or None if the range was released while the item
            waited for admission.
        """
        text: list[str] = []
        tokens = 0
        attempt = 0
        while True:
            # Admission follows the order in which the owners granted ranges. An
            # earlier deadline alone gives no priority to a job that cannot meet
            # it or whose team has used its share.
            admission_request = AdmissionRequest(
                online=False,
                rank=run.grant.urgency,
                deadline=run.queue_key + MAX_ADMISSION_DELAY_S,
            )
            with run.queue_scope() as queue_scope:
                await self._admission.acquire(admission_request)
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
                with admission_request.scope:
                    async for chunk in _with_idle_timeout(stream):
                        text.append(chunk.text)
                        tokens += chunk.tokens
                        finish_reason = chunk.finish_reason
                    ended = True
            finally:
                self._admission.release(admission_request)
                if not ended:
                    await self._engine.cancel(stream_id)
            ended = ended or finish_reason is not None
            if ended and finish_reason is None:
                raise UpstreamLostError(
                    "The engine closed the stream before its end."
                )
            if ended:
                outcome = completion_outcome(
                    request_id,
                    body,
                    "".join(text),
                    tokens,
                    finish_reason or "stop",
                )
                return json.loads(outcome.body)


async def _with_idle_timeout(
    stream: AsyncIterator[CompletionChunk],
) -> AsyncIterator[CompletionChunk]:
    """Yields the chunks of a stream.

    Raises:
        UpstreamLostError: No chunk came within the time-out.
    """
    while True:
        try:
            with anyio.fail_after(ENGINE_IDLE_TIMEOUT_S):
                chunk = await anext(stream)
        except StopAsyncIteration:
            return
        except TimeoutError:
            raise UpstreamLostError(
                f"The engine sent no token for {ENGINE_IDLE_TIMEOUT_S:.0f} s."
            ) from None
        yield chunk


def _failure_kind(error: PlumvaneError) -> FailureKind:
    if isinstance(error, BadRequestError):
        return FailureKind.REFUSED
    if isinstance(error, UpstreamLostError):
        return FailureKind.LOST
    return FailureKind.ERROR

"""Runs the requests that entries dispatch to this sidecar."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import msgspec

from plumvane import clock, events
from plumvane.errors import (
    BadRequestError,
    DeadlineExceededError,
    LeavingError,
    OutcomeUnknownError,
    PlumvaneError,
    RequestCancelledError,
    UpstreamFailedError,
)
from plumvane.peers.messages import (
    Acknowledge,
    Attach,
    CancelRun,
    DispatchRequest,
    Done,
    Message,
    Outcome,
    Settle,
)
from plumvane.peers.server import Call, PeerServer, failure_from_error
from plumvane.upstreams.admission_controller import (
    AdmissionController,
    AdmissionRequest,
)
from plumvane.upstreams.engine import EngineClient
from plumvane.upstreams.runs import Run, RunTable
from plumvane.upstreams.service import ServiceClient

__all__ = ["Dispatcher"]


class Dispatcher:
    """Serves dispatches, attaches, settlements and cancels."""

    def __init__(
        self,
        runs: RunTable,
        admission: AdmissionController,
        upstream: EngineClient | ServiceClient,
        group: anyio.abc.TaskGroup,
        is_leaving: Callable[[], bool],
    ) -> None:
        """Creates the dispatcher.

        Args:
            runs: Table of the runs.
            admission: Admission controller of the upstream.
            upstream: Client of the upstream.
            group: Task group of the runs; they outlive the calls.
            is_leaving: Whether the sidecar takes no new work.
        """
        self._runs = runs
        self._admission = admission
        self._upstream = upstream
        self._group = group
        self._is_leaving = is_leaving

    def register(self, server: PeerServer) -> None:
        """Registers the handlers."""
        server.handle(DispatchRequest, self.dispatch)
        server.handle(Attach, self.attach)
        server.handle(Acknowledge, self.acknowledge)
        server.handle(Settle, self.settle)
        server.handle(CancelRun, self.cancel)

    async def dispatch(self, call: Call, message: DispatchRequest) -> Message:
        """Runs a request, or attaches to it if it runs already."""
        run = self._runs.get(message.request_id)
        if run is None:
            if self._is_leaving():
                raise LeavingError("The sidecar is leaving.", not_run=True)
            if message.deadline <= clock.wall():
                raise DeadlineExceededError(
                    "The deadline passed before dispatch.", not_run=True
                )
            run = self._runs.start(message)
            self._group.start_soon(self._execute, run)
        return await self._follow(call, run, 0)

    async def attach(self, call: Call, message: Attach) -> Message:
        """Sends the parts of a run again from a number on."""
        run = self._runs.require(message.request_id)
        return await self._follow(call, run, message.from_sequence)

    async def acknowledge(self, call: Call, message: Acknowledge) -> Message:
        """Forgets answers that are safe elsewhere."""
        for request_id in message.request_ids:
            self._runs.acknowledge(request_id)
        return Done()

    async def settle(self, call: Call, message: Settle) -> Message:
        """Tells what became of a run, and forbids an unseen one."""
        return self._runs.settle(message)

    async def cancel(self, call: Call, message: CancelRun) -> Message:
        """Cancels a run; a finished one keeps its answer."""
        run = self._runs.get(message.request_id)
        if run is not None and run.outcome is None:
            error = RequestCancelledError("The request was cancelled.")
            run.set_outcome(_error_outcome(error))
            run.scope.cancel()
        return Done()

    async def _follow(self, call: Call, run: Run, sequence: int) -> Outcome:
        """Sends parts as they come; returns the outcome after the last."""
        with run.add_follower():
            while True:
                if run.request.stream:
                    while sequence < len(run.parts):
                        call.send_part(run.parts[sequence])
                        sequence += 1
                if run.outcome is not None:
                    return msgspec.structs.replace(
                        run.outcome, load=self._admission.load()
                    )
                await run.changed()

    async def _execute(self, run: Run) -> None:
        request = run.request
        work = AdmissionRequest(
            online=request.online, rank=request.rank, deadline=request.deadline
        )
        with run.scope:
            try:
                await self._admission.acquire(work)
                try:
                    run.set_outcome(await self._run_upstream(run))
                finally:
                    self._admission.release(work)
            except PlumvaneError as error:
                run.set_outcome(_outcome_of(run, error))
            except Exception as error:
                events.log(
                    events.Event.TASK_FAILED, task="run", error=repr(error)
                )
                failed = UpstreamFailedError("The sidecar failed.")
                run.set_outcome(_outcome_of(run, failed))

    async def _run_upstream(self, run: Run) -> Outcome:
        request = run.request
        if request.deadline <= clock.wall():
            raise DeadlineExceededError(
                "The deadline passed in the queue.", not_run=True
            )
        run.is_sent = True
        try:
            with anyio.fail_after(max(0.0, request.deadline - clock.wall())):
                if isinstance(self._upstream, ServiceClient):
                    return await self._upstream.call(
                        request.request_id, request.path, request.body
                    )
                return await self._run_engine(run, self._upstream)
        except TimeoutError:
            raise DeadlineExceededError(
                "The deadline passed while the request ran."
            ) from None

    async def _run_engine(self, run: Run, engine: EngineClient) -> Outcome:
        request = run.request
        body = _json_object(request.body)
        text: list[str] = [request.resume_text]
        tokens = request.resume_tokens
        joined: list[str] = []
        joined_tokens = 0
        finish_reason = "stop"
        ended = False
        try:
            async for chunk in engine.stream(
                request.request_id,
                body,
                resume_text=request.resume_text,
                resume_tokens=request.resume_tokens,
            ):
                text.append(chunk.text)
                tokens += chunk.tokens
                joined.append(chunk.text)
                joined_tokens += chunk.tokens
                finish_reason = chunk.finish_reason or finish_reason
                if not chunk.has_more:
                    run.add_text("".join(joined), joined_tokens)
                    joined.clear()
                    joined_tokens = 0
            ended = True
        finally:
            if not ended:
                await engine.cancel(request.request_id)
        if joined:
            run.add_text("".join(joined), joined_tokens)
        return completion_outcome(
            request.request_id, body, "".join(text), tokens, finish_reason
        )


def completion_outcome(
    request_id: str,
    body: dict[str, Any],
    text: str,
    tokens: int,
    finish_reason: str,
) -> Outcome:
    """Returns the answer of a completion in the usual JSON shape."""
    answer = {
        "id": request_id,
        "object": "text_completion",
        "model": body.get("model", ""),
        "choices": [{"index": 0, "text": text, "finish_reason": finish_reason}],
        "usage": {"completion_tokens": tokens},
    }
    return Outcome(200, json.dumps(answer).encode())


def _error_outcome(error: PlumvaneError) -> Outcome:
    return Outcome(error.status, b"", error=failure_from_error(error))


def _outcome_of(run: Run, error: PlumvaneError) -> Outcome:
    """Returns the outcome of a run that ended with an error.

    A non-idempotent run may have taken effect unless the error says not.
    """
    lost = isinstance(error, UpstreamFailedError | DeadlineExceededError)
    may_have_run = run.is_sent and not error.not_run
    if lost and may_have_run and not run.request.idempotent:
        error = OutcomeUnknownError(f"{error.detail} It may have run.")
    return _error_outcome(error)


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError as error:
        raise BadRequestError(f"The body is not JSON: {error}.") from error
    if not isinstance(value, dict):
        raise BadRequestError("The body is not a JSON object.")
    return value

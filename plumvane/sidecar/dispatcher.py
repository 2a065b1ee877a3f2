"""Execution of the requests that entries dispatch to this sidecar."""

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
    """Handles the entries' messages about runs."""

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
            runs: Table of the sidecar's runs.
            admission: Admission controller of the upstream.
            upstream: Client of the upstream.
            group: Task group of the runs, which outlive the calls.
            is_leaving: Returns whether the sidecar rejects new runs.
        """
        self._runs = runs
        self._admission = admission
        self._upstream = upstream
        self._group = group
        self._is_leaving = is_leaving

    def register(self, server: PeerServer) -> None:
        """Registers the message handlers."""
        server.handle(DispatchRequest, self.dispatch)
        server.handle(Attach, self.attach)
        server.handle(Acknowledge, self.acknowledge)
        server.handle(Settle, self.settle)
        server.handle(CancelRun, self.cancel)

    async def dispatch(self, call: Call, message: DispatchRequest) -> Message:
        """Starts a run, or attaches to it if the table holds it already."""
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
        """Resends the parts of a run from a sequence number on."""
        run = self._runs.require(message.request_id)
        return await self._follow(call, run, message.from_sequence)

    async def acknowledge(self, call: Call, message: Acknowledge) -> Message:
        """Discards runs whose outcomes are stored elsewhere."""
        for request_id in message.request_ids:
            self._runs.acknowledge(request_id)
        return Done()

    async def settle(self, call: Call, message: Settle) -> Message:
        """Returns the state of a run, and forbids one that has not started."""
        return self._runs.settle(message)

    async def cancel(self, call: Call, message: CancelRun) -> Message:
        """Cancels a run; a finished one keeps its outcome."""
        run = self._runs.get(message.request_id)
        if run is not None and run.outcome is None:
            error = RequestCancelledError("The request was cancelled.")
            run.set_outcome(_error_outcome(error))
            run.scope.cancel()
        return Done()

    async def _follow(self, call: Call, run: Run, sequence: int) -> Outcome:
        """Sends the parts of a run as they arrive and returns its outcome."""
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
        admission_request = AdmissionRequest(
            online=request.online, rank=request.rank, deadline=request.deadline
        )
        with run.scope:
            try:
                await self._admission.acquire(admission_request)
                try:
                    run.set_outcome(await self._run_upstream(run))
                finally:
                    self._admission.release(admission_request)
            except PlumvaneError as error:
                run.set_outcome(_failure_outcome(run, error))
            except Exception as error:
                events.log(
                    events.Event.TASK_FAILED, task="run", error=repr(error)
                )
                internal_error = UpstreamFailedError(
                    "Internal error of the sidecar."
                )
                run.set_outcome(_failure_outcome(run, internal_error))

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
        body = _parse_json_object(request.body)
        text: list[str] = [request.resume_text]
        tokens = request.resume_tokens
        pending_text: list[str] = []
        pending_tokens = 0
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
                pending_text.append(chunk.text)
                pending_tokens += chunk.tokens
                finish_reason = chunk.finish_reason or finish_reason
                if not chunk.has_more:
                    run.add_text("".join(pending_text), pending_tokens)
                    pending_text.clear()
                    pending_tokens = 0
            ended = True
        finally:
            if not ended:
                await engine.cancel(request.request_id)
        if pending_text:
            run.add_text("".join(pending_text), pending_tokens)
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
    """Returns the outcome of a completion, in the completions API format."""
    response = {
        "id": request_id,
        "object": "text_completion",
        "model": body.get("model", ""),
        "choices": [{"index": 0, "text": text, "finish_reason": finish_reason}],
        "usage": {"completion_tokens": tokens},
    }
    return Outcome(200, json.dumps(response).encode())


def _error_outcome(error: PlumvaneError) -> Outcome:
    return Outcome(error.status, b"", error=failure_from_error(error))


def _failure_outcome(run: Run, error: PlumvaneError) -> Outcome:
    """Returns the outcome of a run that ended with an error.

    If a non-idempotent request may have been executed, its outcome is unknown.
    """
    is_ambiguous = isinstance(
        error, UpstreamFailedError | DeadlineExceededError
    )
    may_have_run = run.is_sent and not error.not_run
    if is_ambiguous and may_have_run and not run.request.idempotent:
        error = OutcomeUnknownError(f"{error.detail} The request may have run.")
    return _error_outcome(error)


def _parse_json_object(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError as error:
        raise BadRequestError(f"The body is not JSON: {error}.") from error
    if not isinstance(value, dict):
        raise BadRequestError("The body is not a JSON object.")
    return value

"""Batch calls of callers: submit, read, body of an item, end."""

from __future__ import annotations

import dataclasses

import anyio

from plumvane import clock, events
from plumvane.batch.jobstore import JobStore
from plumvane.errors import ConflictError, StoreUnavailableError
from plumvane.gateway.exchange import Exchange
from plumvane.gateway.reads import JobReader
from plumvane.platform.calls import EndJob, JobCall, ReadItem, ReadJob
from plumvane.platform.jobs import decode_submission, encode_results
from plumvane.serving.jobs import Submission, results_page
from plumvane.serving.routes import Route

__all__ = ["JobCalls"]

# Time for which a submission waits for the store, in seconds: callers leave
# after one without an answer, and then do not know when to come back.
STORE_PATIENCE_S = 0.8
# Pause between two of these tries, in seconds.
STORE_RETRY_S = 0.2
# When a refused caller may come back, in seconds; another instance may reach
# the store at once.
RETRY_AFTER_S = 0.5
# Longest wait of a read for a result, in seconds; the platform's limit.
MAX_WAIT_S = 1.0
JSON_HEADERS = [(b"content-type", b"application/json")]


@dataclasses.dataclass(slots=True)
class _Acceptance:
    """What became of a submitted job.

    Attributes:
        is_accepted: Whether the store has it.
        is_new: Whether this call put it there.
        is_uncertain: Whether a write without an answer may have put it there.
    """

    is_accepted: bool = False
    is_new: bool = False
    is_uncertain: bool = False


class JobCalls:
    """Serves batch calls from the store, by any instance alike."""

    def __init__(self, jobs: JobStore, reader: JobReader) -> None:
        """Creates the calls.

        Args:
            jobs: The jobs in the store.
            reader: Reads jobs.
        """
        self._jobs = jobs
        self._reader = reader

    async def submit(
        self, exchange: Exchange, route: Route, body: bytes, received: float
    ) -> None:
        """Accepts a job; its answer follows the store's.

        Raises:
            InvalidJsonError: The body is not a job.
            StoreUnavailableError: The job may be kept only if this is not
                marked as not run.
        """
        request = exchange.request
        submission = decode_submission(request.request_id, request.host, body)
        acceptance = _Acceptance()
        deadline = received + STORE_PATIENCE_S
        with anyio.move_on_after(clock.remaining(deadline)):
            await self._accept(submission, route, acceptance)
        if not acceptance.is_accepted:
            raise StoreUnavailableError(
                "The store did not take the job in time.",
                not_run=not acceptance.is_uncertain,
                retry_after_s=RETRY_AFTER_S,
            )
        events.log(
            events.Event.JOB_ACCEPTED,
            job=submission.job_id,
            items=len(submission.items),
            is_new=acceptance.is_new,
            was_uncertain=acceptance.is_uncertain,
            took_s=round(clock.monotonic() - received, 3),
        )
        await exchange.answer(202)

    async def _accept(
        self, submission: Submission, route: Route, acceptance: _Acceptance
    ) -> None:
        """Writes a job until the store has it; the caller sets a limit."""
        while not acceptance.is_accepted:
            was_uncertain = acceptance.is_uncertain
            # If the time ends during the call, it may still take effect.
            acceptance.is_uncertain = True
            try:
                await self._jobs.accept(
                    submission.job_id, submission.host, submission.items, route
                )
                acceptance.is_accepted = acceptance.is_new = True
                acceptance.is_uncertain = was_uncertain
            except ConflictError:
                acceptance.is_accepted = True
                acceptance.is_uncertain = was_uncertain
            except StoreUnavailableError as error:
                if error.not_run:
                    acceptance.is_uncertain = was_uncertain
                await anyio.sleep(STORE_RETRY_S)

    async def serve(self, exchange: Exchange, call: JobCall) -> None:
        """Answers a call on a job that was accepted.

        Raises:
            NotFoundError: No such job or item exists.
            StoreUnavailableError: The store does not tell.
        """
        match call:
            case ReadJob():
                await self._read(exchange, call)
            case ReadItem():
                await self._read_item(exchange, call)
            case EndJob():
                await self._end(exchange, call.job_id)

    async def _read(self, exchange: Exchange, call: ReadJob) -> None:
        """Answers with the results from a position on.

        Raises:
            NotFoundError: No such job exists.
            StoreUnavailableError: It is not certain what is listed.
        """
        position = call.position
        wait_s = min(call.wait_s, MAX_WAIT_S)
        known = await self._reader.results(
            call.job_id, position, clock.monotonic() + wait_s
        )
        results = results_page(known.results_by_position, position)
        body = encode_results(known.total, position, results)
        await exchange.answer(200, body, JSON_HEADERS)

    async def _read_item(self, exchange: Exchange, call: ReadItem) -> None:
        """Answers with the body of an item.

        Raises:
            NotFoundError: No such item exists.
            StoreUnavailableError: No answer of the store.
        """
        body = await self._reader.body(call.job_id, call.item_id)
        await exchange.answer(
            200, body, [(b"content-type", b"application/octet-stream")]
        )

    async def _end(self, exchange: Exchange, job_id: str) -> None:
        """Ends a job.

        Raises:
            NotFoundError: No such job exists.
            StoreUnavailableError: No answer of the store.
        """
        was_open = await self._jobs.end(job_id)
        events.log(events.Event.JOB_ENDED, job=job_id, was_open=was_open)
        await exchange.answer(200)

"""Batch calls of callers: submit, read, body of an item, end."""

from __future__ import annotations

import anyio

from plumvane import clock, events
from plumvane.batch.jobstore import JobStore
from plumvane.errors import ConflictError, StoreUnavailableError
from plumvane.gateway.exchange import Exchange
from plumvane.gateway.reads import JobReader
from plumvane.platform.calls import EndJob, JobCall, ReadItem, ReadJob
from plumvane.platform.jobs import decode_submission, encode_results
from plumvane.serving.jobs import page_of
from plumvane.serving.routes import Route

__all__ = ["JobCalls"]

# Time that a call is tried again while the store does not answer, in seconds;
# callers turn to another instance afterwards.
STORE_PATIENCE_S = 1.2
# Pause between two of these tries, in seconds.
STORE_RETRY_S = 0.2
# When a refused caller may come back, in seconds; another instance may reach
# the store at once.
RETRY_AFTER_S = 0.5
# Longest wait of a read for a result, in seconds; the platform's limit.
MAX_WAIT_S = 1.0
JSON_HEADERS = [(b"content-type", b"application/json")]


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
        is_new = True
        is_uncertain = False
        while True:
            try:
                await self._jobs.accept(
                    submission.job_id, submission.host, submission.items, route
                )
                break
            except ConflictError:
                is_new = False
                break
            except StoreUnavailableError as error:
                is_uncertain = is_uncertain or not error.not_run
                if clock.monotonic() - received > STORE_PATIENCE_S:
                    raise StoreUnavailableError(
                        error.detail,
                        not_run=not is_uncertain,
                        retry_after_s=RETRY_AFTER_S,
                    ) from error
                await anyio.sleep(STORE_RETRY_S)
        events.log(
            events.Event.JOB_ACCEPTED,
            job=submission.job_id,
            items=len(submission.items),
            is_new=is_new,
            was_uncertain=is_uncertain,
            took_s=round(clock.monotonic() - received, 3),
        )
        await exchange.answer(202)

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
        results = page_of(known.results_by_position, position)
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

"""Calls on batch jobs: submit, read results, read an item's body, end."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Iterator

import anyio
import msgspec

from plumvane import clock, events
from plumvane.batch.jobstore import JobStore
from plumvane.errors import ConflictError, StoreUnavailableError
from plumvane.gateway.exchange import Exchange
from plumvane.gateway.reads import JobReader
from plumvane.platform.calls import EndJob, JobCall, ReadItem, ReadJob
from plumvane.platform.jobs import decode_submission, encode_results
from plumvane.platform.requests import without_keys
from plumvane.serving.jobs import Submission, results_page
from plumvane.serving.routes import Route
from plumvane.serving.teams import Team

__all__ = ["BatchJobHandler"]

# Time limit for writing a submitted job to the store, in seconds: callers
# disconnect after 1 s without a response, and then get no Retry-After.
SUBMIT_TIMEOUT_S = 0.8
# Pause between two attempts to write a job, in seconds.
STORE_RETRY_S = 0.2
# Retry-After of a rejected call, in seconds; another instance may reach
# the store at once.
RETRY_AFTER_S = 0.5
# Longest time that a read may wait for a result, in seconds; set by the
# platform.
MAX_WAIT_S = 1.0
JSON_HEADERS = [(b"content-type", b"application/json")]


@dataclasses.dataclass(slots=True)
class _SubmissionState:
    """State of the attempts to write a submitted job.

    Attributes:
        is_accepted: Whether the job is in the store.
        is_new: Whether this call wrote it.
        is_uncertain: Whether a write with an unknown outcome may have
            written it.
    """

    is_accepted: bool = False
    is_new: bool = False
    is_uncertain: bool = False


class BatchJobHandler:
    """Serves calls on batch jobs.

    All state is in the store, so any instance can serve any call.
    """

    def __init__(self, jobs: JobStore, reader: JobReader) -> None:
        """Creates the handler.

        Args:
            jobs: Access to the jobs in the store.
            reader: Reads results and items.
        """
        self._jobs = jobs
        self._reader = reader

    async def submit(
        self,
        exchange: Exchange,
        route: Route,
        body: bytes,
        received_at: float,
        team: Team | None = None,
        *,
        has_teams: bool = False,
    ) -> None:
        """Writes a job to the store, then responds with 202.

        Args:
            exchange: The caller's exchange.
            route: Route of the job.
            body: The job.
            received_at: Monotonic time in seconds at which the call's head
                was read.
            team: Team that submits the job; None if the caller needs no key.
            has_teams: Whether the configuration has teams.

        Raises:
            ConflictError: Another team has a job with this id.
            InvalidJsonError: The body is not a valid job.
            StoreUnavailableError: The job was not written in time; if `not_run`
                is false, the store may still have it.
        """
        request = exchange.request
        submission = decode_submission(request.request_id, request.host, body)
        has_teams = has_teams or team is not None
        if has_teams:
            submission = _without_keys(submission)
        state = _SubmissionState()
        deadline = received_at + SUBMIT_TIMEOUT_S
        with anyio.move_on_after(clock.remaining(deadline)):
            await self._write_job(submission, route, state, team, has_teams)
        if not state.is_accepted:
            raise StoreUnavailableError(
                "The store did not accept the job within "
                f"{SUBMIT_TIMEOUT_S} s.",
                not_run=not state.is_uncertain,
                retry_after_s=RETRY_AFTER_S,
            )
        events.log(
            events.Event.JOB_ACCEPTED,
            job=submission.job_id,
            route=route.name,
            items=len(submission.items),
            team=team.name if team is not None else None,
            is_new=state.is_new,
            was_uncertain=state.is_uncertain,
            took_s=round(clock.monotonic() - received_at, 3),
        )
        await exchange.respond(202)

    async def _write_job(
        self,
        submission: Submission,
        route: Route,
        state: _SubmissionState,
        team: Team | None,
        has_teams: bool,
    ) -> None:
        """Retries the write until the store has the job; has no time limit.

        Raises:
            ConflictError: Another team has a job with this id.
        """
        team_name = team.name if team is not None else ""
        while not state.is_accepted:
            was_uncertain = state.is_uncertain
            # A write that is cancelled may still take effect.
            state.is_uncertain = True
            try:
                is_new = await self._accept(
                    submission, route, team_name, has_teams
                )
                state.is_accepted, state.is_new = True, is_new
                state.is_uncertain = was_uncertain
            except StoreUnavailableError as error:
                if error.not_run:
                    state.is_uncertain = was_uncertain
                await anyio.sleep(STORE_RETRY_S)

    async def _accept(
        self, submission: Submission, route: Route, team: str, has_teams: bool
    ) -> bool:
        """Writes a job; returns whether it is new.

        Raises:
            ConflictError: Another team has a job with this id.
            StoreUnavailableError: The store did not answer, or it has the job
                and did not say whose it is.
        """
        job_id = submission.job_id
        try:
            await self._jobs.accept(
                job_id, submission.host, submission.items, route, team
            )
            return True
        except ConflictError:
            # The job exists: an earlier call or attempt wrote it.
            if not has_teams:
                return False
        try:
            job, _ = await self._jobs.head(job_id)
        except StoreUnavailableError as error:
            error.not_run = False
            raise
        if job.team not in ("", team):
            raise ConflictError(
                f"The id {job_id} is taken.",
                remedy="Submit the job under another id.",
            )
        return False

    async def serve(
        self, exchange: Exchange, call: JobCall, team: Team | None = None
    ) -> None:
        """Serves a call on an accepted job.

        Args:
            exchange: The caller's exchange.
            call: The call.
            team: Team of the caller; None if callers need no keys.

        Raises:
            NotFoundError: No such job or item exists.
            StoreUnavailableError: The store does not respond.
        """
        team_name = team.name if team is not None else None
        match call:
            case ReadJob():
                with _read_without_effect():
                    await self._read_results(exchange, call, team_name)
            case ReadItem():
                with _read_without_effect():
                    await self._read_item(exchange, call, team_name)
            case EndJob():
                await self._end_job(exchange, call.job_id, team_name)

    async def _read_results(
        self, exchange: Exchange, call: ReadJob, team: str | None
    ) -> None:
        """Responds with a page of results from a position on.

        Raises:
            NotFoundError: No such job exists.
            StoreUnavailableError: The store does not respond, so the listed
                results are not known for certain.
        """
        position = call.position
        wait_s = min(call.wait_s, MAX_WAIT_S)
        cached = await self._reader.results(
            call.job_id, position, clock.monotonic() + wait_s, team
        )
        results = results_page(cached.results_by_position, position)
        body = encode_results(cached.total, position, results)
        await exchange.respond(200, body, JSON_HEADERS)

    async def _read_item(
        self, exchange: Exchange, call: ReadItem, team: str | None
    ) -> None:
        """Responds with the body of an item.

        Raises:
            NotFoundError: No such item exists.
            StoreUnavailableError: The store does not respond.
        """
        body = await self._reader.body(call.job_id, call.item_id, team)
        await exchange.respond(
            200, body, [(b"content-type", b"application/octet-stream")]
        )

    async def _end_job(
        self, exchange: Exchange, job_id: str, team: str | None
    ) -> None:
        """Ends a job.

        Raises:
            NotFoundError: No such job exists.
            StoreUnavailableError: The store does not respond; the job may have
                ended.
        """
        was_open = await self._jobs.end(job_id, team)
        events.log(events.Event.JOB_ENDED, job=job_id, was_open=was_open)
        await exchange.respond(200)


def _without_keys(submission: Submission) -> Submission:
    """Returns a job whose items neither bear keys nor name teams."""
    items = tuple(
        msgspec.structs.replace(item, headers=without_keys(item.headers))
        for item in submission.items
    )
    return msgspec.structs.replace(submission, items=items)


@contextlib.contextmanager
def _read_without_effect() -> Iterator[None]:
    """Marks a failed read as not run: whatever the store did, it has no effect.

    Raises:
        StoreUnavailableError: The store did not respond.
    """
    try:
        yield
    except StoreUnavailableError as error:
        error.not_run = True
        if error.retry_after_s is None:
            error.retry_after_s = RETRY_AFTER_S
        raise

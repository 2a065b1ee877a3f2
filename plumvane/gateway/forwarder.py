"""Forwards callers' requests to upstreams, with retries and resumption."""

from __future__ import annotations

import random

import anyio

from plumvane import clock, events
from plumvane.discovery.origins import Origin, StreamOrigins
from plumvane.discovery.permits import Permits
from plumvane.discovery.quarantine import ANSWERING_EVENTS, PromptQuarantine
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    DeadlineExceededError,
    OutcomeUnknownError,
    OverloadedError,
    PlumvaneError,
    PromptQuarantinedError,
    RequestQuarantinedError,
    StreamVersionUnknownError,
    UpstreamLostError,
    UpstreamUnavailableError,
)
from plumvane.gateway.admission import Admission
from plumvane.gateway.exchange import Exchange
from plumvane.gateway.requests import IncompleteResponseError, RequestState
from plumvane.gateway.selection import UpstreamSelector
from plumvane.relay.client import Attempt, UpstreamClient, UpstreamResponse
from plumvane.relay.events import EventStreamParser, read_events
from plumvane.relay.health import record_failure, record_success
from plumvane.serving.pace import StreamTimer, record_call
from plumvane.serving.routes import Route, RouteKind
from plumvane.serving.teams import Team
from plumvane.serving.upstreams import Upstream

__all__ = ["Forwarder", "IncompleteResponseError"]

# Read timeout of an idempotent stream, in seconds, after which it is sent to
# another upstream. Callers disconnect after 2 s without data; the users'
# workloads aim at pauses of 0.25 s.
STREAM_READ_TIMEOUT_S = 1.0
# Read timeout of an idempotent call, in multiples of the route's target
# latency; the slowest calls of the users' workloads take twice the target.
CALL_READ_TIMEOUT_FACTOR = 3.0
# Responses up to this size, in bytes, are relayed only once they are complete,
# so that the request can be retried if the response is truncated.
MAX_BUFFERED_BYTES = 262_144
# Upper bound of the logged age of a load, in seconds; it stands for a load that
# was never read, whose age is infinite.
MAX_LOGGED_LOAD_AGE_S = 99.0
OK = 200
# First status of responses that do not show that a request crashes no upstream.
FIRST_ERROR_STATUS = 500
# Share of the target latency for which a request waits for a permit.
PERMIT_WAIT_SHARE = 0.25
# Time for which a broken stream waits for a permit, in seconds; callers
# disconnect after 2 s without data.
RESUMPTION_WAIT_S = 0.5


class Forwarder:
    """Forwards callers' requests to upstreams and relays the responses."""

    def __init__(
        self,
        view: FleetView,
        client: UpstreamClient,
        origins: StreamOrigins,
        quarantine: PromptQuarantine,
        permits: Permits,
        rng: random.Random,
        admission: Admission | None = None,
    ) -> None:
        """Creates the forwarder.

        Args:
            view: Current routes and upstreams.
            client: Sends requests to upstreams.
            origins: Versions that began streams.
            quarantine: Prompts and requests that crash upstreams.
            permits: Permits for upstreams that limit their rate.
            rng: Draws services and the jitter of Retry-After.
            admission: Admits new requests; by default all of them.
        """
        self._view = view
        self._client = client
        self._origins = origins
        self._quarantine = quarantine
        self._rng = rng
        self._admission = admission or Admission()
        self._selector = UpstreamSelector(view, permits, self._admission, rng)

    async def forward(
        self,
        exchange: Exchange,
        route: Route,
        body: bytes,
        received_at: float,
        team: Team | None = None,
    ) -> None:
        """Serves one request.

        Args:
            exchange: The caller's exchange; the response is sent there.
            route: Route of the request.
            body: Request body.
            received_at: Monotonic time in seconds at which the request's head
                was read.
            team: Team that sends the request; None if callers need no keys.

        Raises:
            IncompleteResponseError: The response has started and cannot be
                completed.
            PlumvaneError: The request failed before a response started.
        """
        request = exchange.request
        timeout_s = route.timeout_s
        if request.timeout_s is not None:
            timeout_s = min(timeout_s, request.timeout_s)
        state = RequestState(
            exchange=exchange,
            route=route,
            service=route.choose_service(self._rng),
            body=body,
            team=team,
            fingerprint=request.fingerprint(body),
            target_at=received_at + route.target_latency_s,
            deadline=received_at + timeout_s,
            permit_deadline=(
                received_at + PERMIT_WAIT_SHARE * route.target_latency_s
            ),
            last_event_id=request.last_event_id,
        )
        with anyio.move_on_after(clock.remaining(state.deadline)):
            if route.is_resumable and state.last_event_id is not None:
                await self._find_origin(state)
            elif state.last_event_id is None:
                self._admission.admit(state)
            await self._run_attempts(state)
            return
        if exchange.has_started:
            raise IncompleteResponseError("the deadline passed")
        if state.sent_ids:
            raise DeadlineExceededError(
                "The deadline passed while the request was at an upstream."
            )
        raise self._selector.rejection(
            "The deadline passed before an upstream accepted the request."
        )

    async def _find_origin(self, state: RequestState) -> None:
        """Determines where a stream began that the caller takes up.

        Raises:
            StreamVersionUnknownError: It is not known for certain, or the
                route does not lead there any more.
        """
        request = state.exchange.request
        origin = await self._origins.find(request.resumed_id, state.route)
        services = {weighted.service for weighted in state.route.services}
        if origin is None or origin.service not in services:
            raise StreamVersionUnknownError(
                "The software version that began the stream "
                f"{request.resumed_id or 'without an id'} is not known.",
                not_run=True,
                retry_after_s=self._selector.retry_after_s(),
            )
        state.service, state.version = origin.service, origin.version

    async def _run_attempts(self, state: RequestState) -> None:
        while True:
            self._check_quarantine(state)
            upstream = await self._selector.take(state)
            # It may have been quarantined while it waited.
            self._check_quarantine(state)
            self._admission.record_sent(state, upstream)
            self._log_routed(state, upstream)
            attempt = self._make_attempt(state)
            # Recorded before sending: if the deadline ends the attempt, the
            # upstream may have run the request.
            state.sent_ids.add(upstream.upstream_id)
            state.attempt_events = None
            state.sent_at = clock.monotonic()
            try:
                await self._run_attempt(state, upstream, attempt)
                return
            except (
                OverloadedError,
                UpstreamUnavailableError,
                UpstreamLostError,
            ) as error:
                self._handle_failure(state, upstream, error)
            finally:
                self._admission.record_closed(state)

    def _check_quarantine(self, state: RequestState) -> None:
        """Checks that the request does not crash upstreams.

        Raises:
            IncompleteResponseError: It does, and the response has started.
            PromptQuarantinedError: Its prompt does.
            RequestQuarantinedError: It does by itself.
        """
        try:
            self._quarantine.check(
                state.exchange.request.prompt, state.fingerprint
            )
        except (PromptQuarantinedError, RequestQuarantinedError) as error:
            if state.exchange.has_started:
                raise IncompleteResponseError(error.detail) from error
            raise

    def _make_attempt(self, state: RequestState) -> Attempt:
        request = state.exchange.request
        return Attempt(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=state.body,
            deadline=state.deadline,
            last_event_id=state.last_event_id,
            is_idempotent=state.route.is_idempotent,
            read_timeout_s=self._read_timeout(state),
        )

    def _read_timeout(self, state: RequestState) -> float | None:
        """Returns the read timeout of the next attempt in seconds, or None.

        There is none if the request cannot be sent to another upstream after
        a timeout: it is not idempotent, this is its last attempt, or no other
        upstream is left. It then waits until its deadline.
        """
        route = state.route
        attempts = len(state.sent_ids) + 1
        if not route.is_idempotent or attempts >= route.max_attempts:
            return None
        if len(self._view.upstreams.ready(state.service)) <= attempts:
            return None
        if route.kind is RouteKind.STREAM:
            return STREAM_READ_TIMEOUT_S
        return CALL_READ_TIMEOUT_FACTOR * route.target_latency_s

    async def _run_attempt(
        self, state: RequestState, upstream: Upstream, attempt: Attempt
    ) -> None:
        async with self._client.send(upstream, attempt) as response:
            record_success(upstream)
            state.attempt_events = 0
            if state.route.kind is RouteKind.STREAM and response.status == OK:
                await self._relay_stream(
                    state, upstream, response, attempt.read_timeout_s
                )
            else:
                read_at = await self._relay_response(state.exchange, response)
                if response.status == OK:
                    self._admission.record_end(state, None)
                    record_call(
                        upstream.pace_samples,
                        response.head.load,
                        state.sent_at,
                        read_at,
                    )
                if response.status < FIRST_ERROR_STATUS:
                    self._record_answer(state)

    async def _relay_stream(
        self,
        state: RequestState,
        upstream: Upstream,
        response: UpstreamResponse,
        idle_timeout_s: float | None,
    ) -> None:
        """Relays whole events only, so that the stream can be resumed."""
        exchange = state.exchange
        received = 0
        first_at: float | None = None
        parser = EventStreamParser(state.last_event_id)
        timer = StreamTimer(
            upstream.pace_samples, response.head.load, state.sent_at
        )
        async for event in read_events(
            response.iter_body(),
            parser,
            idle_timeout_s,
            ends_with_connection=response.head.ends_with_connection,
        ):
            timer.record_event(clock.monotonic())
            if not exchange.has_started:
                first_at = clock.monotonic()
                self._admission.record_first_event(state)
                self._record_origin(state, upstream)
                await exchange.start(response.status, response.headers)
            await exchange.send_part(event.raw)
            state.last_event_id = parser.last_event_id
            received += 1
            state.attempt_events = received
            if received == ANSWERING_EVENTS:
                self._record_answer(state)
        if 0 < received < ANSWERING_EVENTS:
            self._record_answer(state)
        if not exchange.has_started:
            await exchange.start(response.status, response.headers)
        if first_at is not None:
            self._admission.record_end(state, first_at)
        await exchange.finish()

    def _record_answer(self, state: RequestState) -> None:
        self._quarantine.record_answer(
            state.exchange.request.prompt, state.fingerprint
        )

    def _record_origin(self, state: RequestState, upstream: Upstream) -> None:
        """Ties the stream to the version that sends its first event."""
        if not state.route.is_resumable:
            return
        state.version = upstream.listed.version
        request = state.exchange.request
        self._origins.record(
            request.resumed_id or request.request_id,
            Origin(state.service, state.version),
            state.route,
            state.deadline,
        )

    async def _relay_response(
        self, exchange: Exchange, response: UpstreamResponse
    ) -> float:
        """Relays a response; a small one is buffered until it is complete.

        Returns:
            Monotonic time in seconds at which the end of its body was read.
        """
        if exchange.has_started:
            raise IncompleteResponseError(
                f"an upstream responded to the resumed request with status "
                f"{response.status}"
            )
        buffer = bytearray()
        async for part in response.iter_body():
            if exchange.has_started:
                await exchange.send_part(part)
                continue
            buffer += part
            if len(buffer) > MAX_BUFFERED_BYTES:
                await exchange.start(response.status, response.headers)
                await exchange.send_part(bytes(buffer))
                buffer.clear()
        read_at = clock.monotonic()
        if exchange.has_started:
            await exchange.finish()
        else:
            await exchange.respond(
                response.status, bytes(buffer), response.headers
            )
        return read_at

    def _handle_failure(
        self, state: RequestState, upstream: Upstream, error: PlumvaneError
    ) -> None:
        """Records a failed attempt; returns if the request may be retried.

        Raises:
            IncompleteResponseError: The response has started and cannot be
                resumed.
            OutcomeUnknownError: The request may have run and is not
                idempotent.
        """
        state.error = error
        state.permit_deadline = max(
            state.permit_deadline, clock.monotonic() + RESUMPTION_WAIT_S
        )
        record_failure(self._view.upstreams, upstream, error)
        if isinstance(error, UpstreamLostError):
            self._quarantine.record_loss(
                upstream,
                state.exchange.request.prompt,
                state.attempt_events,
                state.fingerprint,
                state.sent_at,
            )
        if error.not_run:
            state.sent_ids.discard(upstream.upstream_id)
            state.rejected_ids.add(upstream.upstream_id)
        elif state.exchange.has_started and not state.route.is_resumable:
            raise IncompleteResponseError(error.detail)
        elif not state.route.is_idempotent:
            raise OutcomeUnknownError(
                f"The response was lost: {error.detail}"
            ) from error
        elif not self._admission.may_repeat(state):
            raise UpstreamLostError(
                "The response was lost, and no place is free for a repeat: "
                f"{error.detail}"
            ) from error
        events.log(
            events.Event.REQUEST_RETRIED,
            request=state.exchange.request.request_id,
            upstream=upstream.upstream_id,
            error=str(error),
            last_event=state.last_event_id,
        )

    def _log_routed(self, state: RequestState, upstream: Upstream) -> None:
        now = clock.monotonic()
        events.log(
            events.Event.REQUEST_ROUTED,
            request=state.exchange.request.request_id,
            route=state.route.name,
            upstream=upstream.upstream_id,
            version=upstream.listed.version,
            last_event=state.last_event_id,
            resumes=state.exchange.request.resumed_id,
            prompt=state.exchange.request.prompt,
            fingerprint=state.fingerprint,
            load=upstream.estimated_load(now),
            load_age_s=round(
                min(upstream.load_age(now), MAX_LOGGED_LOAD_AGE_S), 2
            ),
            slots=upstream.slots,
            pace=round(upstream.pace, 2),
            attempt=len(state.sent_ids) + len(state.rejected_ids) + 1,
            **self._admission.describe(state),
        )

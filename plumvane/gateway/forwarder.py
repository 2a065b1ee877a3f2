"""Requests of callers to upstreams: choice, retries, resumption, refusal."""

from __future__ import annotations

import dataclasses
import random

import anyio

from plumvane import clock, events
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    DeadlineExceededError,
    OutcomeUnknownError,
    OverloadedError,
    PlumvaneError,
    UpstreamLostError,
    UpstreamUnavailableError,
)
from plumvane.gateway.exchange import Exchange
from plumvane.relay.caller import Attempt, Reply, UpstreamCaller
from plumvane.relay.events import EventReader
from plumvane.relay.health import note_answer, note_failure
from plumvane.serving.routes import Route, RouteKind
from plumvane.serving.upstreams import Upstream

__all__ = ["BrokenAnswerError", "Forwarder"]

# Longest silence of a resumable stream before it goes on elsewhere, in seconds.
# Callers leave after two; the sheets aim at pauses of a quarter of a second.
STREAM_SILENCE_S = 1.0
# Longest silence of an idempotent call, in multiples of the route's target:
# the slowest calls of the sheets take twice the target.
CALL_SILENCE_TARGETS = 3.0
# Answers up to this size are passed on only when they are whole, so that a
# broken one can be had again, in bytes.
BUFFERED_BYTES = 262_144
# Age that the log shows for a load that was never read, in seconds.
LOAD_AGE_SHOWN_S = 99.0
# Upstreams that may refuse one request before it is refused to the caller.
MAX_REFUSALS = 4
# When a refused caller may come back, in seconds: about the time in which a
# busy service frees some slots; spread so that callers do not return together.
RETRY_AFTER_S = 0.15
RETRY_AFTER_SPREAD_S = 0.3


class BrokenAnswerError(Exception):
    """An answer that was begun cannot be completed."""


@dataclasses.dataclass(slots=True)
class _Forwarding:
    """A request, and what became of it so far.

    Attributes:
        exchange: The caller's exchange.
        route: Route of the request.
        service: Service that was drawn for it.
        body: Its body.
        deadline: Monotonic time in seconds at which it must have an answer.
        last_event_id: Last event that the caller has, or None.
        sent_ids: Upstreams that may have run it.
        refused_ids: Upstreams that have not run it.
        error: Last failure.
    """

    exchange: Exchange
    route: Route
    service: str
    body: bytes
    deadline: float
    last_event_id: int | None
    sent_ids: set[str] = dataclasses.field(default_factory=set)
    refused_ids: set[str] = dataclasses.field(default_factory=set)
    error: PlumvaneError | None = None


class Forwarder:
    """Has upstreams run callers' requests and passes their answers on."""

    def __init__(
        self, view: FleetView, caller: UpstreamCaller, rng: random.Random
    ) -> None:
        """Creates the forwarder.

        Args:
            view: Routes and upstreams in force.
            caller: Sends to upstreams.
            rng: Draws services and spreads returns.
        """
        self._view = view
        self._caller = caller
        self._rng = rng

    async def forward(
        self, exchange: Exchange, route: Route, body: bytes, received: float
    ) -> None:
        """Serves one request.

        Args:
            exchange: The caller's exchange; its answer is sent there.
            route: Route of the request.
            body: Its body.
            received: Monotonic time in seconds at which its head was read.

        Raises:
            BrokenAnswerError: The answer began and cannot be completed.
            PlumvaneError: There is no answer.
        """
        request = exchange.request
        span = route.timeout_s
        if request.patience_s is not None:
            span = min(span, request.patience_s)
        work = _Forwarding(
            exchange=exchange,
            route=route,
            service=route.choose_service(self._rng),
            body=body,
            deadline=received + span,
            last_event_id=request.last_event_id,
        )
        with anyio.move_on_after(clock.remaining(work.deadline)):
            await self._try_all(work)
            return
        if exchange.has_started:
            raise BrokenAnswerError("the deadline passed")
        if work.sent_ids:
            raise DeadlineExceededError(
                "The deadline passed while an upstream had the request."
            )
        raise self._refusal("The deadline passed before an upstream took it.")

    async def _try_all(self, work: _Forwarding) -> None:
        while True:
            upstream = self._choose(work)
            self._log_routed(work, upstream)
            attempt = self._attempt(work)
            work.sent_ids.add(upstream.upstream_id)
            try:
                await self._try_one(work, upstream, attempt)
                return
            except (
                OverloadedError,
                UpstreamUnavailableError,
                UpstreamLostError,
            ) as error:
                self._take_failure(work, upstream, error)

    def _choose(self, work: _Forwarding) -> Upstream:
        """Returns the upstream of the next attempt.

        Raises:
            BrokenAnswerError: None is left, and the answer has begun.
            OverloadedError: None is left, and none has run the request.
            UpstreamLostError: None is left, and one may have run it.
        """
        enough = (
            len(work.refused_ids) >= MAX_REFUSALS
            or len(work.sent_ids) >= work.route.max_attempts
        )
        upstream = None
        if not enough:
            upstream = self._view.upstreams.choose(
                work.service,
                clock.monotonic(),
                work.sent_ids | work.refused_ids,
            )
        if upstream is not None:
            return upstream
        if work.exchange.has_started:
            raise BrokenAnswerError(f"nobody has the rest: {work.error}")
        if not work.sent_ids:
            raise self._refusal(
                f"No upstream of {work.service} takes the request: "
                f"{work.error or 'none is listed'}"
            )
        raise UpstreamLostError(
            f"An upstream may have run the request; its answer was lost, and "
            f"no other gave one: {work.error}"
        )

    def _attempt(self, work: _Forwarding) -> Attempt:
        request = work.exchange.request
        return Attempt(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=work.body,
            deadline=work.deadline,
            last_event_id=work.last_event_id,
            is_idempotent=work.route.is_idempotent,
            max_silence_s=self._longest_silence(work),
        )

    def _longest_silence(self, work: _Forwarding) -> float | None:
        """Returns how long an upstream may be silent; None for no limit.

        Without a limit the request waits for its deadline: it may not be sent
        again, or there is nowhere else to send it.
        """
        route = work.route
        tried = len(work.sent_ids) + 1
        if not route.is_idempotent or tried >= route.max_attempts:
            return None
        if len(self._view.upstreams.ready(work.service)) <= tried:
            return None
        if route.kind is RouteKind.STREAM:
            return STREAM_SILENCE_S
        return CALL_SILENCE_TARGETS * route.target_latency_s

    async def _try_one(
        self, work: _Forwarding, upstream: Upstream, attempt: Attempt
    ) -> None:
        async with self._caller.send(upstream, attempt) as reply:
            note_answer(upstream)
            if work.route.kind is RouteKind.STREAM and reply.status == 200:
                await self._pass_stream(work, reply)
            else:
                await self._pass_answer(work.exchange, reply)

    async def _pass_stream(self, work: _Forwarding, reply: Reply) -> None:
        exchange = work.exchange
        reader = EventReader(work.last_event_id)
        async for part in reply.parts():
            for event in reader.feed(part):
                if not exchange.has_started:
                    await exchange.start(reply.status, reply.headers)
                await exchange.send_part(event.raw)
                work.last_event_id = reader.last_event_id
        reader.finish()
        if not exchange.has_started:
            await exchange.start(reply.status, reply.headers)
        await exchange.finish()

    async def _pass_answer(self, exchange: Exchange, reply: Reply) -> None:
        """Passes an answer on, whole if it is small."""
        if exchange.has_started:
            raise BrokenAnswerError(
                f"an upstream answered the rest with {reply.status}"
            )
        parts: list[bytes] = []
        size = 0
        async for part in reply.parts():
            if exchange.has_started:
                await exchange.send_part(part)
                continue
            parts.append(part)
            size += len(part)
            if size > BUFFERED_BYTES:
                await exchange.start(reply.status, reply.headers)
                await exchange.send_part(b"".join(parts))
        if exchange.has_started:
            await exchange.finish()
        else:
            await exchange.answer(reply.status, b"".join(parts), reply.headers)

    def _take_failure(
        self, work: _Forwarding, upstream: Upstream, error: PlumvaneError
    ) -> None:
        """Takes a failed attempt in.

        Raises:
            BrokenAnswerError: The answer has begun and cannot go on.
            OutcomeUnknownError: The request may have run, and only once.
        """
        work.error = error
        note_failure(self._view.upstreams, upstream, error)
        if error.not_run:
            work.sent_ids.discard(upstream.upstream_id)
            work.refused_ids.add(upstream.upstream_id)
        elif work.exchange.has_started and not work.route.is_resumable:
            raise BrokenAnswerError(error.detail)
        elif not work.route.is_idempotent:
            raise OutcomeUnknownError(
                f"The answer was lost: {error.detail}"
            ) from error
        events.log(
            events.Event.REQUEST_RETRIED,
            request=work.exchange.request.request_id,
            upstream=upstream.upstream_id,
            error=str(error),
            last_event=work.last_event_id,
        )

    def _refusal(self, detail: str) -> OverloadedError:
        spread = self._rng.random() * RETRY_AFTER_SPREAD_S
        return OverloadedError(
            detail, not_run=True, retry_after_s=RETRY_AFTER_S + spread
        )

    def _log_routed(self, work: _Forwarding, upstream: Upstream) -> None:
        now = clock.monotonic()
        events.log(
            events.Event.REQUEST_ROUTED,
            request=work.exchange.request.request_id,
            route=work.route.name,
            upstream=upstream.upstream_id,
            load=upstream.estimated_load(now),
            load_age_s=round(min(upstream.load_age(now), LOAD_AGE_SHOWN_S), 2),
            slots=upstream.slots,
            attempt=len(work.sent_ids) + len(work.refused_ids) + 1,
        )

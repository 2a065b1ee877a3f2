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
    WrongUpstreamError,
)
from plumvane.gateway.exchange import Exchange
from plumvane.relay.caller import Attempt, Reply, UpstreamCaller
from plumvane.relay.events import EventReader
from plumvane.serving.routes import Kind, Route
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
# Upstreams that may refuse one request before it is refused to the caller.
MAX_REFUSALS = 4
# When a refused caller may come back, in seconds: about the time in which a
# busy service frees some slots; spread so that callers do not return together.
RETRY_AFTER_S = 0.15
RETRY_AFTER_SPREAD_S = 0.3


class BrokenAnswerError(Exception):
    """An answer that was begun cannot be completed."""


@dataclasses.dataclass(slots=True)
class _Progress:
    """What became of a request so far.

    Attributes:
        sent_ids: Upstreams that may have run it.
        refused_ids: Upstreams that have not run it.
        last_event_id: Last event that the caller has, or None.
        error: Last failure.
    """

    sent_ids: set[str]
    refused_ids: set[str]
    last_event_id: int | None
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
        patience_s = exchange.request.patience_s
        span = route.timeout_s
        if patience_s is not None:
            span = min(span, patience_s)
        deadline = received + span
        service = route.choose_service(self._rng)
        progress = _Progress(set(), set(), exchange.request.last_event_id)
        with anyio.move_on_after(max(0.0, deadline - clock.monotonic())):
            await self._try_all(
                exchange, route, service, body, deadline, progress
            )
            return
        if exchange.has_started:
            raise BrokenAnswerError("the deadline passed")
        if progress.sent_ids:
            raise DeadlineExceededError(
                "The deadline passed while an upstream had the request."
            )
        raise self._refusal("The deadline passed before an upstream took it.")

    async def _try_all(
        self,
        exchange: Exchange,
        route: Route,
        service: str,
        body: bytes,
        deadline: float,
        progress: _Progress,
    ) -> None:
        while True:
            upstream = self._choose(exchange, route, service, progress)
            attempt = self._attempt(
                exchange, route, service, body, deadline, progress
            )
            self._log_routed(exchange, route, upstream, progress)
            progress.sent_ids.add(upstream.upstream_id)
            try:
                await self._try_one(
                    exchange, route, upstream, attempt, progress
                )
                return
            except (OverloadedError, UpstreamUnavailableError) as error:
                progress.sent_ids.discard(upstream.upstream_id)
                progress.refused_ids.add(upstream.upstream_id)
                self._take_refusal(upstream, error)
                progress.error = error
            except UpstreamLostError as error:
                self._eject(upstream, error)
                progress.error = error
                self._check_repeatable(exchange, route, progress, error)
            events.log(
                events.Event.REQUEST_RETRIED,
                request=exchange.request.request_id,
                upstream=upstream.upstream_id,
                error=str(progress.error),
                last_event=progress.last_event_id,
            )

    def _choose(
        self,
        exchange: Exchange,
        route: Route,
        service: str,
        progress: _Progress,
    ) -> Upstream:
        """Returns the upstream of the next attempt.

        Raises:
            BrokenAnswerError: None is left, and the answer has begun.
            OverloadedError: None is left, and none has run the request.
            UpstreamLostError: None is left, and one may have run it.
        """
        tried = progress.sent_ids | progress.refused_ids
        enough = (
            len(progress.refused_ids) >= MAX_REFUSALS
            or len(progress.sent_ids) >= route.max_attempts
        )
        upstream = None
        if not enough:
            upstream = self._view.upstreams.choose(
                service, clock.monotonic(), tried
            )
        if upstream is not None:
            return upstream
        if exchange.has_started:
            raise BrokenAnswerError(f"nobody has the rest: {progress.error}")
        if not progress.sent_ids:
            raise self._refusal(
                f"No upstream of {service} takes the request: "
                f"{progress.error or 'none is listed'}"
            )
        raise UpstreamLostError(
            f"An upstream may have run the request; its answer was lost, and "
            f"no other gave one: {progress.error}"
        )

    def _attempt(
        self,
        exchange: Exchange,
        route: Route,
        service: str,
        body: bytes,
        deadline: float,
        progress: _Progress,
    ) -> Attempt:
        request = exchange.request
        return Attempt(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=body,
            deadline=deadline,
            last_event_id=progress.last_event_id,
            is_idempotent=route.is_idempotent,
            gap_s=self._longest_silence(route, service, progress),
        )

    def _longest_silence(
        self, route: Route, service: str, progress: _Progress
    ) -> float | None:
        """Returns how long an upstream may be silent; None for no limit.

        Without a limit the request waits for its deadline: it may not be sent
        again, or there is nowhere else to send it.
        """
        tried = len(progress.sent_ids) + 1
        if not route.is_idempotent or tried >= route.max_attempts:
            return None
        if len(self._view.upstreams.ready(service)) <= tried:
            return None
        if route.kind is Kind.STREAM:
            return STREAM_SILENCE_S
        return CALL_SILENCE_TARGETS * route.target_latency_s

    async def _try_one(
        self,
        exchange: Exchange,
        route: Route,
        upstream: Upstream,
        attempt: Attempt,
        progress: _Progress,
    ) -> None:
        async with self._caller.send(upstream, attempt) as reply:
            if upstream.succeed():
                events.log(
                    events.Event.UPSTREAM_BACK, upstream=upstream.upstream_id
                )
            if route.kind is Kind.STREAM and reply.status == 200:
                await self._pass_stream(exchange, attempt, reply, progress)
            else:
                await self._pass_answer(exchange, reply)

    async def _pass_stream(
        self,
        exchange: Exchange,
        attempt: Attempt,
        reply: Reply,
        progress: _Progress,
    ) -> None:
        reader = EventReader(attempt.last_event_id)
        async for part in reply.parts():
            for event in reader.feed(part):
                if not exchange.has_started:
                    await exchange.start(reply.status, reply.headers)
                await exchange.send_part(event.raw)
                progress.last_event_id = reader.last_event_id
        reader.finish()
        if not exchange.has_started:
            await exchange.start(reply.status, reply.headers)
        await exchange.finish()

    async def _pass_answer(self, exchange: Exchange, reply: Reply) -> None:
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

    def _check_repeatable(
        self,
        exchange: Exchange,
        route: Route,
        progress: _Progress,
        error: PlumvaneError,
    ) -> None:
        """Raises the request's final error unless it may be sent again."""
        if exchange.has_started and not route.is_resumable:
            raise BrokenAnswerError(error.detail)
        if not route.is_idempotent:
            raise OutcomeUnknownError(
                f"The answer was lost: {error.detail}"
            ) from error

    def _take_refusal(self, upstream: Upstream, error: PlumvaneError) -> None:
        if isinstance(error, WrongUpstreamError):
            self._view.upstreams.remove(upstream.upstream_id)
            events.log(
                events.Event.UPSTREAM_GONE,
                upstream=upstream.upstream_id,
                service=upstream.listed.service,
                reason="another upstream has its address",
            )
        elif isinstance(error, UpstreamUnavailableError):
            self._eject(upstream, error)

    def _eject(self, upstream: Upstream, error: PlumvaneError) -> None:
        now = clock.monotonic()
        until = upstream.fail(now)
        events.log(
            events.Event.UPSTREAM_EJECTED,
            upstream=upstream.upstream_id,
            for_s=round(until - now, 2),
            error=error.detail,
        )

    def _refusal(self, detail: str) -> OverloadedError:
        spread = self._rng.random() * RETRY_AFTER_SPREAD_S
        return OverloadedError(
            detail, not_run=True, retry_after_s=RETRY_AFTER_S + spread
        )

    def _log_routed(
        self,
        exchange: Exchange,
        route: Route,
        upstream: Upstream,
        progress: _Progress,
    ) -> None:
        now = clock.monotonic()
        events.log(
            events.Event.REQUEST_ROUTED,
            request=exchange.request.request_id,
            route=route.name,
            upstream=upstream.upstream_id,
            load=upstream.estimated_load(now),
            load_age_s=round(min(upstream.load_age(now), 99.0), 2),
            slots=upstream.slots,
            attempt=len(progress.sent_ids) + len(progress.refused_ids) + 1,
        )

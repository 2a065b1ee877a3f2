"""Admission of requests while the places of upstreams are short."""

from __future__ import annotations

from typing import Any

from plumvane import clock, events, metrics
from plumvane.discovery.view import FleetView
from plumvane.errors import OverloadedError
from plumvane.gateway.requests import RequestState
from plumvane.metrics import Metric
from plumvane.serving.expectation import MAX_LOAD_AGE_S, Expectation
from plumvane.serving.overload import Ask, Decision, OverloadPolicy
from plumvane.serving.upstreams import Upstream

__all__ = ["Admission", "InTimeAdmission"]

# Upper bound of the logged age of a load, in seconds; it stands for a load that
# was never read, whose age is infinite.
MAX_LOGGED_LOAD_AGE_S = 99.0


class Admission:
    """Admits all requests: the baseline."""

    def admit(self, state: RequestState) -> None:
        """Checks that a new request can be served in time.

        Raises:
            OverloadedError: It cannot; the error says when to come back.
        """

    def avoided_ids(self, state: RequestState) -> frozenset[str]:
        """Returns upstreams at which the request would be late."""
        return frozenset()

    def may_repeat(self, state: RequestState) -> bool:
        """Returns whether a failed attempt may be repeated."""
        return True

    def record_sent(self, state: RequestState, upstream: Upstream) -> None:
        """Records that an attempt is sent to an upstream."""

    def record_first_event(self, state: RequestState) -> None:
        """Records the first event of a stream."""

    def record_end(self, state: RequestState, first_at: float | None) -> None:
        """Records a complete response.

        Args:
            state: The request.
            first_at: Monotonic time in seconds of the first event; None for a
                call.
        """

    def record_closed(self, state: RequestState) -> None:
        """Records that an attempt ended, in whichever way."""

    def describe(self, state: RequestState) -> dict[str, Any]:
        """Returns what the log tells about the last attempt."""
        return {}


class InTimeAdmission(Admission):
    """Admits the requests that can be served in time."""

    def __init__(self, view: FleetView, policy: OverloadPolicy) -> None:
        """Creates the admission.

        Args:
            view: Current upstreams.
            policy: Decides which requests are admitted.
        """
        self._view = view
        self._policy = policy

    def admit(self, state: RequestState) -> None:
        """See `Admission`."""
        team, route = state.team, state.route
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        ask = Ask(
            route=route.name,
            team=team.name if team is not None else "",
            priority=priority,
            target_at=state.target_at,
            deadline=state.deadline,
            timeout_s=state.exchange.request.timeout_s,
            fingerprint=state.fingerprint,
        )
        now = clock.monotonic()
        upstreams = self._upstreams(state, now)
        decision = self._policy.decide(state.service, ask, upstreams, now)
        if decision.is_admitted:
            return
        self._log_refused(state, ask, decision, upstreams)
        raise OverloadedError(
            f"{state.service} has no place in time for the request.",
            not_run=True,
            retry_after_s=decision.retry_after_s,
        )

    def avoided_ids(self, state: RequestState) -> frozenset[str]:
        """See `Admission`."""
        now = clock.monotonic()
        return self._policy.late_ids(
            state.service, self._upstreams(state, now), state.target_at, now
        )

    def may_repeat(self, state: RequestState) -> bool:
        """See `Admission`; streams that have started go first."""
        if state.exchange.has_started or state.last_event_id is not None:
            return True
        now = clock.monotonic()
        return self._policy.may_repeat(
            state.service, self._upstreams(state, now), now
        )

    def record_sent(self, state: RequestState, upstream: Upstream) -> None:
        """See `Admission`."""
        load = self._policy.load_of(state.service)
        now = clock.monotonic()
        state.expectation = load.expect([upstream], now)[0]
        load.waits.record_sent(state.exchange.request.request_id, now)

    def record_first_event(self, state: RequestState) -> None:
        """See `Admission`."""
        expected = state.expectation
        if expected is None or state.last_event_id is not None:
            return
        now = clock.monotonic()
        first_s = now - state.sent_at
        load = self._policy.load_of(state.service)
        load.waits.record_first_event(
            state.exchange.request.request_id, load.times.first_s, now
        )
        # Where the load is not known, it may have waited in a queue.
        if expected.has_place and expected.load_age_s <= MAX_LOAD_AGE_S:
            load.times.record_first_event(first_s)
        if expected.is_sure:
            error_s = first_s - expected.first_event_s
            metrics.record(
                Metric.EXPECTATION_ERROR,
                abs(error_s),
                direction="later" if error_s > 0 else "sooner",
            )

    def record_end(self, state: RequestState, first_at: float | None) -> None:
        """See `Admission`."""
        if state.expectation is None:
            return
        times = self._policy.load_of(state.service).times
        now = clock.monotonic()
        if first_at is None:
            self.record_first_event(state)
            times.record_end(0.0)
        else:
            times.record_end(now - first_at)

    def record_closed(self, state: RequestState) -> None:
        """See `Admission`."""
        load = self._policy.load_of(state.service)
        load.waits.forget(state.exchange.request.request_id)

    def describe(self, state: RequestState) -> dict[str, Any]:
        """See `Admission`."""
        return _describe(state.expectation)

    def _upstreams(self, state: RequestState, now: float) -> list[Upstream]:
        return [
            upstream
            for upstream in self._view.upstreams.ready(state.service)
            if not upstream.is_ejected(now)
        ]

    def _log_refused(
        self,
        state: RequestState,
        ask: Ask,
        decision: Decision,
        upstreams: list[Upstream],
    ) -> None:
        load = self._policy.load_of(state.service)
        now = clock.monotonic()
        events.log(
            events.Event.OVERLOAD_REFUSED,
            request=state.exchange.request.request_id,
            route=ask.route,
            team=ask.team,
            priority=ask.priority,
            reason=decision.reason,
            open_wait_s=round(decision.open_wait_s, 3),
            is_returning=decision.is_returning,
            is_within_share=decision.is_within_share,
            team_asked=load.shares.asked(ask.team),
            fair_share=_finite(load.shares.level()),
            hold_s=round(load.times.hold_s, 3),
            taken=sum(u.estimated_load(now) for u in upstreams),
            slots=sum(u.slots for u in upstreams),
            retry_after_s=decision.retry_after_s,
            **_describe(decision.expected),
        )


def _describe(expected: Expectation | None) -> dict[str, Any]:
    if expected is None or not expected.is_sure:
        return {"expected_s": None}
    return {
        "expected_s": round(expected.first_event_s, 3),
        "expected_wait_s": round(expected.wait_s, 3),
        "ahead": round(expected.ahead, 1),
        "expected_age_s": round(
            min(expected.load_age_s, MAX_LOGGED_LOAD_AGE_S), 2
        ),
    }


def _finite(level: float) -> float | None:
    return round(level, 1) if level != float("inf") else None

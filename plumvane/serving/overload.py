"""Decides which requests are admitted while places are short."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

from plumvane.serving.budget import RetryBudget
from plumvane.serving.expectation import (
    MAX_LOAD_AGE_S,
    Expectation,
    LoadTrend,
    OwnWaits,
    ServiceTimes,
    eligible,
    expect,
    typical,
)
from plumvane.serving.fairness import FairShares
from plumvane.serving.returns import (
    CallerTimeouts,
    DecayingRate,
    ReturnTimes,
    spare_rate,
)
from plumvane.serving.upstreams import Upstream

__all__ = ["Ask", "Decision", "OverloadPolicy", "ServiceLoad"]

# Share of the reported places below which nothing is refused while no request
# waits, whatever the other gateways may have sent since.
FREE_SHARE = 0.6
# Share of the waiting time that is open to what a team asks beyond its fair
# share.
EXCESS_SHARE = 1 / 3
# Part of the waiting time by which the limits of requests differ at random.
OPEN_SPREAD = 0.3
# Weight of a new observation in this instance's share of the requests, and the
# smallest share.
SHARE_WEIGHT = 0.05
MIN_SHARE = 0.002
# Times over which the usual and the present rate of requests are taken, in
# seconds: longer than a burst, and shorter.
USUAL_RATE_S = 10.0
PRESENT_RATE_S = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request that asks for a place.

    Attributes:
        route: Name of its route.
        team: Name of its team; empty if callers need no keys.
        priority: Priority; 0 is the most urgent.
        target_at: Monotonic time in seconds by which its first event is in
            time.
        deadline: Monotonic time in seconds until which its caller waits.
        timeout_s: Time that its caller gives, in seconds, or None.
        fingerprint: What repeats of the request have in common with it.
    """

    route: str
    team: str
    priority: int
    target_at: float
    deadline: float
    timeout_s: float | None
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request is admitted, and why.

    Attributes:
        is_admitted: Whether it is.
        reason: Short reason, for the log.
        expected: What it can expect; None if that is not known.
        open_wait_s: Time for which it may wait for a place, in seconds.
        is_returning: Whether its caller came back after a refusal.
        is_within_share: Whether it is within its team's fair share.
        retry_after_s: Seconds after which a refused caller may come back.
    """

    is_admitted: bool
    reason: str
    expected: Expectation | None = None
    open_wait_s: float = 0.0
    is_returning: bool = False
    is_within_share: bool = True
    retry_after_s: float | None = None


class ServiceLoad:
    """What an instance has learned about the load of a service.

    Attributes:
        times: Times that its requests take.
        waits: Waits of this instance's own requests.
        shares: Fair shares of the teams.
        returns: Times to come back in.
        budget: Limits repeats while no place is free.
    """

    def __init__(self, rng: random.Random) -> None:
        """Creates the record without observations.

        Args:
            rng: Draws the jitter of times to come back in.
        """
        self.times = ServiceTimes()
        self.waits = OwnWaits()
        self.shares = FairShares()
        self.returns = ReturnTimes(rng)
        self.budget = RetryBudget()
        self._trend = LoadTrend()
        self._usual = DecayingRate(USUAL_RATE_S)
        self._present = DecayingRate(PRESENT_RATE_S)
        self._own_share: float | None = None
        # Priorities that were seen, with the time of the last request.
        self._seen_at_by_priority: dict[int, float] = {}

    def observe(self, upstreams: Sequence[Upstream], now: float) -> None:
        """Records the loads of the service's upstreams."""
        self._trend.update(upstreams, now)
        known = _with_load(upstreams, now)
        total = sum(u.estimated_load(now) for u in known)
        if not total or 2 * len(known) < len(upstreams):
            return
        share = sum(u.in_flight for u in known) / total
        before = share if self._own_share is None else self._own_share
        self._own_share = before + SHARE_WEIGHT * (share - before)

    def expect(
        self, upstreams: Sequence[Upstream], now: float
    ) -> list[Expectation]:
        """Returns what a request can expect at each upstream."""
        growth = self._trend.growth
        return [expect(u, self.times, growth, now) for u in upstreams]

    def typical(
        self, upstreams: Sequence[Upstream], now: float
    ) -> Expectation | None:
        """Returns what a request can expect, or None on too little knowledge.

        The loads decide; if those of most upstreams are old, the waits of this
        instance's own requests do. Without upstreams nothing is known.
        """
        if not upstreams:
            return None
        sure = [e for e in self.expect(upstreams, now) if e.is_sure]
        if 2 * len(sure) > len(upstreams):
            return typical(sure)
        usual_s = self.times.first_s
        wait_s = self.waits.mean_s(usual_s, now)
        if wait_s is None or not self.times.are_known:
            return None
        return Expectation(
            upstream_id="",
            ahead=0.0,
            has_place=wait_s < usual_s,
            wait_s=wait_s,
            first_event_s=wait_s + usual_s,
            load_age_s=0.0,
            is_sure=True,
        )

    def record_ask(self, priority: int, now: float) -> None:
        """Counts a new request."""
        self._usual.add(now)
        self._present.add(now)
        self._seen_at_by_priority[priority] = now
        self.budget.deposit()

    def rank(self, priority: int, now: float) -> int:
        """Returns how many more urgent priorities were seen lately."""
        return sum(
            other < priority and now - seen_at < USUAL_RATE_S
            for other, seen_at in self._seen_at_by_priority.items()
        )

    def return_rate(self, upstreams: Sequence[Upstream], now: float) -> float:
        """Returns how many callers per second may come back here."""
        share = max(self._own_share or 0.0, MIN_SHARE)
        capacity = sum(
            u.slots / (self.times.hold_s * u.pace) for u in upstreams
        )
        expected_rate = max(self._usual.rate(now), self._present.rate(now))
        return spare_rate(share * capacity, expected_rate)


class OverloadPolicy:
    """Refuses at once what cannot have its first event in time.

    Answers bursts: without it, all requests wait in the upstreams' queues in
    order of arrival, so that most are late though many could be in time.
    """

    def __init__(self, rng: random.Random) -> None:
        """Creates the policy without observations.

        Args:
            rng: Draws the jitter of times to come back in.
        """
        self._rng = rng
        self._loads_by_service: dict[str, ServiceLoad] = {}
        self._timeouts = CallerTimeouts()

    def load_of(self, service: str) -> ServiceLoad:
        """Returns what is known about the load of a service."""
        known = self._loads_by_service.get(service)
        if known is None:
            known = ServiceLoad(self._rng)
            self._loads_by_service[service] = known
        return known

    def decide(
        self,
        service: str,
        ask: Ask,
        upstreams: Sequence[Upstream],
        now: float,
    ) -> Decision:
        """Decides whether a request is admitted.

        Args:
            service: Name of the service.
            ask: The request.
            upstreams: Upstreams of the service that accept requests.
            now: Monotonic time in seconds.
        """
        load = self.load_of(service)
        load.observe(upstreams, now)
        is_returning = self._timeouts.is_returning(
            ask.route, ask.timeout_s, ask.fingerprint, now
        )
        is_within_share = True
        if not is_returning:
            load.record_ask(ask.priority, now)
            is_within_share = load.shares.take(ask.team, now)
        decision = dataclasses.replace(
            self._judge(
                load,
                ask,
                upstreams,
                now,
                is_returning=is_returning,
                share=1.0 if is_within_share else EXCESS_SHARE,
            ),
            is_returning=is_returning,
            is_within_share=is_within_share,
        )
        if decision.is_admitted:
            if not is_returning:
                load.shares.record_admitted(now)
        else:
            self._timeouts.record_refusal(ask.fingerprint, ask.deadline)
        return decision

    def late_ids(
        self,
        service: str,
        upstreams: Sequence[Upstream],
        target_at: float,
        now: float,
    ) -> frozenset[str]:
        """Returns upstreams to avoid, as others give a first event in time.

        Args:
            service: Name of the service.
            upstreams: Its upstreams that accept requests.
            target_at: Monotonic time in seconds of the target.
            now: Monotonic time in seconds.
        """
        expectations = self.load_of(service).expect(upstreams, now)
        eligible_ids = {e.upstream_id for e in eligible(expectations)}
        return frozenset(
            e.upstream_id
            for e in expectations
            if e.is_sure
            and e.upstream_id not in eligible_ids
            and now + e.first_event_s > target_at
        )

    def may_repeat(
        self, service: str, upstreams: Sequence[Upstream], now: float
    ) -> bool:
        """Returns whether a failed attempt may be repeated.

        Answers failures under overload, whose repeats would take the places of
        others: while no place is free, repeats draw on a budget.
        """
        load = self.load_of(service)
        expected = load.typical(upstreams, now)
        if expected is None or expected.has_place or _has_room(upstreams, now):
            return True
        return load.budget.try_withdraw()

    def _judge(
        self,
        load: ServiceLoad,
        ask: Ask,
        upstreams: Sequence[Upstream],
        now: float,
        *,
        is_returning: bool,
        share: float,
    ) -> Decision:
        """Decides without counting the request."""
        expected = load.typical(upstreams, now)
        if expected is None:
            return Decision(True, "unsure")
        if expected.has_place or _has_room(upstreams, now):
            return Decision(True, "free", expected)
        if _have_places(load.expect(upstreams, now)):
            return Decision(True, "free", expected)
        open_wait_s = (
            ask.target_at - now - (expected.first_event_s - expected.wait_s)
        )
        open_wait_s *= share / (1 + load.rank(ask.priority, now))
        # All instances see the same late loads. Without a spread they would
        # admit all and refuse all in turn.
        open_wait_s *= 1 - OPEN_SPREAD * self._rng.random()
        remaining_s = ask.deadline - now
        if expected.first_event_s >= remaining_s:
            reason = "deadline"
        elif is_returning:
            return Decision(True, "returning", expected, open_wait_s)
        elif expected.wait_s <= open_wait_s:
            return Decision(True, "in time", expected, open_wait_s)
        else:
            reason = "late"
        retry_after_s = load.returns.take(
            now,
            remaining_s,
            expected.wait_s - open_wait_s,
            load.return_rate(upstreams, now),
        )
        usual_s = expected.first_event_s - expected.wait_s
        if reason == "late" and retry_after_s + usual_s >= remaining_s:
            return Decision(True, "no time to return", expected, open_wait_s)
        return Decision(
            False, reason, expected, open_wait_s, retry_after_s=retry_after_s
        )


def _have_places(expectations: Sequence[Expectation]) -> bool:
    """Returns whether half of the upstreams have a free place.

    Answers a slow upstream with a long queue, which lifts the mean of all
    though requests avoid it.
    """
    sure = [e for e in expectations if e.is_sure]
    if 2 * len(sure) <= len(expectations):
        return False
    return 2 * sum(e.has_place for e in sure) >= len(sure)


def _has_room(upstreams: Sequence[Upstream], now: float) -> bool:
    """Returns whether the reports show free places and no queue."""
    known = _with_load(upstreams, now)
    if not known or any(u.waiting(now) for u in known):
        return False
    taken = sum(u.estimated_load(now) - u.preemptible_items(now) for u in known)
    return taken < FREE_SHARE * sum(u.slots for u in known)


def _with_load(upstreams: Sequence[Upstream], now: float) -> list[Upstream]:
    """Returns the upstreams with a recent load."""
    return [u for u in upstreams if u.load_age(now) <= MAX_LOAD_AGE_S]

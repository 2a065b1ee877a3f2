"""Expected time to the first event of a request at an upstream."""

from __future__ import annotations

import collections
import dataclasses
import math
import statistics
from collections.abc import Iterable, Sequence

from plumvane.serving.upstreams import Upstream

__all__ = [
    "MAX_LOAD_AGE_S",
    "Expectation",
    "LoadTrend",
    "OwnWaits",
    "ServiceTimes",
    "eligible",
    "expect",
    "typical",
]

# Number of the last requests that the times of a service are learned from, and
# the smallest number that shows anything.
MAX_SAMPLES = 64
MIN_SAMPLES = 8
# Share of the samples at each end that do not count.
TRIMMED_SHARE = 0.1
# Share of the upstreams over which the requests of a busy service are spread at
# least.
SPREAD_SHARE = 0.5
# Age of a load in seconds from which it says nothing about the queue: a busy
# upstream starts most of its places anew in this time.
MAX_LOAD_AGE_S = 0.5
# Time for which a wait that was seen counts, in seconds, and the smallest
# number of requests that shows how long others wait.
SEEN_WAIT_S = 0.5
MIN_SEEN_WAITS = 4
# Time over which the trend of the loads is taken, in seconds: several reports
# of each upstream.
TREND_S = 0.3
# Shortest time between two samples of the trend, in seconds.
TREND_STEP_S = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """What a request can expect at an upstream.

    Attributes:
        upstream_id: The upstream; empty if several are meant.
        ahead: Estimated number of requests there that it has to share with.
        has_place: Whether a place is free, so that it does not wait.
        wait_s: Time until it gets a place, in seconds.
        first_event_s: Time to its first event, in seconds.
        load_age_s: Age of the load in seconds, infinite without one.
        is_sure: Whether the load is recent and the times of the service are
            known.
    """

    upstream_id: str
    ahead: float
    has_place: bool
    wait_s: float
    first_event_s: float
    load_age_s: float
    is_sure: bool


class ServiceTimes:
    """Times that a service's requests take, learned from those seen here.

    Answers uneven work: single requests that last very long or break off
    change the estimate little.
    """

    def __init__(self) -> None:
        """Creates the times without samples."""
        self._first_s: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._rest_s: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self.first_s = 0.0
        self._mean_rest_s = 0.0

    @property
    def hold_s(self) -> float:
        """Mean time for which a request holds a place, in seconds."""
        return self.first_s + self._mean_rest_s

    @property
    def are_known(self) -> bool:
        """Whether there are enough samples."""
        return (
            min(len(self._first_s), len(self._rest_s)) >= MIN_SAMPLES
            and self.hold_s > 0
        )

    def record_first_event(self, first_s: float) -> None:
        """Records a request that found a free place.

        Args:
            first_s: Seconds until its first event.
        """
        self._first_s.append(first_s)
        self.first_s = statistics.median(self._first_s)

    def record_end(self, rest_s: float) -> None:
        """Records a complete response.

        Args:
            rest_s: Seconds from its first event to its end.
        """
        self._rest_s.append(rest_s)
        self._mean_rest_s = _trimmed_mean(self._rest_s)


class LoadTrend:
    """Growth of a service's load, from the loads that were read.

    Answers late loads in a burst: a gateway sees neither what the others sent
    since a load was read nor how many they are, but all of them change the
    loads of the whole service.
    """

    def __init__(self) -> None:
        """Creates the trend without samples."""
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def update(self, upstreams: Sequence[Upstream], now: float) -> None:
        """Records the loads.

        Args:
            upstreams: The upstreams of the service.
            now: Monotonic time in seconds.
        """
        if self._samples and now - self._samples[-1][0] < TREND_STEP_S:
            return
        loads = [
            u.load.running + u.load.waiting
            for u in upstreams
            if u.load is not None and u.load_age(now) <= MAX_LOAD_AGE_S
        ]
        if 2 * len(loads) < len(upstreams) or not loads:
            self._samples.clear()
            return
        self._samples.append((now, statistics.fmean(loads)))
        while now - self._samples[0][0] > TREND_S:
            self._samples.popleft()

    @property
    def growth(self) -> float:
        """Requests by which an upstream's load grows a second, at least 0."""
        if len(self._samples) < 2:
            return 0.0
        (first_at, first), (last_at, last) = self._samples[0], self._samples[-1]
        # Over a short time a single report would look like a burst.
        return max(0.0, last - first) / max(last_at - first_at, TREND_S / 2)


class OwnWaits:
    """Waits for a place of this instance's own requests.

    Answers loads that are not read, as their workers are lost: an instance
    still sees how long its own requests wait.
    """

    def __init__(self) -> None:
        """Creates the record without requests."""
        self._sent_at_by_request: dict[str, float] = {}
        # Times of first events, with the waits before them.
        self._seen: collections.deque[tuple[float, float]] = collections.deque()

    def record_sent(self, request: str, now: float) -> None:
        """Records that a request is sent.

        Args:
            request: Its identifier.
            now: Monotonic time in seconds.
        """
        self._sent_at_by_request[request] = now

    def record_first_event(
        self, request: str, usual_s: float, now: float
    ) -> None:
        """Records the first event of a request.

        Args:
            request: Its identifier.
            usual_s: Usual time from a place to the first event, in seconds.
            now: Monotonic time in seconds.
        """
        sent_at = self._sent_at_by_request.pop(request, None)
        if sent_at is not None:
            self._seen.append((now, max(0.0, now - sent_at - usual_s)))

    def forget(self, request: str) -> None:
        """Drops a request that ended without an event."""
        self._sent_at_by_request.pop(request, None)

    def mean_s(self, usual_s: float, now: float) -> float | None:
        """Returns the mean wait for a place in seconds; None if not known.

        Requests that still wait count with the time so far, as in the estimate
        of a mean lifetime from censored observations.

        Args:
            usual_s: Usual time from a place to the first event, in seconds.
            now: Monotonic time in seconds.
        """
        while self._seen and now - self._seen[0][0] > SEEN_WAIT_S:
            self._seen.popleft()
        pending = [
            now - sent_at - usual_s
            for sent_at in self._sent_at_by_request.values()
            if now - sent_at > usual_s
        ]
        if len(self._seen) + len(pending) < MIN_SEEN_WAITS:
            return None
        waited_s = sum(pending) + sum(wait_s for _, wait_s in self._seen)
        return waited_s / max(1, len(self._seen))


def expect(
    upstream: Upstream, times: ServiceTimes, growth: float, now: float
) -> Expectation:
    """Estimates what a request can expect at an upstream.

    Args:
        upstream: The upstream.
        times: Times of its service.
        growth: Requests by which its load grows a second.
        now: Monotonic time in seconds.
    """
    age_s = upstream.load_age(now)
    ahead = float(
        upstream.estimated_load(now) - upstream.preemptible_items(now)
    )
    if age_s <= MAX_LOAD_AGE_S:
        ahead += growth * age_s
    ahead = max(0.0, ahead)
    slots = upstream.slots
    wait_s = 0.0
    if ahead >= slots:
        wait_s = (ahead - slots + 1) * times.hold_s * upstream.pace / slots
    return Expectation(
        upstream_id=upstream.upstream_id,
        ahead=ahead,
        has_place=ahead < slots,
        wait_s=wait_s,
        first_event_s=wait_s + times.first_s * upstream.pace,
        load_age_s=age_s,
        is_sure=times.are_known and age_s <= MAX_LOAD_AGE_S,
    )


def eligible(expectations: Iterable[Expectation]) -> list[Expectation]:
    """Returns the upstreams over which requests are spread, the best first.

    Answers the rush to the few upstreams that look free in late loads: all
    gateways see the same ones, and would fill their queues together.

    Args:
        expectations: What a request can expect at each upstream.
    """
    ordered = sorted(expectations, key=lambda e: e.first_event_s)
    return ordered[: math.ceil(SPREAD_SHARE * len(ordered))]


def typical(expectations: Sequence[Expectation]) -> Expectation:
    """Returns what a request can expect at a service as a whole.

    Late loads do not tell which upstream is the best by the time at which the
    request gets there, but they tell how many places are free in all.

    Args:
        expectations: What it can expect at each upstream; at least one.
    """
    wait_s = statistics.fmean(e.wait_s for e in expectations)
    return Expectation(
        upstream_id="",
        ahead=statistics.fmean(e.ahead for e in expectations),
        has_place=wait_s == 0,
        wait_s=wait_s,
        first_event_s=statistics.fmean(e.first_event_s for e in expectations),
        load_age_s=statistics.fmean(e.load_age_s for e in expectations),
        is_sure=all(e.is_sure for e in expectations),
    )


def _trimmed_mean(samples: Iterable[float]) -> float:
    ordered = sorted(samples)
    trimmed = int(len(ordered) * TRIMMED_SHARE)
    return statistics.fmean(ordered[trimmed : len(ordered) - trimmed])

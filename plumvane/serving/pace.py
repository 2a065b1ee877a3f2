"""Estimates how many times as long as usual work takes at an upstream.

The median of the figures that it reports says how fast it is in the long run;
how long its streams and calls took says it too, also if it is slow for another
reason. Each is compared with the median of its service.

Answers services whose upstreams differ in speed, and that share their machines
with others, so that a sound upstream may be slow for some seconds.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import statistics
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from plumvane.serving.upstreams import Load

__all__ = [
    "PaceEstimate",
    "PaceSamples",
    "SampleKind",
    "StreamTimer",
    "ToldPace",
    "estimate_paces",
    "figure_weight",
    "has_changed",
    "record_call",
]

# Samples kept for each kind of work at an upstream: enough for a median that
# one hung request does not move, and few enough to be replaced in a second.
MAX_SAMPLES = 9
# Time constant in seconds with which the weight of samples falls, so that an
# upstream that was slow gets a request as a trial some seconds later.
AGEING_S = 2.0
# Number of samples that the assumption counts for that an upstream is as fast
# as the median.
PRIOR_SAMPLES = 1.0
# Samples for which the pace counts that a worker tells; it has several times as
# many as one gateway.
TOLD_SAMPLES = 6.0
# Bounds of a pace. Beyond the upper one, an upstream is a case for ejection.
MIN_PACE, MAX_PACE = 0.25, 8.0
# Upstreams with samples that are needed to know what is usual.
MIN_UPSTREAMS = 2
# Longest time and most events over which the time between events is measured,
# in seconds; single events arrive in bunches.
WINDOW_S = 0.25
WINDOW_EVENTS = 8
# Time constant in seconds with which the reported figure of the moment loses
# its meaning: it changes many times a second.
FIGURE_S = 0.1
# Weight of the newest figure in the mean of an upstream's figures.
FIGURE_SMOOTHING = 0.05
# Samples for which the reported figures count: an upstream that turns slow for
# a reason of its own may not report it.
FIGURE_SAMPLES = 3.0
# Relative change from which a pace is told to others.
MARKED_CHANGE = 0.1


class SampleKind(enum.IntEnum):
    """What was measured."""

    FIRST_EVENT = enum.auto()
    EVENT = enum.auto()
    CALL = enum.auto()
    FIGURE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class ToldPace:
    """A pace that another instance has found.

    Attributes:
        pace: The pace.
        told_at: Monotonic time in seconds at which it was last told.
    """

    pace: float
    told_at: float


class PaceSamples:
    """Times that work took lately at one incarnation of an upstream.

    Attributes:
        told: The pace that a worker has told last; None before.
    """

    def __init__(self) -> None:
        """Creates samples of an upstream that has done nothing yet."""
        self.told: ToldPace | None = None
        self._samples_by_kind: dict[SampleKind, collections.deque[float]] = {}
        # Number of samples, the older ones for less, and the monotonic time in
        # seconds at which that was so.
        self._weight_by_kind: dict[SampleKind, tuple[float, float]] = {}
        self._typical_by_kind: dict[SampleKind, float] = {}
        self._figure = self._mean_figure = 1.0
        self._figure_at = float("-inf")

    def record_figure(self, figure: float, read_at: float) -> None:
        """Records the pace of the moment that the upstream reports.

        Args:
            figure: How many times as long as usual work takes there.
            read_at: Monotonic time in seconds at which it was read.
        """
        self.record(SampleKind.FIGURE, figure, read_at)
        self._figure, self._figure_at = figure, read_at
        self._mean_figure += FIGURE_SMOOTHING * (figure - self._mean_figure)

    def momentary_factor(self, now: float, work_s: float) -> float:
        """Returns by how much work takes longer now than on average there.

        Args:
            now: Monotonic time in seconds.
            work_s: Duration of the work in seconds.
        """
        deviation = self._figure / self._mean_figure - 1.0
        return 1.0 + deviation * figure_weight(now - self._figure_at, work_s)

    def record(self, kind: SampleKind, seconds: float, now: float) -> None:
        """Records how long work took.

        Args:
            kind: Kind of the work.
            seconds: Its duration.
            now: Monotonic time in seconds.
        """
        samples = self._samples_by_kind.setdefault(
            kind, collections.deque(maxlen=MAX_SAMPLES)
        )
        samples.append(seconds)
        self._weight_by_kind[kind] = (self.weight(kind, now) + 1.0, now)
        self._typical_by_kind.pop(kind, None)

    def kinds(self) -> Iterable[SampleKind]:
        """Returns the kinds of work that it has done."""
        return self._samples_by_kind.keys()

    def typical(self, kind: SampleKind) -> float:
        """Returns the median duration of a kind of work, in seconds."""
        if kind not in self._typical_by_kind:
            self._typical_by_kind[kind] = statistics.median(
                self._samples_by_kind[kind]
            )
        return self._typical_by_kind[kind]

    def weight(self, kind: SampleKind, now: float) -> float:
        """Returns the number of samples of a kind, the older ones for less."""
        weight, at = self._weight_by_kind.get(kind, (0.0, now))
        aged = weight * math.exp(min(0.0, at - now) / AGEING_S)
        return min(aged, float(MAX_SAMPLES))


class StreamTimer:
    """Measures the pace of one stream at an upstream."""

    def __init__(
        self, samples: PaceSamples, load: Load | None, sent_at: float | None
    ) -> None:
        """Creates the timer of a stream whose response has begun.

        Args:
            samples: Samples of the upstream.
            load: Load in the response; without a pace, nothing is measured.
            sent_at: Monotonic time in seconds at which the request was sent;
                None if unknown.
        """
        self._samples = samples
        self._is_enabled = load is not None and load.pace is not None
        self._sent_at = None if _may_have_waited(load) else sent_at
        # Monotonic time in seconds of the first event of the current window;
        # None before the first event.
        self._window_at: float | None = None
        self._events = 0

    def record_event(self, now: float) -> None:
        """Records that an event has arrived.

        Args:
            now: Monotonic time in seconds.
        """
        if not self._is_enabled:
            return
        if self._window_at is None:
            if self._sent_at is not None:
                self._samples.record(
                    SampleKind.FIRST_EVENT, now - self._sent_at, now
                )
            self._window_at = now
            return
        self._events += 1
        elapsed_s = now - self._window_at
        if elapsed_s >= WINDOW_S or self._events >= WINDOW_EVENTS:
            self._samples.record(
                SampleKind.EVENT, elapsed_s / self._events, now
            )
            self._window_at = now
            self._events = 0


def record_call(
    samples: PaceSamples, load: Load | None, sent_at: float, now: float
) -> None:
    """Records a plain call that has ended well.

    Args:
        samples: Samples of the upstream.
        load: Load in the response; without a pace, nothing is recorded.
        sent_at: Monotonic time in seconds at which the request was sent.
        now: Monotonic time in seconds.
    """
    if load is None or load.pace is None or _may_have_waited(load):
        return
    samples.record(SampleKind.CALL, now - sent_at, now)


def _may_have_waited(load: Load | None) -> bool:
    """Returns whether a request may have waited in the upstream's queue."""
    return load is None or load.waiting > 0 or load.running >= load.slots


@dataclasses.dataclass(frozen=True, slots=True)
class PaceEstimate:
    """Pace of an upstream.

    Attributes:
        pace: The pace, by this process and by what others tell.
        own_pace: The pace by this process alone.
        own_samples: Samples on which that is based, the older ones for less.
    """

    pace: float
    own_pace: float
    own_samples: float


def estimate_paces(
    samples_by_id: Mapping[str, PaceSamples], now: float
) -> dict[str, PaceEstimate]:
    """Estimates the pace of each upstream of a service.

    What is usual is the median over the upstreams, not over the samples: slow
    ones get fewer requests. Where it is unknown, and for a new incarnation, the
    pace is what others tell, or 1.

    Args:
        samples_by_id: Samples of the service's upstreams.
        now: Monotonic time in seconds.
    """
    usual_by_kind = {
        kind: _usual(samples_by_id.values(), kind) for kind in SampleKind
    }
    return {
        upstream_id: _estimate(samples, usual_by_kind, now)
        for upstream_id, samples in samples_by_id.items()
    }


def _usual(samples: Iterable[PaceSamples], kind: SampleKind) -> float | None:
    """Returns the usual duration of a kind of work, or None if unknown."""
    typical = [s.typical(kind) for s in samples if kind in s.kinds()]
    if len(typical) < MIN_UPSTREAMS:
        return None
    return statistics.median(typical) or None


def _estimate(
    samples: PaceSamples,
    usual_by_kind: Mapping[SampleKind, float | None],
    now: float,
) -> PaceEstimate:
    own, own_weight = 0.0, 0.0
    for kind in samples.kinds():
        usual = usual_by_kind[kind]
        if usual is not None:
            weight = samples.weight(kind, now)
            if kind is SampleKind.FIGURE:
                weight = min(weight, FIGURE_SAMPLES)
            own += weight * _bounded(samples.typical(kind) / usual)
            own_weight += weight
    told, told_weight = 0.0, 0.0
    if samples.told is not None:
        age_s = now - samples.told.told_at
        told_weight = TOLD_SAMPLES * math.exp(-age_s / AGEING_S)
        told = told_weight * samples.told.pace
    weights = PRIOR_SAMPLES + own_weight + told_weight
    return PaceEstimate(
        pace=(PRIOR_SAMPLES + own + told) / weights,
        own_pace=(PRIOR_SAMPLES + own) / (PRIOR_SAMPLES + own_weight),
        own_samples=own_weight,
    )


def _bounded(pace: float) -> float:
    if MIN_PACE <= pace <= MAX_PACE:
        return pace
    return min(max(pace, MIN_PACE), MAX_PACE)


def figure_weight(age_s: float, work_s: float) -> float:
    """Returns how much a reported figure of the moment says of coming work.

    A deviation from the mean fades with `FIGURE_S`; this is its mean over the
    work. For a figure that is 0.1 s old, it is a third for work of 0.02 s and a
    thirtieth for work of a second.

    Args:
        age_s: Age of the figure in seconds.
        work_s: Duration of the work in seconds.
    """
    decays = work_s / FIGURE_S
    if decays <= 0:
        return math.exp(-age_s / FIGURE_S)
    mean = -math.expm1(-decays) / decays
    return math.exp(-age_s / FIGURE_S) * mean


def has_changed(pace: float, told: float | None) -> bool:
    """Returns whether a pace differs markedly from the one told last.

    Args:
        pace: The pace.
        told: Pace that was told last; None if none was.
    """
    if told is None:
        return abs(pace - 1.0) >= MARKED_CHANGE
    return abs(pace - told) >= MARKED_CHANGE * told

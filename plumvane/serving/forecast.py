"""Forecast of a service's online demand from the last half minute."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence

__all__ = ["BIN_S", "DemandForecast"]

# Width of the intervals in which demand is averaged, in seconds: two readings.
BIN_S = 0.2
# Time over which demand is remembered, in seconds.
WINDOW_S = 30.0
# Shortest and longest period that is searched for, in seconds. A period is
# found from two of them on.
MIN_PERIOD_S = 2.0
MAX_PERIOD_S = 12.0
# Correlation of the demand with that of a period before, from which a period is
# found, and below which it is lost.
FOUND_CORRELATION = 0.5
LOST_CORRELATION = 0.35
# Longest period that is searched for as a share of the time that is known: a
# little more than half, so that the correlation is seen to fall after its top.
LONGEST_SHARE = 0.55
# Pairs of intervals that must be known, as a share of the period.
MIN_PAIRS_SHARE = 0.75
# Variance of the demand as a multiple of its mean from which it may have a
# period; that of requests that come at random is about the mean.
MIN_DISPERSION = 4.0
# Correlations this close to the best one are as good; the shortest such period
# is taken, as its multiples are periods too.
SIMILAR_CORRELATION = 0.1
# Demand above this share of all of it counts as at the share, and the lowest
# likewise, so that neither one burst nor a start hides a period or makes one.
CLIP_SHARE = 0.9
# Number of last periods whose demand is forecast to return.
REMEMBERED_PERIODS = 4
# Without a period, the time from which demand is forecast, in seconds, and the
# share of it that lay below the forecast.
RECENT_S = 10.0
UPPER_SHARE = 0.9
# Difference from which two periods are not the same, in seconds.
SAME_PERIOD_S = 2.5 * BIN_S
# Interval between searches for a period, in seconds.
SEARCH_INTERVAL_S = 1.0


class DemandForecast:
    """Forecasts how many slots the online requests of a service will take.

    Online demand that rises and falls regularly returns a period later; what
    returned in most of the last periods is forecast, so that one burst, or
    some seconds without loads, does not come again. Without a period the upper
    part of the recent demand is forecast.

    Attributes:
        period_s: Period that was found, in seconds, or None.
        certainty: Correlation of the demand with that of a period before, from
            0 to 1; 0 without a period.
    """

    def __init__(self) -> None:
        """Creates a forecast that knows of no demand."""
        self.period_s: float | None = None
        self.certainty = 0.0
        # Sum and number of the readings, by number of the interval.
        self._readings_by_bin: dict[int, tuple[float, int]] = {}
        self._next_search_at = float("-inf")

    def record(self, demand: float, now: float) -> bool:
        """Records the demand that was read.

        Args:
            demand: Slots that online requests take or wait for.
            now: Monotonic time in seconds.

        Returns:
            Whether a period was found, lost or changed.
        """
        if demand <= 0 and not self._readings_by_bin:
            return False
        number = _bin(now)
        total, count = self._readings_by_bin.get(number, (0.0, 0))
        self._readings_by_bin[number] = (total + demand, count + 1)
        if now < self._next_search_at:
            return False
        self._next_search_at = now + SEARCH_INTERVAL_S
        oldest = _bin(now - WINDOW_S)
        self._readings_by_bin = {
            bin_: reading
            for bin_, reading in self._readings_by_bin.items()
            if bin_ > oldest
        }
        before_s = self.period_s or 0.0
        self._search(number)
        return abs((self.period_s or 0.0) - before_s) > SAME_PERIOD_S

    def current(self, now: float) -> float:
        """Returns the newest demand: the larger one of two intervals."""
        number = _bin(now)
        return max(
            (self._demand(n) or 0.0 for n in (number, number - 1)), default=0.0
        )

    def ahead(self, now: float, seconds: float) -> list[float]:
        """Forecasts the demand of the next seconds.

        Args:
            now: Monotonic time in seconds.
            seconds: How far to look ahead.

        Returns:
            Slots that online requests will take, by interval of `BIN_S`; the
            first one is under way.
        """
        first = _bin(now)
        count = math.ceil(seconds / BIN_S)
        if self.period_s is None:
            return [self._recent_upper(first)] * count
        lag = round(self.period_s / BIN_S)
        return [self._returning(first + i, first, lag) for i in range(count)]

    def _returning(self, number: int, first: int, lag: int) -> float:
        """Forecasts an interval from the same one of the last periods.

        A period is known to an interval only, hence the neighbours.
        """
        found: list[float] = []
        periods_ago = 1
        while len(found) < REMEMBERED_PERIODS:
            past = number - periods_ago * lag
            periods_ago += 1
            if past < first - WINDOW_S / BIN_S:
                break
            around = [self._demand(n) for n in (past - 1, past, past + 1)]
            known = [d for d in around if d is not None and past < first]
            if known:
                found.append(max(known))
        if not found:
            return self._recent_upper(first)
        return statistics.median_low(found)

    def _recent_upper(self, first: int) -> float:
        recent = [
            total / count
            for number, (total, count) in self._readings_by_bin.items()
            if number > first - RECENT_S / BIN_S
        ]
        return _upper(recent, UPPER_SHARE)

    def _demand(self, number: int) -> float | None:
        reading = self._readings_by_bin.get(number)
        return reading[0] / reading[1] if reading else None

    def _search(self, newest: int) -> None:
        """Searches for the shortest period at which demand returns."""
        demand_by_bin = {
            number: total / count
            for number, (total, count) in self._readings_by_bin.items()
            if number < newest
        }
        values = list(demand_by_bin.values())
        upper = _upper(values, CLIP_SHARE)
        lower = _upper(values, 1 - CLIP_SHARE)
        clipped_by_bin = {
            n: min(max(d, lower), upper) for n, d in demand_by_bin.items()
        }
        longest = int(
            min(MAX_PERIOD_S / BIN_S, LONGEST_SHARE * len(clipped_by_bin))
        )
        correlations: list[float] = []
        variance = (
            statistics.pvariance(clipped_by_bin.values()) if longest else 0.0
        )
        if longest and variance > (
            MIN_DISPERSION * statistics.fmean(clipped_by_bin.values())
        ):
            correlations = [
                _correlation(clipped_by_bin, lag, variance)
                for lag in range(1, longest + 1)
            ]
        self._choose(correlations)

    def _choose(self, correlations: Sequence[float]) -> None:
        """Takes the shortest of the best periods, or loses the known one.

        Args:
            correlations: Correlation at each number of intervals from one on.
        """
        shortest = round(MIN_PERIOD_S / BIN_S)
        # Demand that only rises or falls resembles that of a moment before,
        # whatever the moment, and has no top.
        tops = [
            i
            for i in range(shortest - 1, len(correlations) - 1)
            if correlations[i - 1] <= correlations[i] >= correlations[i + 1]
        ]
        best = max((correlations[i] for i in tops), default=0.0)
        threshold = (
            FOUND_CORRELATION if self.period_s is None else LOST_CORRELATION
        )
        if best < threshold:
            self.period_s, self.certainty = None, 0.0
            return
        chosen = next(
            i for i in tops if correlations[i] >= best - SIMILAR_CORRELATION
        )
        self.period_s = (chosen + 1) * BIN_S
        self.certainty = min(1.0, correlations[chosen])


def _bin(at: float) -> int:
    return math.floor(at / BIN_S)


def _upper(values: list[float], share: float) -> float:
    """Returns the value below which a share of the values lies."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def _correlation(
    demand_by_bin: dict[int, float], lag: int, variance: float
) -> float:
    """Returns how much demand resembles that of some intervals before.

    Args:
        demand_by_bin: Demand by number of the interval; some may be missing.
        lag: Number of intervals.
        variance: Variance of the demand.

    Returns:
        1 for the same demand, about 0 for an unrelated one.
    """
    pairs = [
        (demand, demand_by_bin[number - lag])
        for number, demand in demand_by_bin.items()
        if number - lag in demand_by_bin
    ]
    if len(pairs) < MIN_PAIRS_SHARE * lag or variance <= 0:
        return 0.0
    difference = sum((a - b) ** 2 for a, b in pairs) / len(pairs)
    return 1 - difference / (2 * variance)

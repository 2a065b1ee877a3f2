"""Callers that come back after a refusal: when, and how they are recognized."""

from __future__ import annotations

import collections
import math
import random

__all__ = ["CallerTimeouts", "DecayingRate", "ReturnTimes", "spare_rate"]

# Number of requests of a route from which the timeout of new ones is learned,
# and the smallest number that shows it.
MAX_TIMEOUTS = 64
MIN_TIMEOUTS = 8
# Share of the requests that are new at least, while many come back.
NEW_SHARE = 0.25
# A timeout below this share of that of new requests belongs to a caller that
# has spent some of its time on an attempt before.
RETURNED_SHARE = 0.975
# Share of the requests of a route from which a timeout is one that callers give
# to new requests too.
COMMON_SHARE = 0.1
# Share of its remaining time that a caller waits at most before it comes back.
MAX_WAIT_SHARE = 1 / 3
# Shortest time to come back in, in seconds: the loads of the time of the
# refusal are replaced.
MIN_WAIT_S = 0.15
# Share of the rate of a service that counts as spare if it is overloaded.
MIN_SPARE_SHARE = 0.1
# Number of refused requests that are remembered.
MAX_REFUSED = 1024


class CallerTimeouts:
    """Tells callers that come back from new ones.

    Answers repeats at another gateway, which knows nothing of the refusal: the
    caller has less of its time left than callers usually give to a new request.
    Without a timeout that many have in common, only requests that were refused
    here are recognized, by their fingerprints.
    """

    def __init__(self) -> None:
        """Creates the record without requests."""
        self._timeouts_by_route: dict[str, collections.deque[float]] = {}
        self._refused_until_by_fingerprint: dict[str, float] = {}

    def is_returning(
        self, route: str, timeout_s: float | None, fingerprint: str, now: float
    ) -> bool:
        """Returns whether a request is a repeat, and learns from it.

        Args:
            route: Name of its route.
            timeout_s: Time that its caller gives, in seconds, or None.
            fingerprint: What its repeats have in common with it.
            now: Monotonic time in seconds.
        """
        refused_until = self._refused_until_by_fingerprint.pop(fingerprint, 0.0)
        if timeout_s is None:
            return now < refused_until
        seen = self._timeouts_by_route.setdefault(
            route, collections.deque(maxlen=MAX_TIMEOUTS)
        )
        seen.append(timeout_s)
        return now < refused_until or self._is_short(timeout_s, seen)

    def record_refusal(self, fingerprint: str, deadline: float) -> None:
        """Records that a request was refused.

        Args:
            fingerprint: What its repeats have in common with it.
            deadline: Monotonic time in seconds until which it may come back.
        """
        self._refused_until_by_fingerprint[fingerprint] = deadline
        while len(self._refused_until_by_fingerprint) > MAX_REFUSED:
            oldest = next(iter(self._refused_until_by_fingerprint))
            del self._refused_until_by_fingerprint[oldest]

    @staticmethod
    def _is_short(timeout_s: float, seen: collections.deque[float]) -> bool:
        if len(seen) < MIN_TIMEOUTS:
            return False
        ordered = sorted(seen, reverse=True)
        usual = ordered[int(NEW_SHARE * len(ordered))]
        shortest_new = RETURNED_SHARE * usual
        longest_new = usual / RETURNED_SHARE
        alike = sum(shortest_new <= other <= longest_new for other in ordered)
        # The timeout is among them itself.
        like_it = sum(
            RETURNED_SHARE * timeout_s <= other <= timeout_s / RETURNED_SHARE
            for other in ordered
        )
        return (
            timeout_s < shortest_new
            and alike >= NEW_SHARE * len(ordered)
            and like_it - 1 < COMMON_SHARE * (len(ordered) - 1)
        )


class ReturnTimes:
    """Gives callers that are refused successive times to come back.

    Answers the wave that a wave of refusals would cause: each caller gets the
    next place that the service has to spare, and those for whom there is none
    soon are spread over the later half of the time that they have.
    """

    def __init__(self, rng: random.Random) -> None:
        """Creates the record without callers.

        Args:
            rng: Draws the jitter.
        """
        self._rng = rng
        self._next_at = 0.0

    def take(
        self, now: float, remaining_s: float, free_in_s: float, rate: float
    ) -> float:
        """Returns the seconds after which a caller may come back.

        Args:
            now: Monotonic time in seconds.
            remaining_s: Time that the caller has left, in seconds.
            free_in_s: Seconds until the queue is short enough.
            rate: Callers per second that may come back to this instance; 0
                if no place is expected.
        """
        longest_s = MAX_WAIT_SHARE * remaining_s
        place_at = math.inf
        if rate > 0:
            place_at = max(self._next_at, now + free_in_s) + 1 / rate
        if place_at - now > longest_s:
            return longest_s * (0.5 + 0.5 * self._rng.random())
        self._next_at = place_at
        wait_s = place_at - now + self._rng.random() / rate
        return min(max(wait_s, MIN_WAIT_S), longest_s)


class DecayingRate:
    """Rate of events, older ones counted ever less."""

    def __init__(self, time_s: float) -> None:
        """Creates a rate of 0.

        Args:
            time_s: Time after which an event counts 1/e, in seconds.
        """
        self._time_s = time_s
        self._count = 0.0
        self._updated_at = 0.0

    def add(self, now: float) -> None:
        """Counts an event."""
        self._count = self._decayed(now) + 1.0
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Returns the events per second."""
        return self._decayed(now) / self._time_s

    def _decayed(self, now: float) -> float:
        return self._count * math.exp((self._updated_at - now) / self._time_s)


def spare_rate(capacity: float, usual: float) -> float:
    """Returns the rate at which callers may come back, per second.

    Args:
        capacity: Requests per second that can be served.
        usual: Requests per second that usually come.
    """
    return max(capacity - usual, MIN_SPARE_SHARE * capacity)

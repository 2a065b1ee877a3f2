"""Division of the request rate that an upstream accepts from all senders."""

from __future__ import annotations

import dataclasses

__all__ = ["RateLimiter", "TokenBucket"]

# Largest number of requests that may follow each other at once: those of one
# second and some more. In 4 s, two limiters that grant all and a quarter of the
# limit together stay below one and a half times the limit and five requests.
BURST_S = 1.0
MIN_BURST = 3.0
# Share of the burst that non-urgent work leaves to the others.
RESERVED_SHARE = 0.5
# Smallest rate that is granted, in requests per second: an upstream without
# requests cannot say that its limit was lifted.
MIN_RATE = 0.25
# Time without a request after which a bucket is dropped, in seconds.
IDLE_S = 30.0


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket; it starts empty unless told otherwise.

    Attributes:
        rate: Tokens that are added per second.
        burst: Largest number of tokens.
        updated_at: Monotonic time in seconds of the last update.
        tokens: Number of tokens at that time.
    """

    rate: float
    burst: float
    updated_at: float
    tokens: float = 0.0

    def take(self, now: float, reserved: float = 0.0) -> float:
        """Takes a token.

        Args:
            now: Monotonic time in seconds.
            reserved: Number of tokens that must be left.

        Returns:
            Seconds until there will be a token; 0 if one was taken.
        """
        self.refill(now)
        needed = min(1.0 + reserved, self.burst)
        if self.tokens >= needed:
            self.tokens -= 1.0
            return 0.0
        return (needed - self.tokens) / self.rate

    def refill(self, now: float) -> None:
        """Adds the tokens of the time since the last update.

        Args:
            now: Monotonic time in seconds.
        """
        added = max(0.0, now - self.updated_at) * self.rate
        self.tokens = min(self.burst, self.tokens + added)
        self.updated_at = max(now, self.updated_at)

    def charge(self, count: float) -> None:
        """Takes tokens that are spent already, below zero if need be.

        Args:
            count: Number of tokens; below zero if they are given back.
        """
        self.tokens = min(self.burst, self.tokens - count)

    def limit(self, rate: float, burst: float) -> None:
        """Changes the limits; tokens above the burst are lost.

        Args:
            rate: Tokens that are added per second.
            burst: Largest number of tokens.
        """
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)


class RateLimiter:
    """Token buckets of upstreams, from which all senders take."""

    def __init__(self) -> None:
        """Creates a limiter without upstreams."""
        self._buckets_by_id: dict[tuple[str, int], TokenBucket] = {}

    def take(
        self,
        incarnation: tuple[str, int],
        rate: float,
        now: float,
        *,
        is_urgent: bool,
        share: float = 1.0,
    ) -> float:
        """Takes a permit for one request to an upstream.

        Args:
            incarnation: Identifier of the upstream and time of its start.
            rate: Limit that the upstream names, in requests per second.
            now: Monotonic time in seconds.
            is_urgent: Whether the request may take the last permits.
            share: Share of the limit that this limiter grants; without all
                of it there are no bursts.

        Returns:
            Seconds until there will be a permit; 0 if one was taken.
        """
        bucket = self._buckets_by_id.get(incarnation)
        if bucket is None:
            self._drop_idle(now)
            bucket = TokenBucket(rate, 1.0, now)
            self._buckets_by_id[incarnation] = bucket
        bucket.rate = max(rate, MIN_RATE) * share
        bucket.burst = 1.0
        if share == 1.0:
            bucket.burst = MIN_BURST + BURST_S * bucket.rate
        reserved = 0.0 if is_urgent else RESERVED_SHARE * bucket.burst
        return bucket.take(now, reserved)

    def _drop_idle(self, now: float) -> None:
        self._buckets_by_id = {
            incarnation: bucket
            for incarnation, bucket in self._buckets_by_id.items()
            if now - bucket.updated_at < IDLE_S
        }

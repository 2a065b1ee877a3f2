"""Rate limits by team, enforced at each entry without a central counter."""

from __future__ import annotations

from collections.abc import Callable

from plumvane import clock
from plumvane.errors import OverloadedError
from plumvane.fleet.document import FleetDocument
from plumvane.serving.rates import TokenBucket

__all__ = ["TeamLimits"]

# Capacity of a token bucket, as the time in seconds in which it refills.
BURST_S = 1.0


class TeamLimits:
    """Token-bucket rate limits by team.

    Each live entry grants an equal share of a team's limit, so that the entries
    together stay within the limit without coordination.
    """

    def __init__(
        self,
        document: Callable[[], FleetDocument],
        live_entries: Callable[[], int],
    ) -> None:
        """Creates the limits.

        Args:
            document: Returns the fleet document in force.
            live_entries: Returns the number of live entries, this one included.
        """
        self._document = document
        self._live_entries = live_entries
        self._buckets_by_team: dict[str, TokenBucket] = {}

    def admit(self, team: str) -> None:
        """Admits a new request of a team.

        Raises:
            OverloadedError: The team is over its limit; the error says after
                which time this entry can admit a request again.
        """
        limit = self._document().teams[team].requests_per_s
        rate = limit / max(1, self._live_entries())
        capacity = max(1.0, rate * BURST_S)
        now = clock.monotonic()
        bucket = self._buckets_by_team.get(team)
        if bucket is None:
            bucket = TokenBucket(rate, capacity, now, capacity)
            self._buckets_by_team[team] = bucket
        bucket.limit(rate, capacity)
        wait_s = bucket.take(now)
        if wait_s:
            raise OverloadedError(
                f"Team {team!r} is over its limit of {limit:g} requests/s.",
                not_run=True,
                retry_after_s=wait_s,
            )

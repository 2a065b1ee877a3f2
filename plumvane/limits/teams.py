"""Request limits by team, kept at each entry without a central counter."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from plumvane import clock
from plumvane.errors import OverloadedError
from plumvane.fleet.document import FleetDocument

__all__ = ["TeamLimits"]

# A team may save up what it earns in this time.
BURST_S = 1.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Requests that a team may send now.

    Attributes:
        saved: Requests saved up.
        filled_at: When it was last filled, monotonic.
    """

    saved: float
    filled_at: float


class TeamLimits:
    """A token bucket for each team.

    Each live entry grants an equal part of a team's limit, so the entries
    together grant no more than the limit without asking each other.
    """

    def __init__(
        self,
        document: Callable[[], FleetDocument],
        live_entries: Callable[[], int],
    ) -> None:
        """Creates the limits.

        Args:
            document: Returns the fleet document in force.
            live_entries: Returns how many entries are live, this one too.
        """
        self._document = document
        self._live_entries = live_entries
        self._buckets_by_team: dict[str, _Bucket] = {}

    def admit(self, team: str) -> None:
        """Counts a new request of a team.

        Raises:
            OverloadedError: The team is over its limit; the error says when
                this entry will have room again.
        """
        limit = self._document().teams[team].requests_per_s
        rate = limit / max(1, self._live_entries())
        bucket = self._fill(team, rate)
        if bucket.saved < 1.0:
            raise OverloadedError(
                f"Team {team!r} is over its limit of {limit:g} requests/s.",
                not_run=True,
                retry_after_s=(1.0 - bucket.saved) / rate,
            )
        bucket.saved -= 1.0

    def _fill(self, team: str, rate: float) -> _Bucket:
        now = clock.monotonic()
        most = max(1.0, rate * BURST_S)
        bucket = self._buckets_by_team.get(team)
        if bucket is None:
            bucket = _Bucket(most, now)
            self._buckets_by_team[team] = bucket
        earned = (now - bucket.filled_at) * rate
        bucket.saved = min(most, bucket.saved + earned)
        bucket.filled_at = now
        return bucket

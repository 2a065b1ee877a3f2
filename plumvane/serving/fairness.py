"""Fair shares of teams in what a service can serve."""

from __future__ import annotations

import collections
import math

__all__ = ["FairShares", "max_min_level"]

# Time over which requests are counted, in seconds: long enough for some
# requests of each team, short enough for a burst.
WINDOW_S = 3.0
# Standard deviations of a random number of requests by which a team has to be
# above its fair share: one instance sees few requests of each team.
EXCESS_DEVIATIONS = 1.5


def max_min_level(demands: list[float], capacity: float) -> float:
    """Returns the largest share that max-min fairness gives to anyone.

    Args:
        demands: What each one asks for.
        capacity: What there is for all of them.

    Returns:
        The share; infinite if there is enough for all.
    """
    left = capacity
    ordered = sorted(demands)
    for number, demand in enumerate(ordered):
        level = left / (len(ordered) - number)
        if demand > level:
            return level
        left -= demand
    return float("inf")


class FairShares:
    """Divides what a service can serve among the teams that ask.

    Answers a hot team, which sends many times its usual: only what it asks
    beyond its fair share comes after the others. What the service can serve is
    what was admitted lately, so without refusals no team is above its share.
    """

    def __init__(self) -> None:
        """Creates the shares without requests."""
        self._asked: collections.deque[tuple[float, str]] = collections.deque()
        self._admitted_at: collections.deque[float] = collections.deque()
        self._asked_by_team: collections.Counter[str] = collections.Counter()
        self._credit_by_team: dict[str, float] = {}

    def record_admitted(self, now: float) -> None:
        """Records that a counted request was admitted."""
        self._admitted_at.append(now)

    def asked(self, team: str) -> int:
        """Returns how many requests a team sent lately."""
        return self._asked_by_team[team]

    def level(self) -> float:
        """Returns the fair share, in requests during the window."""
        demands = [float(count) for count in self._asked_by_team.values()]
        return max_min_level(demands, float(len(self._admitted_at)))

    def take(self, team: str, now: float) -> bool:
        """Counts a request.

        Args:
            team: Name of its team.
            now: Monotonic time in seconds.

        Returns:
            Whether it is within its team's fair share.
        """
        self._drop_old(now)
        level = self.level() if len(self._asked_by_team) > 1 else float("inf")
        self._asked.append((now, team))
        self._asked_by_team[team] += 1
        asked = self._asked_by_team[team]
        if asked <= level + EXCESS_DEVIATIONS * math.sqrt(max(level, 1.0)):
            self._credit_by_team.pop(team, None)
            return True
        credit = self._credit_by_team.get(team, 0.0) + level / asked
        is_within = credit >= 1.0
        self._credit_by_team[team] = credit - is_within
        return is_within

    def _drop_old(self, now: float) -> None:
        while self._admitted_at and now - self._admitted_at[0] > WINDOW_S:
            self._admitted_at.popleft()
        while self._asked and now - self._asked[0][0] > WINDOW_S:
            _, team = self._asked.popleft()
            self._asked_by_team[team] -= 1
            if not self._asked_by_team[team]:
                del self._asked_by_team[team]
                self._credit_by_team.pop(team, None)

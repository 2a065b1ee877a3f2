"""Teams that send requests, found by the keys of their callers."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from plumvane.hashing import key_digest

__all__ = ["Team", "TeamTable"]


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team that sends requests.

    Attributes:
        name: Name, unique in the configuration.
        priority: Priority of its requests, before that of their routes; 0 is
            the most urgent, None leaves it to the routes.
        max_rate: Requests per second that it may send to all instances
            together; 0 for no limit.
        burst: Number of requests that it may save up while it sends less.
    """

    name: str
    priority: int | None = None
    max_rate: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self) -> bool:
        """Whether the number of its requests is limited."""
        return self.max_rate > 0 or self.burst > 0


class TeamTable:
    """The teams of one version of the configuration.

    It holds digests of the keys only, so that none can appear in a log.
    """

    def __init__(self, keys_by_team: Mapping[Team, Iterable[str]]) -> None:
        """Creates the table.

        Args:
            keys_by_team: The teams with the keys of their callers.
        """
        self.teams_by_name = {team.name: team for team in keys_by_team}
        self._teams_by_digest = {
            key_digest(key.encode()): team
            for team, keys in keys_by_team.items()
            for key in keys
        }

    def find(self, key: bytes) -> Team | None:
        """Returns the team that holds a key, or None if it is unknown.

        Args:
            key: Key as the caller sent it.
        """
        return self._teams_by_digest.get(key_digest(key)) if key else None

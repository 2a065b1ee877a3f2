"""Messages about the quotas of teams."""

from __future__ import annotations

import msgspec

from plumvane.peers.messages.base import Message

__all__ = [
    "QuotaReported",
    "QuotaTaken",
    "ReportQuotas",
    "TakeQuota",
    "TeamCount",
]


class TeamCount(msgspec.Struct, frozen=True, array_like=True):
    """Requests of a team that the sender has admitted by itself.

    Attributes:
        team: Name of the team.
        max_rate: Its quota at the sender, in requests per second.
        burst: Number of requests that it may save up.
        count: Number of requests since the last message, less those that did
            not run.
        version: Version of the sender's configuration; 0 if it is not known.
    """

    team: str
    max_rate: float
    burst: float
    count: int
    version: int = 0


class ReportQuotas(Message, frozen=True, tag="quotareport"):
    """Reports to a worker what the sender has admitted.

    Attributes:
        counts: Counts of the worker's teams.
        first: Worker for which the receiver stands in; empty for none.
    """

    counts: tuple[TeamCount, ...]
    first: str = ""


class QuotaReported(Message, frozen=True, tag="quotareported"):
    """Reply to a report.

    Attributes:
        near: Names of the reported teams that are near their quota: each of
            their requests must be granted.
    """

    near: tuple[str, ...] = ()


class TakeQuota(Message, frozen=True, tag="quotatake"):
    """Asks a worker for a place in a team's quota.

    Attributes:
        team: The team, with what the sender has admitted before.
        first: Worker for which the receiver stands in; empty for none.
    """

    team: TeamCount
    first: str = ""


class QuotaTaken(Message, frozen=True, tag="quotataken"):
    """Grants or denies a place.

    Attributes:
        wait_s: Seconds until there will be a place for this caller; 0 if it
            is granted.
        is_near: Whether each further request must be granted.
        tokens: Places left.
        age_s: Seconds for which the worker has kept the team's account.
    """

    wait_s: float
    is_near: bool
    tokens: float
    age_s: float

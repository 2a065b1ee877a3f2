"""Decides when leaving the data centre pays, and how much to send.

Answers waves that are higher in one data centre than in another, and data
centres whose own upstreams are few, slow or gone. Times are in multiples of the
usual time of a request.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

__all__ = ["Crossing", "Leaving", "Place", "completion", "share_to_send"]

# How many times as much as the work the wait for a slot counts: a caller waits
# for the beginning of the response.
WAIT_WEIGHT = 12.0
# Requests begin to leave when it is better by this share of a request's usual
# time, and cease when it is not better at all, so that a gateway does not
# change with each report.
HYSTERESIS = 0.1
# Steps in which the share to send is found: to a 64th.
STEPS = 6
# Usual time of a request in seconds, by which the way is weighed.
WORK_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An upstream as the decision sees it.

    Attributes:
        slots: Number of requests that it runs concurrently.
        taken: Number of requests that it runs or queues.
        pace: How many times as long as usual work takes there.
    """

    slots: float
    taken: float
    pace: float


@dataclasses.dataclass(frozen=True, slots=True)
class Crossing:
    """What it costs to leave the data centre.

    Attributes:
        way_s: Time of the way there and back, in seconds.
        cost_s: Price of a request's bytes, as the time in seconds that a caller
            should rather wait.
    """

    way_s: float = 0.0
    cost_s: float = 0.0

    @property
    def work(self) -> float:
        """The cost as a share of a request's usual time."""
        return (self.way_s + self.cost_s) / WORK_S


def completion(slots: float, taken: float, pace: float) -> float:
    """Returns the expected time to the completion of one more request.

    A request takes the pace of its upstream, and longer the likelier it is that
    no slot is free when it arrives. That probability rises with the share of
    taken slots as in a queue with several servers (Sakasegawa's approximation).

    Args:
        slots: Number of requests that the upstream runs concurrently.
        taken: Number of requests that it runs or queues.
        pace: How many times as long as usual work takes there.
    """
    exponent = (2 * (slots + 1)) ** 0.5 - 1
    return float(pace * (1 + WAIT_WEIGHT * (taken / slots) ** exponent))


def share_to_send(
    here: Sequence[Place], there: Sequence[Place], cost: float
) -> float:
    """Returns the share of its requests that a data centre sends out.

    It is the share of its load that has to move until a request completes here
    as soon as there with the cost of the way. Each gateway sends out that share
    of its own requests by chance, so that together they send what the data
    centre lacks and not all they have.

    Args:
        here: Upstreams of the own data centre that take requests.
        there: Those of the others.
        cost: Cost of the way.
    """
    if not there:
        return 0.0
    if not here:
        return 1.0
    own, other = _mean_place(here), _mean_place(there)
    ratio = len(here) / len(there)

    def is_better_here(share: float) -> bool:
        moved = share * own.taken
        stays = completion(own.slots, own.taken - moved, own.pace)
        goes = completion(other.slots, other.taken + moved * ratio, other.pace)
        return stays <= goes + cost

    if is_better_here(0.0):
        return 0.0
    low, high = 0.0, 1.0
    for _ in range(STEPS):
        share = (low + high) / 2
        low, high = (low, share) if is_better_here(share) else (share, high)
    return low


def _mean_place(places: Sequence[Place]) -> Place:
    """Returns the mean upstream of a side; requests are spread within it."""
    count = len(places)
    return Place(
        sum(place.slots for place in places) / count,
        sum(place.taken for place in places) / count,
        sum(place.pace for place in places) / count,
    )


class Leaving:
    """Whether and how much a service's requests leave the data centre."""

    def __init__(self, crossing: Crossing) -> None:
        """Creates the decision while nothing leaves.

        Args:
            crossing: What it costs to leave.
        """
        self._crossing = crossing
        self._is_leaving = False

    def share(self, here: Sequence[Place], there: Sequence[Place]) -> float:
        """Returns the share of the requests that leave from now on.

        Args:
            here: Upstreams of the own data centre that take requests.
            there: Those of the others.
        """
        cost = self._crossing.work
        if not self._is_leaving:
            cost += HYSTERESIS
        share = share_to_send(here, there, cost)
        self._is_leaving = share > 0.0
        return share

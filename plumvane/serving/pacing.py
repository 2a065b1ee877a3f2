"""When batch items start at upstreams, and when they give way."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

__all__ = [
    "HOLD_S",
    "PROTECTED_ITEMS",
    "Place",
    "Plan",
    "is_urgent",
    "plan",
]

# Slots of an upstream that batch items leave free for online requests.
RESERVED_SLOTS = 1
# Time after a request had to wait in which no items start at its upstream, in
# seconds. Bursts of online requests last a few seconds; without the hold items
# take the slots that they just gave up.
HOLD_S = 0.5
# Time before its job is due from which an item counts as urgent, in seconds:
# the longest items run for about so long.
URGENT_S = 8.0
# Urgent items that each worker keeps at an upstream while requests wait there.
PROTECTED_ITEMS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An upstream as a worker sees it.

    Attributes:
        upstream_id: Identifier of the upstream.
        slots: Requests that it runs at once.
        load: Requests that it is likely to hold.
        waiting: Requests that waited in its queue at the last report.
        yielding_items: Items that this worker runs there and may stop.
        is_held: Whether requests waited there a short while ago.
    """

    upstream_id: str
    slots: int
    load: int
    waiting: int
    yielding_items: int
    is_held: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a worker does next.

    Attributes:
        starts: Upstreams for the next items, one for each, urgent items
            first.
        stops_by_id: Items to stop, by upstream.
    """

    starts: tuple[str, ...]
    stops_by_id: dict[str, int]


def is_urgent(due: float, now: float) -> bool:
    """Returns whether an item is late unless it runs from now on.

    One that is late already gives way again: it is worth less than those
    that can still be in time.

    Args:
        due: Unix time in seconds at which its job is due.
        now: Unix time in seconds.
    """
    return 0.0 <= due - now < URGENT_S


def plan(
    places: Sequence[Place], urgent: int, others: int, workers: int
) -> Plan:
    """Decides which upstreams get items and where items give way.

    An item is stopped for each request that waits in the queue of an
    upstream. Free slots are shared with the other workers, which see the same
    load, so that together they do not take more than there are. Urgent items
    start at any free slot.

    Args:
        places: The upstreams of the service.
        urgent: Urgent items that could start.
        others: Other items that could start.
        workers: Workers that share the upstreams, this one among them.
    """
    stops = {
        place.upstream_id: min(place.waiting, place.yielding_items)
        for place in places
        if place.waiting and place.yielding_items
    }
    free_by_id = {
        place.upstream_id: place.slots - place.load
        for place in places
        if not place.waiting
    }
    starts = _fill(free_by_id, urgent, workers)
    calm_by_id = {
        place.upstream_id: free_by_id[place.upstream_id] - RESERVED_SLOTS
        for place in places
        if not place.waiting and not place.is_held
    }
    if len(starts) == urgent:
        starts += _fill(calm_by_id, others, workers)
    return Plan(tuple(starts), stops)


def _fill(free_by_id: dict[str, int], wanted: int, workers: int) -> list[str]:
    """Takes this worker's share of free slots, the emptiest upstream first."""
    total = sum(free for free in free_by_id.values() if free > 0)
    share = -(-total // max(1, workers))
    starts: list[str] = []
    while len(starts) < min(wanted, share):
        upstream_id = max(free_by_id, key=lambda i: free_by_id[i])
        if free_by_id[upstream_id] <= 0:
            break
        free_by_id[upstream_id] -= 1
        starts.append(upstream_id)
    return starts

"""When batch items start at upstreams, and when they give way."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

__all__ = ["Place", "Plan", "plan"]

# Slots of an upstream that batch items leave free for online requests.
RESERVED_SLOTS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An upstream as a worker sees it.

    Attributes:
        upstream_id: Identifier of the upstream.
        slots: Requests that it runs at once.
        load: Requests that it is likely to hold.
        waiting: Requests that waited in its queue at the last report.
        own_items: Items that this worker runs there.
    """

    upstream_id: str
    slots: int
    load: int
    waiting: int
    own_items: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a worker does next.

    Attributes:
        starts: Upstreams for the next items, one for each.
        stops_by_id: Items to stop, by upstream.
    """

    starts: tuple[str, ...]
    stops_by_id: dict[str, int]


def plan(places: Sequence[Place], wanted: int, workers: int) -> Plan:
    """Decides which upstreams get items and where items give way.

    An item is stopped for each request that waits in the queue of an
    upstream. Free slots are shared with the other workers, which see the same
    load, so that together they do not take more than there are.

    Args:
        places: The upstreams of the service.
        wanted: Items that could start.
        workers: Workers that share the upstreams, this one among them.
    """
    stops = {
        place.upstream_id: min(place.waiting, place.own_items)
        for place in places
        if place.waiting and place.own_items
    }
    free_by_id = {
        place.upstream_id: place.slots - RESERVED_SLOTS - place.load
        for place in places
        if not place.waiting
    }
    total = sum(free for free in free_by_id.values() if free > 0)
    share = -(-total // max(1, workers))
    starts: list[str] = []
    while len(starts) < min(wanted, share):
        upstream_id = max(free_by_id, key=lambda i: free_by_id[i])
        if free_by_id[upstream_id] <= 0:
            break
        free_by_id[upstream_id] -= 1
        starts.append(upstream_id)
    return Plan(tuple(starts), stops)

"""When batch items start at upstreams, and when they are preempted."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from typing import Generic, TypeVar

__all__ = [
    "BATCH_COOLDOWN_S",
    "ItemDurationEstimator",
    "Plan",
    "RunningItem",
    "ItemPriority",
    "UpstreamState",
    "plan_batch_items",
    "preemption_candidates",
    "item_priority",
]

# Slots of an upstream that batch items leave free for online requests.
RESERVED_SLOTS = 1
# Time after a request had to wait in which no items start at its upstream, in
# seconds. Bursts of online requests last a few seconds; without the hold items
# take the slots again from which they were just preempted.
BATCH_COOLDOWN_S = 0.5
# Time before its job is due from which an item counts as urgent, in seconds:
# the longest items run for about so long.
URGENT_S = 8.0
# Share of its remaining time by which an item may be short of time and still
# count as one that can be in time, since the remaining time is an estimate.
REMAINING_ERROR = 0.15
# Urgent items that all workers together keep at an upstream while requests
# wait there; one worker keeps them for all.
PROTECTED_ITEMS = 1


# Weight of the newest observation of a speed, and fewest events of one.
LEARNING_RATE = 0.1
LEARNED_EVENTS = 5

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamState:
    """An upstream as a worker sees it.

    Attributes:
        upstream_id: Identifier of the upstream.
        slots: Requests that it runs at once.
        load: Requests that it is likely to hold.
        waiting: Requests that waited in its queue at the last report.
        preemptible_items: Items of this worker there that it may preempt.
        is_held: Whether requests waited there a short while ago.
    """

    upstream_id: str
    slots: int
    load: int
    waiting: int
    preemptible_items: int
    is_cooling_down: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a worker does next.

    Attributes:
        starts: Upstreams for the next items, one for each, urgent items
            first.
        preemptions_by_id: Number of items to preempt, by upstream.
    """

    starts: tuple[str, ...]
    preemptions_by_id: dict[str, int]


class ItemDurationEstimator:
    """How fast upstreams run items, learned from those that have run.

    Attributes:
        token_s: Seconds for each token.
        tokens_per_event: Tokens in each event of a stream.
    """

    def __init__(self) -> None:
        """Creates an estimate, about right for the engines of the sheets."""
        self.token_s = 0.004
        self.tokens_per_event = 10.0

    def observe_run(self, events: int, seconds: float) -> None:
        """Takes in how long a run took for its events."""
        if events >= LEARNED_EVENTS:
            token_s = seconds / (events * self.tokens_per_event)
            self.token_s += LEARNING_RATE * (token_s - self.token_s)

    def observe_item(self, output_tokens: int, events: int) -> None:
        """Takes in how many events a complete item had."""
        if events >= LEARNED_EVENTS and output_tokens:
            found = output_tokens / events
            error = found - self.tokens_per_event
            self.tokens_per_event += LEARNING_RATE * error

    def remaining_s(self, output_tokens: int, events: int) -> float:
        """Returns how long an item still runs, in seconds.

        Args:
            output_tokens: Most tokens that it generates; 0 if unknown.
            events: Events that it has.
        """
        left = output_tokens - events * self.tokens_per_event
        return max(0.0, left) * self.token_s


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ItemPriority:
    """Priority of an item among those that wait; lower ones start first.

    The item that is due first is first. Items that cannot be in time any more
    come last: served first, they would make others late one by one.

    Attributes:
        is_late: Whether it cannot be in time.
        due: Unix time in seconds at which its job is due.
        is_urgent: Whether it is late unless it runs from now on.
    """

    is_late: bool
    due: float
    is_urgent: bool = dataclasses.field(compare=False)


def item_priority(due: float, remaining_s: float, now: float) -> ItemPriority:
    """Returns the priority of an item.

    Args:
        due: Unix time in seconds at which its job is due.
        remaining_s: Seconds that it still runs.
        now: Unix time in seconds.
    """
    left_s = due - now
    is_late = left_s <= 0 or left_s < remaining_s * (1 - REMAINING_ERROR)
    return ItemPriority(is_late, due, not is_late and left_s < URGENT_S)


@dataclasses.dataclass(frozen=True, slots=True)
class RunningItem(Generic[T]):
    """An item that runs at an upstream.

    Attributes:
        run: The run, as the caller knows it.
        is_urgent: Whether it counts as urgent.
        started: Monotonic time in seconds at which it started.
    """

    run: T
    is_urgent: bool
    started: float


def preemption_candidates(
    running: Sequence[RunningItem[T]], *, protects_urgent: bool
) -> list[T]:
    """Returns an upstream's items that may be preempted, in that order.

    The newest come first, urgent ones after all others. The oldest of the
    urgent ones stay, up to a bound: if more did, online requests would wait
    for all of them.

    Args:
        running: Items of this worker at the upstream.
        protects_urgent: Whether this worker keeps urgent items there.
    """
    in_turn = sorted(running, key=lambda item: (item.is_urgent, -item.started))
    kept = 0
    if protects_urgent:
        kept = min(sum(item.is_urgent for item in running), PROTECTED_ITEMS)
    return [item.run for item in in_turn[: len(in_turn) - kept]]


def plan_batch_items(
    states: Sequence[UpstreamState], urgent: int, others: int, workers: int
) -> Plan:
    """Decides which upstreams get items and where items are preempted.

    An item is preempted for each request that waits in the queue of an
    upstream. Free slots are shared with the other workers, which see the same
    load, so that together they do not take more than there are. Urgent items
    start at any free slot.

    Args:
        states: The upstreams of the service.
        urgent: Urgent items that could start.
        others: Other items that could start.
        workers: Workers that share the upstreams, this one among them.
    """
    stops = {
        state.upstream_id: min(state.waiting, state.preemptible_items)
        for state in states
        if state.waiting and state.preemptible_items
    }
    free_by_id = {
        state.upstream_id: state.slots - state.load
        for state in states
        if not state.waiting
    }
    starts = _fill(free_by_id, urgent, workers)
    calm_by_id = {
        state.upstream_id: free_by_id[state.upstream_id] - RESERVED_SLOTS
        for state in states
        if not state.waiting and not state.is_cooling_down
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

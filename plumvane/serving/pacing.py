"""Scheduling policy for batch items: when they start and are preempted."""

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

# Slots of an upstream that non-urgent items leave free for online requests.
RESERVED_SLOTS = 1
# Time after requests were queued at an upstream in which only urgent items
# start there, in seconds. Bursts of online requests last a few seconds; without
# the cool-down, items retake the slots from which they were just preempted.
BATCH_COOLDOWN_S = 0.5
# Time before the due time from which an item counts as urgent, in seconds. The
# longest items run for about this long.
URGENT_S = 8.0
# Share of its remaining run time by which an item may be short of time before
# it counts as late, since the remaining run time is an estimate.
REMAINING_ERROR = 0.15
# Urgent items at an upstream that are protected from preemption, over all
# workers; one worker protects them on behalf of all.
PROTECTED_ITEMS = 1


# Weight of the newest observation in the moving averages, and the fewest events
# that an observation must have.
SMOOTHING_FACTOR = 0.1
MIN_OBSERVED_EVENTS = 5

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamState:
    """State of an upstream as a worker estimates it.

    Attributes:
        upstream_id: Identifier of the upstream.
        slots: Number of requests that it runs concurrently.
        load: Estimated number of requests that it runs or queues.
        waiting: Requests in its queue at the last report.
        preemptible_items: Items of this worker there that it may preempt for
            the requests in the queue; other workers preempt the rest.
        is_cooling_down: Whether requests were queued there within the
            cool-down.
    """

    upstream_id: str
    slots: int
    load: int
    waiting: int
    preemptible_items: int
    is_cooling_down: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Starts and preemptions that a worker carries out next.

    Attributes:
        starts: Upstreams of the items that start, one per item, urgent items
            first.
        preemptions_by_id: Number of items to preempt, by upstream.
    """

    starts: tuple[str, ...]
    preemptions_by_id: dict[str, int]


class ItemDurationEstimator:
    """Estimates how long items run, from moving averages over past runs.

    Attributes:
        token_s: Mean time per token in seconds.
        tokens_per_event: Mean number of tokens in an event of a stream.
    """

    def __init__(self) -> None:
        """Creates an estimator with defaults that roughly fit the engines."""
        self.token_s = 0.004
        self.tokens_per_event = 10.0

    def observe_run(self, events: int, seconds: float) -> None:
        """Records the number of events and the duration of a run."""
        if events >= MIN_OBSERVED_EVENTS:
            token_s = seconds / (events * self.tokens_per_event)
            self.token_s += SMOOTHING_FACTOR * (token_s - self.token_s)

    def observe_item(self, output_tokens: int, events: int) -> None:
        """Records the number of events of a completed item."""
        if events >= MIN_OBSERVED_EVENTS and output_tokens:
            observed = output_tokens / events
            error = observed - self.tokens_per_event
            self.tokens_per_event += SMOOTHING_FACTOR * error

    def remaining_s(self, output_tokens: int, events: int) -> float:
        """Estimates the remaining run time of an item in seconds.

        Args:
            output_tokens: Largest number of tokens that it generates; 0 if
                unknown.
            events: Number of events received so far.
        """
        remaining_tokens = output_tokens - events * self.tokens_per_event
        return max(0.0, remaining_tokens) * self.token_s


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ItemPriority:
    """Priority of a waiting item; items with lower values start first.

    Items are ordered by due time (earliest deadline first), and those of one
    job by length, the longest first: it would otherwise be late by itself.
    Items that can no longer finish in time come last; if they ran first, they
    would make other items late one after another.

    Attributes:
        is_late: Whether it can no longer finish in time.
        due: Unix time in seconds at which its job is due.
        negated_remaining_s: Estimated remaining run time in seconds, negated.
        is_urgent: Whether it must run from now on to finish in time.
    """

    is_late: bool
    due: float
    negated_remaining_s: float
    is_urgent: bool = dataclasses.field(compare=False)


def item_priority(due: float, remaining_s: float, now: float) -> ItemPriority:
    """Returns the priority of an item.

    Args:
        due: Unix time in seconds at which its job is due.
        remaining_s: Estimated remaining run time in seconds.
        now: Unix time in seconds.
    """
    left_s = due - now
    is_late = left_s <= 0 or left_s < remaining_s * (1 - REMAINING_ERROR)
    is_urgent = not is_late and left_s < URGENT_S
    return ItemPriority(is_late, due, -remaining_s, is_urgent)


@dataclasses.dataclass(frozen=True, slots=True)
class RunningItem(Generic[T]):
    """An item that runs at an upstream.

    Attributes:
        run: Run object of the caller.
        is_urgent: Whether the item is urgent.
        started: Monotonic time in seconds at which the run started.
    """

    run: T
    is_urgent: bool
    started: float


def preemption_candidates(
    running: Sequence[RunningItem[T]], *, protects_urgent: bool
) -> list[RunningItem[T]]:
    """Returns the items of an upstream that may be preempted, in order.

    The newest items come first, and urgent items after all others. The oldest
    urgent items are protected up to `PROTECTED_ITEMS`; with more, online
    requests would wait for all of them.

    Args:
        running: Items of this worker at the upstream.
        protects_urgent: Whether this worker protects urgent items there.
    """
    ordered = sorted(running, key=lambda item: (item.is_urgent, -item.started))
    protected = 0
    if protects_urgent:
        protected = min(
            sum(item.is_urgent for item in running), PROTECTED_ITEMS
        )
    return ordered[: len(ordered) - protected]


def plan_batch_items(
    states: Sequence[UpstreamState], urgent: int, others: int, workers: int
) -> Plan:
    """Decides where items start and where they are preempted.

    One item is preempted for each request in the queue of an upstream, by one
    of the workers. All workers see the same loads, so each takes its share of
    the free slots; else they would together start more items than there are
    slots. Urgent items
    start in any free slot; other items leave `RESERVED_SLOTS` free and respect
    the cool-down.

    Args:
        states: States of the service's upstreams.
        urgent: Number of urgent items ready to start.
        others: Number of other items ready to start.
        workers: Number of workers that share the upstreams, this one included.
    """
    preemptions_by_id = {
        state.upstream_id: min(state.waiting, state.preemptible_items)
        for state in states
        if state.waiting and state.preemptible_items
    }
    free_by_id = {
        state.upstream_id: state.slots - state.load
        for state in states
        if not state.waiting
    }
    starts = _assign_slots(free_by_id, urgent, workers)
    unreserved_by_id = {
        state.upstream_id: free_by_id[state.upstream_id] - RESERVED_SLOTS
        for state in states
        if not state.waiting and not state.is_cooling_down
    }
    if len(starts) == urgent:
        starts += _assign_slots(unreserved_by_id, others, workers)
    return Plan(tuple(starts), preemptions_by_id)


def _assign_slots(
    free_by_id: dict[str, int], max_starts: int, workers: int
) -> list[str]:
    """Assigns this worker's share of free slots, emptiest upstream first."""
    total = sum(free for free in free_by_id.values() if free > 0)
    share = -(-total // max(1, workers))
    starts: list[str] = []
    while len(starts) < min(max_starts, share):
        upstream_id = max(free_by_id, key=lambda i: free_by_id[i])
        if free_by_id[upstream_id] <= 0:
            break
        free_by_id[upstream_id] -= 1
        starts.append(upstream_id)
    return starts

"""Scheduling policy for batch items: when they start and are preempted."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Mapping, Sequence
from typing import Generic, TypeVar

__all__ = [
    "AHEAD_S",
    "BATCH_COOLDOWN_S",
    "PLANS_BY_NAME",
    "URGENT_S",
    "ItemDurationEstimator",
    "Outlook",
    "Plan",
    "RunningItem",
    "ServiceItems",
    "ItemPriority",
    "UpstreamState",
    "make_outlook",
    "move_pays",
    "pair_by_pace",
    "plan_around_demand",
    "plan_batch_items",
    "plan_of_items",
    "preemption_candidates",
    "item_priority",
    "urgent_s",
    "with_deviations",
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


# How far ahead the online demand is looked at, in seconds: the shortest run of
# an item that is worth the reading of its prompt when it is cut after it.
AHEAD_S = 1.0
# Time before slots are needed at which items are stopped to free them, in
# seconds: a scheduling round, and the end of a stream at its engine.
STOP_AHEAD_S = 0.4
# Standard deviations of the online demand that are kept free over the service;
# the number of requests that come at random varies by its square root.
RESERVED_DEVIATIONS = 2.0
# Time that a move of an item costs, in seconds: a scheduling round, its place
# in a queue and the reading of its prompt.
MOVE_S = 0.5
# Time that an urgent item keeps for what its run takes longer, in seconds.
URGENT_MARGIN_S = 1.5

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
        normal_items: Items of this worker there that are not urgent.
    """

    upstream_id: str
    slots: int
    load: int
    waiting: int
    preemptible_items: int
    is_cooling_down: bool = False
    normal_items: int = 0


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


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """Slots that the online demand ahead leaves to the items of a service.

    Attributes:
        starts: Number of items that are not urgent which this worker may start.
        urgent_starts: Number of urgent items which it may start.
        stops: Number of items that this worker stops before they would be
            preempted.
        reserved: Slots over the service that are kept for online requests.
    """

    starts: int
    urgent_starts: int
    stops: int
    reserved: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceItems:
    """Items of all workers that run at a service.

    Attributes:
        normal: Items that are not urgent.
        urgent: Urgent items.
        own_normal: Those of this worker that are not urgent.
    """

    normal: int
    urgent: int
    own_normal: int

    @property
    def total(self) -> int:
        """Number of items."""
        return self.normal + self.urgent


BatchPlan = Callable[
    [Sequence[UpstreamState], int, int, int, Outlook | None], Plan
]
PLANS_BY_NAME: dict[str, BatchPlan] = {}

PlanT = TypeVar("PlanT", bound=BatchPlan)


def plan_of_items(name: str) -> Callable[[PlanT], PlanT]:
    """Registers a plan of items under a name."""

    def register(plan: PlanT) -> PlanT:
        PLANS_BY_NAME[name] = plan
        return plan

    return register


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


def item_priority(
    due: float, remaining_s: float, now: float, urgent_left_s: float = URGENT_S
) -> ItemPriority:
    """Returns the priority of an item.

    Args:
        due: Unix time in seconds at which its job is due.
        remaining_s: Estimated remaining run time in seconds.
        now: Unix time in seconds.
        urgent_left_s: Time before the due time from which it is urgent, in
            seconds.
    """
    left_s = due - now
    is_late = left_s <= 0 or left_s < remaining_s * (1 - REMAINING_ERROR)
    is_urgent = not is_late and left_s < urgent_left_s
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


def urgent_s(remaining_s: float, busy_s: float) -> float:
    """Returns how long before its due time an item must run from then on.

    An item that has run for most of its time is urgent later than a new one, so
    that a backlog does not claim the slots of the next wave at once.

    Args:
        remaining_s: Estimated remaining run time in seconds.
        busy_s: Longest time ahead in which online requests leave no slots, in
            seconds.
    """
    needed_s = remaining_s * (1 + REMAINING_ERROR) + busy_s + URGENT_MARGIN_S
    return min(URGENT_S, needed_s)


def move_pays(
    remaining_s: float, left_s: float, pace: float, best_pace: float
) -> bool:
    """Returns whether an item that a slowed upstream makes late should move.

    Args:
        remaining_s: Estimated remaining run time at the usual pace, in seconds.
        left_s: Time until it is due, in seconds.
        pace: How many times as long as usual work takes where it runs.
        best_pace: The same at the fastest upstream with a free slot.
    """
    here_s = remaining_s * pace
    there_s = MOVE_S + remaining_s * best_pace
    return here_s > left_s and there_s < min(left_s, here_s)


def pair_by_pace(
    remaining_s: Sequence[float],
    upstream_ids: Sequence[str],
    pace_by_id: Mapping[str, float],
) -> list[str]:
    """Returns an upstream for each of the first items: the longest the fastest.

    Args:
        remaining_s: Estimated remaining run time of each item at the usual
            pace, in seconds.
        upstream_ids: Upstreams at which one item each starts.
        pace_by_id: How many times as long as usual work takes there.
    """
    paired = list(upstream_ids)
    if len({pace_by_id[i] for i in paired}) < 2:
        return paired
    longest_first = sorted(range(len(paired)), key=lambda n: -remaining_s[n])
    fastest_first = sorted(upstream_ids, key=lambda i: pace_by_id[i])
    for number, upstream_id in zip(longest_first, fastest_first, strict=True):
        paired[number] = upstream_id
    return paired


def make_outlook(
    slots: int,
    upstreams: int,
    items: ServiceItems,
    workers: int,
    demand_ahead: Sequence[float],
    interval_s: float,
    urgent_demand: float | None = None,
) -> Outlook:
    """Decides how many items the online demand ahead leaves room for.

    Items start where they run for `AHEAD_S` before the demand takes the slots.
    Before that, as many as would be cut are stopped. Urgent items start in
    the same room, or as many as are protected: a backlog that has become urgent
    together would be cut again in a wave, or make its requests wait.

    Args:
        slots: Slots of the service's upstreams.
        upstreams: Number of these upstreams.
        items: Items that run there.
        workers: Number of workers that share the upstreams.
        demand_ahead: Online demand that is forecast, by interval from now on.
        interval_s: Width of an interval in seconds.
        urgent_demand: Online demand that urgent items leave slots for; None for
            that of the others.
    """
    reserved = [with_deviations(demand) for demand in demand_ahead]
    soon = max(reserved[: math.ceil(STOP_AHEAD_S / interval_s)], default=0.0)
    later = max(reserved[: math.ceil(AHEAD_S / interval_s)], default=0.0)
    room = max(0, slots - math.ceil(later) - items.total)
    urgent_room = room
    if urgent_demand is not None:
        urgent_room = slots - math.ceil(with_deviations(urgent_demand))
        urgent_room -= items.total
    protected = upstreams * PROTECTED_ITEMS - items.urgent
    excess = min(items.total, items.total + math.ceil(soon) - slots)
    own_share = items.own_normal / max(1, items.normal)
    return Outlook(
        starts=-(-room // workers),
        urgent_starts=-(-max(urgent_room, protected, 0) // workers),
        stops=min(items.own_normal, max(0, round(excess * own_share))),
        reserved=math.ceil(later),
    )


def with_deviations(demand: float) -> float:
    """Returns the slots that are kept for a demand that varies at random."""
    return demand + RESERVED_DEVIATIONS * math.sqrt(demand)


@plan_of_items("around_demand")
def plan_around_demand(
    states: Sequence[UpstreamState],
    urgent: int,
    others: int,
    workers: int,
    outlook: Outlook | None,
) -> Plan:
    """Decides where items start and stop around the waves of online requests.

    With regular waves that take nearly all slots, items that start during one
    are cut within moments, and those that run when it begins make its first
    requests wait. Items that are not urgent start in the slots that the
    forecast leaves, and are stopped before a wave, spread over upstreams by
    load. Urgent items and requests that wait are served as in the baseline,
    and all is while nothing is forecast.

    Args:
        states: States of the service's upstreams.
        urgent: Number of urgent items ready to start.
        others: Number of other items ready to start.
        workers: Number of workers that share the upstreams, this one included.
        outlook: What the forecast leaves; None if there is none.
    """
    if outlook is None:
        return plan_batch_items(states, urgent, others, workers)
    urgent = min(urgent, outlook.urgent_starts)
    base = plan_batch_items(states, urgent, 0, workers)
    stops_by_id = dict(base.preemptions_by_id)
    loads_by_id = {
        state.upstream_id: state.load - stops_by_id.get(state.upstream_id, 0)
        for state in states
    }
    left_by_id = {
        state.upstream_id: state.normal_items
        - stops_by_id.get(state.upstream_id, 0)
        for state in states
    }
    for _ in range(outlook.stops - sum(stops_by_id.values())):
        fullest = max(
            (i for i, left in left_by_id.items() if left > 0),
            key=lambda i: loads_by_id[i],
            default=None,
        )
        if fullest is None:
            break
        stops_by_id[fullest] = stops_by_id.get(fullest, 0) + 1
        loads_by_id[fullest] -= 1
        left_by_id[fullest] -= 1
    starts = list(base.starts)
    if len(starts) == urgent and not outlook.stops:
        slots = sum(state.slots for state in states)
        # In a wave each upstream gets the next request within moments.
        kept = RESERVED_SLOTS if 2 * outlook.reserved > slots else 0
        free_by_id = {
            state.upstream_id: state.slots
            - state.load
            - kept
            - starts.count(state.upstream_id)
            for state in states
            if not state.waiting and not (kept and state.is_cooling_down)
        }
        starts += _assign_slots(
            free_by_id, min(others, outlook.starts - urgent), workers
        )
    return Plan(tuple(starts), stops_by_id)


@plan_of_items("free_slots")
def plan_batch_items(
    states: Sequence[UpstreamState],
    urgent: int,
    others: int,
    workers: int,
    outlook: Outlook | None = None,
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
        outlook: Not used; this plan knows only the present.
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

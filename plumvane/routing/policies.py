"""Routing policies: the order in which upstreams are tried."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Sequence

from plumvane import hashing
from plumvane.instances.directory import Instance
from plumvane.routing.loads import UpstreamLoads

__all__ = ["POLICIES_BY_NAME", "RouteRequest", "route", "routing_policy"]

# Part over the mean of dispatches and of requests in flight that affinity may
# cause at one upstream.
AFFINITY_OVERLOAD = 1.15
# Requests in flight over the mean that are no overload yet.
AFFINITY_SLACK = 2.0
# Upstreams compared by load where the prefix says nothing.
CHOICES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """What routing knows of a request.

    Attributes:
        prefix: Start of the prompt, which caches are keyed by.
    """

    prefix: str


RoutingPolicy = Callable[
    [Sequence[Instance], RouteRequest, UpstreamLoads], list[Instance]
]
POLICIES_BY_NAME: dict[str, RoutingPolicy] = {}


def routing_policy(name: str) -> Callable[[RoutingPolicy], RoutingPolicy]:
    """Registers a routing policy under a name."""

    def register(policy: RoutingPolicy) -> RoutingPolicy:
        POLICIES_BY_NAME[name] = policy
        return policy

    return register


def route(
    name: str,
    candidates: Sequence[Instance],
    request: RouteRequest,
    loads: UpstreamLoads,
) -> list[Instance]:
    """Orders the candidates by a policy, the first to try first."""
    return POLICIES_BY_NAME[name](candidates, request, loads)


def _reported_load(instance: Instance) -> float:
    load = instance.load
    return load.online / max(1, load.limit) if load is not None else 0.0


@routing_policy("random")
def random_order(
    candidates: Sequence[Instance],
    request: RouteRequest,
    loads: UpstreamLoads,
) -> list[Instance]:
    """Orders the candidates at random; the baseline."""
    return random.sample(list(candidates), len(candidates))


@routing_policy("least_loaded")
def least_loaded(
    candidates: Sequence[Instance],
    request: RouteRequest,
    loads: UpstreamLoads,
) -> list[Instance]:
    """Orders the candidates by their last reported load; a baseline."""
    shuffled = random.sample(list(candidates), len(candidates))
    return sorted(shuffled, key=_reported_load)


@routing_policy("prefix_affinity")
def prefix_affinity(
    candidates: Sequence[Instance],
    request: RouteRequest,
    loads: UpstreamLoads,
) -> list[Instance]:
    """Prefers the upstreams that the prefix hashes to, within a load bound.

    The first upstream in the prefix's order whose dispatches and requests in
    flight are near the mean is tried first; where all are over the bound, the
    less busy of a few. Failing and slow upstreams are left out, but for a
    probe now and then.
    """
    loads.keep(candidates)
    usable = loads.usable(candidates)
    if len(usable) < 2:
        return usable
    by_name = {instance.name: instance for instance in usable}
    ranked = [by_name[n] for n in hashing.rank(request.prefix, by_name)]
    bound = _Bound(loads, ranked)
    first = next((i for i in ranked if bound.allows(i)), None)
    if first is None:
        choices = random.sample(ranked, min(CHOICES, len(ranked)))
        first = min(choices, key=loads.busyness)
    rest = [instance for instance in ranked if instance is not first]
    rest.sort(key=loads.busyness)
    return [first, *rest]


class _Bound:
    """How much of the load one upstream may have.

    A new upstream is allowed less, rising to the whole over its start.
    """

    def __init__(
        self, loads: UpstreamLoads, candidates: Sequence[Instance]
    ) -> None:
        number = len(candidates)
        self._loads = loads
        self._mean_online = sum(map(loads.online, candidates)) / number
        self._mean_rate = sum(map(loads.rate, candidates)) / number

    def allows(self, instance: Instance) -> bool:
        """Returns whether an upstream may get another request."""
        loads = self._loads
        # The count of dispatches grows as the square of time where their rate
        # grows in step with it.
        warmth = loads.warmth(instance) ** 2
        rate = AFFINITY_OVERLOAD * self._mean_rate + 1.0
        online = max(
            AFFINITY_OVERLOAD * self._mean_online,
            self._mean_online + AFFINITY_SLACK,
        )
        return (
            loads.rate(instance) + 1.0 <= max(1.0, rate * warmth)
            and loads.online(instance) + 1.0 <= online + 1.0
            and loads.busyness(instance) < 1.0
        )

"""Routing policies: the order in which upstreams are tried."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Sequence

from plumvane import hashing
from plumvane.instances.directory import Instance

__all__ = ["POLICIES_BY_NAME", "RouteRequest", "route", "routing_policy"]

# How many of the upstreams preferred by prefix are compared by load.
AFFINITY_CANDIDATES = 2
# Load over the mean by which the preferred upstream is passed over.
AFFINITY_OVERLOAD = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """What routing knows of a request.

    Attributes:
        prefix: Start of the prompt, which caches are keyed by.
    """

    prefix: str


RoutingPolicy = Callable[[Sequence[Instance], RouteRequest], list[Instance]]
POLICIES_BY_NAME: dict[str, RoutingPolicy] = {}


def routing_policy(name: str) -> Callable[[RoutingPolicy], RoutingPolicy]:
    """Registers a routing policy under a name."""

    def register(policy: RoutingPolicy) -> RoutingPolicy:
        POLICIES_BY_NAME[name] = policy
        return policy

    return register


def route(
    name: str, candidates: Sequence[Instance], request: RouteRequest
) -> list[Instance]:
    """Orders the candidates by a policy, the first to try first."""
    return POLICIES_BY_NAME[name](candidates, request)


def _online_load(instance: Instance) -> float:
    load = instance.load
    return load.online / max(1, load.limit) if load is not None else 0.0


@routing_policy("random")
def random_order(
    candidates: Sequence[Instance], request: RouteRequest
) -> list[Instance]:
    """Orders the candidates at random; the baseline."""
    return random.sample(list(candidates), len(candidates))


@routing_policy("least_loaded")
def least_loaded(
    candidates: Sequence[Instance], request: RouteRequest
) -> list[Instance]:
    """Orders the candidates by their last reported load."""
    shuffled = random.sample(list(candidates), len(candidates))
    return sorted(shuffled, key=_online_load)


@routing_policy("prefix_affinity")
def prefix_affinity(
    candidates: Sequence[Instance], request: RouteRequest
) -> list[Instance]:
    """Prefers the upstreams that the prefix hashes to, within a load bound."""
    by_name = {instance.name: instance for instance in candidates}
    ranked = [by_name[n] for n in hashing.rank(request.prefix, by_name)]
    mean = sum(map(_online_load, ranked)) / max(1, len(ranked))
    bound = max(mean * AFFINITY_OVERLOAD, 0.1)
    near = ranked[:AFFINITY_CANDIDATES]
    first = [i for i in near if _online_load(i) <= bound]
    rest = sorted((i for i in ranked if i not in first), key=_online_load)
    return first + rest

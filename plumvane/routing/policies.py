"""Routing policies: the order in which upstreams are tried."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Callable, Sequence

from plumvane import hashing
from plumvane.instances.directory import Instance
from plumvane.routing.loads import UpstreamLoads
from plumvane.routing.summary import CandidateSummary

__all__ = ["POLICIES_BY_NAME", "RouteRequest", "route", "routing_policy"]

# Part over the mean of dispatches and of requests in flight that affinity may
# cause at one upstream.
AFFINITY_OVERLOAD = 1.2
# A prefix is spread over so many upstreams that each has at most this part of
# the mean dispatches from it.
SPREAD_PART = 0.5
# Requests in flight over the mean that are no overload yet, and standard
# deviations of a random number of them.
AFFINITY_SLACK = 2.0
AFFINITY_DEVIATIONS = 2.0
# Upstreams compared by load where the prefix says nothing.
CHOICES = 2
# Upstreams that one request may be tried at, unless its prefix is spread over
# more.
MAX_TRIED = 16


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """What routing knows of a request.

    Attributes:
        prefix: Start of the prompt, which caches are keyed by.
        may_probe: Whether it may try an upstream that failed before.
    """

    prefix: str
    may_probe: bool = True


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

    A prefix that comes often is spread over the first few upstreams of its
    order, the one with the fewest dispatches first; any other goes to the
    first of its order that is within the bound. Where all are over it, the
    less busy of a few is taken. Failing and slow upstreams are left out, but
    for a probe now and then.
    """
    if not candidates:
        return []
    summary = loads.summary(candidates)
    ordered = _by_affinity(summary, request.prefix, loads)
    probe = loads.due_probe(summary.ejected) if request.may_probe else None
    if probe is None or probe.name in summary.usable_by_name:
        return ordered
    return [probe, *ordered]


def _by_affinity(
    summary: CandidateSummary, prefix: str, loads: UpstreamLoads
) -> list[Instance]:
    bound = _Bound(loads, summary)
    count = loads.prefix_counts.add(prefix)
    spread = math.ceil(
        count / (SPREAD_PART * summary.mean_recent_dispatches + 1.0)
    )
    by_name = summary.usable_by_name
    names = hashing.top(prefix, by_name, max(spread, MAX_TRIED))
    ranked = [by_name[name] for name in names]
    first = _first(ranked, spread, bound, loads)
    rest = [instance for instance in ranked if instance is not first]
    rest.sort(key=loads.utilization)
    return [first, *rest]


def _first(
    ranked: list[Instance], spread: int, bound: _Bound, loads: UpstreamLoads
) -> Instance:
    near = [i for i in ranked[:spread] if bound.allows(i)]
    if near:
        return min(near, key=loads.recent_dispatches)
    for instance in ranked[spread:]:
        if bound.allows(instance):
            return instance
    choices = random.sample(ranked, min(CHOICES, len(ranked)))
    return min(choices, key=loads.utilization)


class _Bound:
    """How much of the load one upstream may have.

    A new upstream is allowed less, rising to the whole over its start.
    """

    def __init__(self, loads: UpstreamLoads, summary: CandidateSummary) -> None:
        self._loads = loads
        self._summary = summary

    def allows(self, instance: Instance) -> bool:
        """Returns whether an upstream may get another request."""
        loads = self._loads
        mean_online = self._summary.mean_online
        # The count of dispatches grows as the square of time where their rate
        # grows in step with it.
        warmth = self._warmth(instance) ** 2
        rate = AFFINITY_OVERLOAD * self._summary.mean_recent_dispatches + 1.0
        chance = AFFINITY_DEVIATIONS * math.sqrt(mean_online)
        online = max(
            AFFINITY_OVERLOAD * mean_online,
            mean_online + chance + AFFINITY_SLACK,
        )
        return (
            loads.recent_dispatches(instance) + 1.0 <= max(1.0, rate * warmth)
            and loads.online_requests(instance) + 1.0 <= online + 1.0
            and loads.utilization(instance) < 1.0
        )

    def _warmth(self, instance: Instance) -> float:
        """Returns the warmth beside the upstream that is known best."""
        if not self._summary.max_warmup:
            return 1.0
        return self._loads.warmup_fraction(instance) / self._summary.max_warmup

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

# Bound on the dispatches and on the requests in flight that affinity may cause
# at one upstream, as a multiple of the mean.
AFFINITY_LOAD_FACTOR = 1.2
# A prefix is spread over as many upstreams as keep its dispatches to each below
# this share of the mean dispatches.
SPREAD_SHARE = 0.5
# Requests in flight that are allowed over the mean in any case: a fixed number,
# and a number of standard deviations of a Poisson-distributed count.
AFFINITY_MARGIN = 2.0
AFFINITY_DEVIATIONS = 2.0
# Upstreams drawn at random and compared by utilization when all are over the
# bound.
RANDOM_CHOICES = 2
# Upstreams that a request may be tried at, unless its prefix is spread over
# more.
MAX_TRIED_UPSTREAMS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """Properties of a request that policies use.

    Attributes:
        prefix: Start of the prompt, by which prefix caches are keyed.
        may_probe: Whether it may probe an ejected upstream.
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
    """Returns the candidates in the order in which the policy tries them."""
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
    """Orders the candidates at random. Baseline."""
    return random.sample(list(candidates), len(candidates))


@routing_policy("least_loaded")
def least_loaded(
    candidates: Sequence[Instance],
    request: RouteRequest,
    loads: UpstreamLoads,
) -> list[Instance]:
    """Orders the candidates by their last reported load. Baseline."""
    shuffled = random.sample(list(candidates), len(candidates))
    return sorted(shuffled, key=_reported_load)


@routing_policy("prefix_affinity")
def prefix_affinity(
    candidates: Sequence[Instance],
    request: RouteRequest,
    loads: UpstreamLoads,
) -> list[Instance]:
    """Prefers the upstreams that the prefix hashes to, within a load bound.

    The prefix ranks the upstreams by rendezvous hashing. A frequent prefix is
    spread over the first few upstreams of its ranking, the one with the fewest
    recent dispatches first; any other prefix goes to the first upstream of its
    ranking that is within the bound. If all are over the bound, the least
    utilized of a random few is chosen. Failing and slow upstreams are left out
    except for occasional probes.
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
    bound = _LoadBound(loads, summary)
    count = loads.prefix_counts.add(prefix)
    spread = math.ceil(
        count / (SPREAD_SHARE * summary.mean_recent_dispatches + 1.0)
    )
    by_name = summary.usable_by_name
    names = hashing.top_ranked(
        prefix, by_name, max(spread, MAX_TRIED_UPSTREAMS)
    )
    ranked = [by_name[name] for name in names]
    first = _first_choice(ranked, spread, bound, loads)
    rest = [instance for instance in ranked if instance is not first]
    rest.sort(key=loads.utilization)
    return [first, *rest]


def _first_choice(
    ranked: list[Instance], spread: int, bound: _LoadBound, loads: UpstreamLoads
) -> Instance:
    allowed = [i for i in ranked[:spread] if bound.allows(i)]
    if allowed:
        return min(allowed, key=loads.recent_dispatches)
    for instance in ranked[spread:]:
        if bound.allows(instance):
            return instance
    choices = random.sample(ranked, min(RANDOM_CHOICES, len(ranked)))
    return min(choices, key=loads.utilization)


class _LoadBound:
    """Bound on the load of one upstream relative to the mean.

    The bound on dispatches to a new upstream rises during its slow start.
    """

    def __init__(self, loads: UpstreamLoads, summary: CandidateSummary) -> None:
        self._loads = loads
        self._summary = summary

    def allows(self, instance: Instance) -> bool:
        """Returns whether another request keeps an upstream within bounds."""
        loads = self._loads
        mean_online = self._summary.mean_online
        # If the dispatch rate grows linearly over the slow start, the number of
        # dispatches grows with the square of time.
        warmup = self._relative_warmup(instance) ** 2
        max_dispatches = (
            AFFINITY_LOAD_FACTOR * self._summary.mean_recent_dispatches + 1.0
        )
        deviation = AFFINITY_DEVIATIONS * math.sqrt(mean_online)
        max_online = max(
            AFFINITY_LOAD_FACTOR * mean_online,
            mean_online + deviation + AFFINITY_MARGIN,
        )
        return (
            loads.recent_dispatches(instance) + 1.0
            <= max(1.0, max_dispatches * warmup)
            and loads.online_requests(instance) + 1.0 <= max_online + 1.0
            and loads.utilization(instance) < 1.0
        )

    def _relative_warmup(self, instance: Instance) -> float:
        """Returns the warm-up relative to the most warmed-up upstream."""
        if not self._summary.max_warmup:
            return 1.0
        return self._loads.warmup_fraction(instance) / self._summary.max_warmup

"""Selection of an upstream for a request by rankings of the candidates."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, TypeVar

from plumvane.serving.data_centres import WORK_S, completion

if TYPE_CHECKING:
    from plumvane.serving.upstreams import Upstream

__all__ = ["RANKINGS_BY_NAME", "Viewpoint", "select", "taken_slots"]

# Candidates that a process draws and ranks where it sees loads late.
DRAWN = 2
# Pace beyond which an upstream has turned slow and is no longer just one of the
# slower ones.
SLOW_PACE = 2.0
# Share of a slot that a batch item leaves which is preempted for a request:
# the request waits until that is done.
PREEMPTIBLE_SHARE = 0.5

# Rank of an upstream; the lowest is selected.
Rank = tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Viewpoint:
    """Where and when an upstream is selected.

    Attributes:
        now: Monotonic time in seconds.
        data_centre: Data centre of this process.
        rng: Random source that breaks ties.
    """

    now: float
    data_centre: str
    rng: random.Random

    def is_remote(self, upstream: Upstream) -> bool:
        """Returns whether an upstream is in another data centre."""
        return upstream.listed.data_centre != self.data_centre


Ranking = Callable[["Upstream", Viewpoint], Rank]
R = TypeVar("R", bound=Ranking)
# Rankings by their name.
RANKINGS_BY_NAME: dict[str, Ranking] = {}


def _register(ranking: R) -> R:
    RANKINGS_BY_NAME[ranking.__name__] = ranking
    return ranking


@_register
def least_outstanding(upstream: Upstream, viewpoint: Viewpoint) -> Rank:
    """Ranks by this process's requests in flight plus the reported queue.

    Each process so spreads its own requests evenly and avoids queues. Ranking
    by load would be worse: all processes see the same loads some tenths of a
    second late, and would all send to the least loaded one until the next
    report.
    """
    expected = upstream.in_flight + upstream.waiting(viewpoint.now)
    return expected, viewpoint.is_remote(upstream), viewpoint.rng.random()


@_register
def expected_completion(upstream: Upstream, viewpoint: Viewpoint) -> Rank:
    """Ranks by the time to the completion of the work ahead and the request.

    Answers upstreams of uneven speed: a slot of a slow one is worth less.
    Upstreams without a recent load count by this process's requests.
    """
    now = viewpoint.now
    factor = upstream.pace_samples.momentary_factor(now, WORK_S)
    expected = completion(
        upstream.slots, taken_slots(upstream, now), upstream.pace * factor
    )
    return expected, viewpoint.is_remote(upstream), viewpoint.rng.random()


def taken_slots(upstream: Upstream, now: float) -> float:
    """Returns the slots of an upstream that requests take or wait for.

    Args:
        upstream: The upstream.
        now: Monotonic time in seconds.
    """
    preemptible = PREEMPTIBLE_SHARE * upstream.preemptible_items(now)
    return max(upstream.in_flight, upstream.estimated_load(now) - preemptible)


def select(
    candidates: Sequence[Upstream],
    viewpoint: Viewpoint,
    ranking: Ranking = least_outstanding,
) -> Upstream | None:
    """Selects the upstream for the next request.

    Upstreams that limit their rate are spared for peaks, while others have free
    slots. Where the ranking depends on loads that all processes see alike and
    late, each process ranks a few candidates that it draws, of those with the
    least work ahead by its own requests and the reported queue: otherwise all
    would send to the same upstream until the next report.

    Args:
        candidates: Upstreams that may run the request.
        viewpoint: Where and when the upstream is selected.
        ranking: Ranks the candidates.

    Returns:
        The upstream, or None if there are no candidates.
    """
    eligible = _spare_limited(candidates, viewpoint.now)
    if ranking in _DRAWING_RANKINGS:
        eligible = _draw(_with_least_work(eligible, viewpoint.now), viewpoint)
    return min(
        eligible,
        key=lambda upstream: ranking(upstream, viewpoint),
        default=None,
    )


def _with_least_work(
    candidates: Sequence[Upstream], now: float
) -> Sequence[Upstream]:
    """Returns the candidates with the least work of this process and queue.

    One that has turned slow counts as busy, else each process would send it a
    request as soon as it has one at all the others.
    """
    work = [
        (u.in_flight + u.waiting(now)) * u.pace + max(0.0, u.pace - SLOW_PACE)
        for u in candidates
    ]
    least = min(work, default=0.0)
    return [
        upstream
        for upstream, ahead in zip(candidates, work, strict=True)
        if ahead <= least
    ]


def _draw(
    candidates: Sequence[Upstream], viewpoint: Viewpoint
) -> Sequence[Upstream]:
    if len(candidates) <= DRAWN:
        return candidates
    return viewpoint.rng.sample(candidates, DRAWN)


_DRAWING_RANKINGS = frozenset({expected_completion})


def _spare_limited(
    candidates: Sequence[Upstream], now: float
) -> Sequence[Upstream]:
    """Returns the candidates that come first if some limit their rate."""
    limited = [u for u in candidates if u.max_rate is not None]
    if not limited:
        return candidates
    unlimited = [u for u in candidates if u.max_rate is None]
    free = [u for u in unlimited if u.estimated_load(now) < u.slots]
    return free or limited

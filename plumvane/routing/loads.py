"""What one entry knows of the upstreams' load and health."""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from plumvane import clock
from plumvane.instances.directory import Instance
from plumvane.peers.messages import Load
from plumvane.routing.prefixes import PrefixCounts, decay
from plumvane.routing.summary import SUMMARY_TTL_S, CandidateSummary

__all__ = ["UpstreamLoads"]

# A new upstream counts as fully known after this.
SLOW_START_S = 10.0
# Limit of an upstream that has not told its own.
UNKNOWN_LIMIT = 8
# An upstream is slow if its step is longer than the median by this factor.
SLOW_FACTOR = 2.5
MIN_COMPARED = 3
# An ejected upstream gets a probe after this, doubled at each failure.
FAILED_PROBE_S = 1.0
SLOW_PROBE_S = 10.0
MAX_PROBE_S = 60.0


@dataclasses.dataclass(slots=True)
class _Upstream:
    """One upstream as this entry sees it.

    Attributes:
        address: Peer address of its sidecar.
        served: Model or service behind it.
        seen_at: When this entry first saw it, monotonic.
        in_flight: Requests of this entry that it has.
        others: Online requests of other entries that it had.
        load: The last load that its sidecar told.
        rate: Decayed count of dispatches.
        rated_at: When the rate was decay, monotonic.
        failures: Failures since the last success.
        slow: Whether its steps are much longer than the others'.
        slow_probes: Requests sent to it since it was found slow.
        probe_at: When an ejected upstream gets a request, monotonic.
    """

    address: str
    served: str
    seen_at: float
    in_flight: int = 0
    others: int = 0
    load: Load | None = None
    rate: float = 0.0
    rated_at: float = 0.0
    failures: int = 0
    slow: bool = False
    slow_probes: int = 0
    probe_at: float = 0.0

    @property
    def ejected(self) -> bool:
        """Whether it is failing or slow."""
        return self.failures > 0 or self.slow


class UpstreamLoads:
    """Load and health by upstream, from this entry's own traffic.

    Loads ride on the sidecars' answers; between two of them the entry's own
    requests in flight are counted in. All of it is a hint: the sidecar's
    refusal decides.

    Attributes:
        prefix_counts: Recent requests by prefix.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self._upstreams_by_name: dict[str, _Upstream] = {}
        self._summaries_by_served: dict[str, CandidateSummary] = {}
        self.prefix_counts = PrefixCounts()

    def __len__(self) -> int:
        return len(self._upstreams_by_name)

    @contextmanager
    def track_dispatch(self, instance: Instance) -> Iterator[None]:
        """Counts a request as in flight at an upstream."""
        upstream = self._get(instance)
        self._decay(upstream)
        upstream.rate += 1.0
        upstream.in_flight += 1
        if upstream.failures:
            _delay_probe(upstream, FAILED_PROBE_S, upstream.failures)
        elif upstream.slow:
            upstream.slow_probes += 1
            _delay_probe(upstream, SLOW_PROBE_S, upstream.slow_probes)
        summary = self._summaries_by_served.get(instance.serves)
        if summary is not None:
            summary.add_dispatch()
        try:
            yield
        finally:
            upstream.in_flight -= 1
            summary = self._summaries_by_served.get(instance.serves)
            if summary is not None:
                summary.end_dispatch()

    def record_success(self, instance: Instance) -> None:
        """Takes in that an upstream served a request."""
        upstream = self._get(instance)
        if upstream.failures:
            upstream.failures = 0
            self._summaries_by_served.pop(instance.serves, None)

    def update_load(self, instance: Instance, load: Load | None) -> None:
        """Takes in the load that rides on an answer, if any does."""
        if load is not None:
            self._take(self._get(instance), load)

    def record_failure(self, instance: Instance) -> None:
        """Takes in that an upstream failed or was lost."""
        upstream = self._get(instance)
        upstream.failures += 1
        _delay_probe(upstream, FAILED_PROBE_S, upstream.failures)
        self._summaries_by_served.pop(instance.serves, None)

    def summary(self, candidates: Sequence[Instance]) -> CandidateSummary:
        """Returns what is known of a model's candidates together.

        Args:
            candidates: At least one; the same object as long as they are the
                same.
        """
        served = candidates[0].serves
        found = self._summaries_by_served.get(served)
        if (
            found is None
            or found.candidates is not candidates
            or clock.monotonic() >= found.deadline
        ):
            if found is not None and found.candidates is not candidates:
                self._forget_others(candidates)
            found = self._summarize(candidates)
            self._summaries_by_served[served] = found
        return found

    def keep(self, candidates: Sequence[Instance]) -> None:
        """Takes the candidates' reports in, and adds unseen upstreams."""
        for instance in candidates:
            upstream = self._get(instance)
            load = instance.load
            if load is not None and (
                upstream.load is None or load.time > upstream.load.time
            ):
                self._take(upstream, load)

    def online(self, instance: Instance) -> float:
        """Returns the estimated online requests at an upstream."""
        upstream = self._get(instance)
        return upstream.others + upstream.in_flight

    def busyness(self, instance: Instance) -> float:
        """Returns the estimated online requests as a part of the limit."""
        upstream = self._get(instance)
        limit = upstream.load.limit if upstream.load else UNKNOWN_LIMIT
        return self.online(instance) / max(1, limit)

    def rate(self, instance: Instance) -> float:
        """Returns the decayed count of dispatches to an upstream."""
        upstream = self._get(instance)
        self._decay(upstream)
        return upstream.rate

    def warmth(self, instance: Instance) -> float:
        """Returns how well an upstream is known, from 0 (new) to 1."""
        age_s = clock.monotonic() - self._get(instance).seen_at
        return min(1.0, age_s / SLOW_START_S)

    def usable(self, candidates: Sequence[Instance]) -> list[Instance]:
        """Returns the candidates that are not ejected, or all if all are."""
        median_s = self._median_step_s(candidates)
        for instance in candidates:
            upstream = self._get(instance)
            was_slow = upstream.slow
            upstream.slow = _is_slow(upstream, median_s)
            if not upstream.slow:
                upstream.slow_probes = 0
            elif not was_slow:
                _delay_probe(upstream, SLOW_PROBE_S, 1)
        found = [i for i in candidates if not self._get(i).ejected]
        return found or list(candidates)

    def due_probe(self, candidates: Sequence[Instance]) -> Instance | None:
        """Returns an ejected candidate that is due for a request, if any."""
        now = clock.monotonic()
        for instance in candidates:
            upstream = self._get(instance)
            if upstream.ejected and now >= upstream.probe_at:
                return instance
        return None

    def _summarize(self, candidates: Sequence[Instance]) -> CandidateSummary:
        self.keep(candidates)
        usable = self.usable(candidates)
        return CandidateSummary(
            candidates,
            {instance.name: instance for instance in usable},
            tuple(i for i in candidates if self._get(i).ejected),
            sum(map(self.online, usable)) / len(usable),
            sum(map(self.rate, usable)) / len(usable),
            max(map(self.warmth, usable)),
            clock.monotonic() + SUMMARY_TTL_S,
        )

    def _forget_others(self, candidates: Sequence[Instance]) -> None:
        """Forgets the idle upstreams of a model that are not candidates."""
        served = candidates[0].serves
        names = {instance.name for instance in candidates}
        self._upstreams_by_name = {
            name: upstream
            for name, upstream in self._upstreams_by_name.items()
            if upstream.served != served or name in names or upstream.in_flight
        }

    def _get(self, instance: Instance) -> _Upstream:
        upstream = self._upstreams_by_name.get(instance.name)
        if upstream is None or upstream.address != instance.address:
            upstream = _Upstream(
                instance.address, instance.serves, clock.monotonic()
            )
            self._upstreams_by_name[instance.name] = upstream
        return upstream

    def _take(self, upstream: _Upstream, load: Load) -> None:
        upstream.load = load
        upstream.others = max(0, load.online - upstream.in_flight)

    def _decay(self, upstream: _Upstream) -> None:
        now = clock.monotonic()
        upstream.rate = decay(upstream.rate, now - upstream.rated_at)
        upstream.rated_at = now

    def _median_step_s(self, candidates: Sequence[Instance]) -> float:
        steps = [
            load.step_s
            for instance in candidates
            if (load := self._get(instance).load) is not None and load.step_s
        ]
        if len(steps) < MIN_COMPARED:
            return 0.0
        return statistics.median(steps)


def _is_slow(upstream: _Upstream, median_s: float) -> bool:
    if upstream.load is None or not median_s:
        return False
    return upstream.load.step_s > SLOW_FACTOR * median_s


def _delay_probe(upstream: _Upstream, first_s: float, tries: int) -> None:
    delay_s = min(MAX_PROBE_S, first_s * 2.0 ** (tries - 1))
    upstream.probe_at = clock.monotonic() + delay_s

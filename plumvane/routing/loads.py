"""Load and health of upstreams as one entry tracks them."""

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

# Time over which a new upstream's share of requests rises to the full one, in
# seconds.
SLOW_START_S = 10.0
# Concurrency limit assumed until the sidecar reports one.
DEFAULT_LIMIT = 8
# An upstream counts as slow if its step time exceeds the median by this factor.
SLOW_FACTOR = 2.5
# Step times needed for a median; with fewer, no upstream counts as slow.
MIN_COMPARED_STEPS = 3
# Delay before the probe of an ejected upstream, in seconds: after a first
# failure and after it was found slow. Doubled by each further failure or slow
# probe, up to the maximum.
FAILURE_PROBE_DELAY_S = 1.0
SLOW_PROBE_DELAY_S = 10.0
MAX_PROBE_DELAY_S = 60.0


@dataclasses.dataclass(slots=True)
class _Upstream:
    """State that this entry keeps for an upstream. Times are monotonic.

    Attributes:
        address: Peer address of its sidecar.
        model: Model or service that it serves.
        first_seen_at: When this entry first saw it.
        in_flight: Requests of this entry in flight at it.
        online_elsewhere: Online requests of other entries at the last report.
        load: Load that its sidecar reported last.
        recent_dispatches: Decayed count of dispatches.
        decayed_at: When the count of dispatches was last decayed.
        failures: Failures since the last success.
        slow: Whether its step time is much longer than the median.
        slow_probes: Requests sent to it since it was found slow.
        probe_at: When an ejected upstream is due for a probe.
    """

    address: str
    model: str
    first_seen_at: float
    in_flight: int = 0
    online_elsewhere: int = 0
    load: Load | None = None
    recent_dispatches: float = 0.0
    decayed_at: float = 0.0
    failures: int = 0
    slow: bool = False
    slow_probes: int = 0
    probe_at: float = 0.0

    @property
    def ejected(self) -> bool:
        """Whether it is left out because it fails or is slow."""
        return self.failures > 0 or self.slow


class UpstreamLoads:
    """Load and health by upstream, from this entry's own traffic.

    Sidecars report their load with each answer and heartbeat; between two
    reports, the entry adds its own requests in flight. The estimates only guide
    routing: the sidecar decides whether it admits a request.

    Attributes:
        prefix_counts: Recent requests by prompt prefix.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self._upstreams_by_name: dict[str, _Upstream] = {}
        self._summaries_by_model: dict[str, CandidateSummary] = {}
        self.prefix_counts = PrefixCounts()

    def __len__(self) -> int:
        return len(self._upstreams_by_name)

    @contextmanager
    def track_dispatch(self, instance: Instance) -> Iterator[None]:
        """Counts a request as in flight at an upstream."""
        upstream = self._get_or_add(instance)
        self._decay(upstream)
        upstream.recent_dispatches += 1.0
        upstream.in_flight += 1
        if upstream.failures:
            _schedule_probe(upstream, FAILURE_PROBE_DELAY_S, upstream.failures)
        elif upstream.slow:
            upstream.slow_probes += 1
            _schedule_probe(upstream, SLOW_PROBE_DELAY_S, upstream.slow_probes)
        summary = self._summaries_by_model.get(instance.serves)
        if summary is not None:
            summary.add_dispatch()
        try:
            yield
        finally:
            upstream.in_flight -= 1
            summary = self._summaries_by_model.get(instance.serves)
            if summary is not None:
                summary.end_dispatch()

    def record_success(self, instance: Instance) -> None:
        """Records that an upstream served a request."""
        upstream = self._get_or_add(instance)
        if upstream.failures:
            upstream.failures = 0
            self._summaries_by_model.pop(instance.serves, None)

    def update_load(self, instance: Instance, load: Load | None) -> None:
        """Records the load reported with an answer, if there is one."""
        if load is not None:
            self._set_load(self._get_or_add(instance), load)

    def record_failure(self, instance: Instance) -> None:
        """Records that an upstream failed or was lost."""
        upstream = self._get_or_add(instance)
        upstream.failures += 1
        _schedule_probe(upstream, FAILURE_PROBE_DELAY_S, upstream.failures)
        self._summaries_by_model.pop(instance.serves, None)

    def summary(self, candidates: Sequence[Instance]) -> CandidateSummary:
        """Returns the aggregates over a model's candidates.

        They are cached for `SUMMARY_TTL_S` as long as the same object is
        passed, which callers replace when the candidates change.

        Args:
            candidates: At least one candidate.
        """
        model = candidates[0].serves
        found = self._summaries_by_model.get(model)
        if (
            found is None
            or found.candidates is not candidates
            or clock.monotonic() >= found.deadline
        ):
            if found is not None and found.candidates is not candidates:
                self._remove_others(candidates)
            found = self._summarize(candidates)
            self._summaries_by_model[model] = found
        return found

    def refresh(self, candidates: Sequence[Instance]) -> None:
        """Adds new candidates and records the loads reported by heartbeat."""
        for instance in candidates:
            upstream = self._get_or_add(instance)
            load = instance.load
            if load is not None and (
                upstream.load is None or load.time > upstream.load.time
            ):
                self._set_load(upstream, load)

    def online_requests(self, instance: Instance) -> float:
        """Returns the estimated number of online requests at an upstream."""
        upstream = self._get_or_add(instance)
        return upstream.online_elsewhere + upstream.in_flight

    def utilization(self, instance: Instance) -> float:
        """Returns the estimated online requests as a share of the limit."""
        upstream = self._get_or_add(instance)
        limit = upstream.load.limit if upstream.load else DEFAULT_LIMIT
        return self.online_requests(instance) / max(1, limit)

    def recent_dispatches(self, instance: Instance) -> float:
        """Returns the decayed count of dispatches to an upstream."""
        upstream = self._get_or_add(instance)
        self._decay(upstream)
        return upstream.recent_dispatches

    def warmup_fraction(self, instance: Instance) -> float:
        """Returns the progress of the slow start, from 0 (new) to 1."""
        age_s = clock.monotonic() - self._get_or_add(instance).first_seen_at
        return min(1.0, age_s / SLOW_START_S)

    def usable(self, candidates: Sequence[Instance]) -> list[Instance]:
        """Returns the candidates that are not ejected, or all if all are."""
        median_s = self._median_step_s(candidates)
        for instance in candidates:
            upstream = self._get_or_add(instance)
            was_slow = upstream.slow
            upstream.slow = _is_slow(upstream, median_s)
            if not upstream.slow:
                upstream.slow_probes = 0
            elif not was_slow:
                _schedule_probe(upstream, SLOW_PROBE_DELAY_S, 1)
        found = [i for i in candidates if not self._get_or_add(i).ejected]
        return found or list(candidates)

    def due_probe(self, candidates: Sequence[Instance]) -> Instance | None:
        """Returns an ejected candidate that is due for a probe, if any."""
        now = clock.monotonic()
        for instance in candidates:
            upstream = self._get_or_add(instance)
            if upstream.ejected and now >= upstream.probe_at:
                return instance
        return None

    def _summarize(self, candidates: Sequence[Instance]) -> CandidateSummary:
        self.refresh(candidates)
        usable = self.usable(candidates)
        return CandidateSummary(
            candidates,
            {instance.name: instance for instance in usable},
            tuple(i for i in candidates if self._get_or_add(i).ejected),
            sum(map(self.online_requests, usable)) / len(usable),
            sum(map(self.recent_dispatches, usable)) / len(usable),
            max(map(self.warmup_fraction, usable)),
            clock.monotonic() + SUMMARY_TTL_S,
        )

    def _remove_others(self, candidates: Sequence[Instance]) -> None:
        """Removes the idle upstreams of a model that are not candidates."""
        model = candidates[0].serves
        names = {instance.name for instance in candidates}
        self._upstreams_by_name = {
            name: upstream
            for name, upstream in self._upstreams_by_name.items()
            if upstream.model != model or name in names or upstream.in_flight
        }

    def _get_or_add(self, instance: Instance) -> _Upstream:
        upstream = self._upstreams_by_name.get(instance.name)
        if upstream is None or upstream.address != instance.address:
            upstream = _Upstream(
                instance.address, instance.serves, clock.monotonic()
            )
            self._upstreams_by_name[instance.name] = upstream
        return upstream

    def _set_load(self, upstream: _Upstream, load: Load) -> None:
        upstream.load = load
        upstream.online_elsewhere = max(0, load.online - upstream.in_flight)

    def _decay(self, upstream: _Upstream) -> None:
        now = clock.monotonic()
        upstream.recent_dispatches = decay(
            upstream.recent_dispatches, now - upstream.decayed_at
        )
        upstream.decayed_at = now

    def _median_step_s(self, candidates: Sequence[Instance]) -> float:
        steps = [
            load.step_s
            for instance in candidates
            if (load := self._get_or_add(instance).load) is not None
            and load.step_s
        ]
        if len(steps) < MIN_COMPARED_STEPS:
            return 0.0
        return statistics.median(steps)


def _is_slow(upstream: _Upstream, median_s: float) -> bool:
    if upstream.load is None or not median_s:
        return False
    return upstream.load.step_s > SLOW_FACTOR * median_s


def _schedule_probe(upstream: _Upstream, base_s: float, attempt: int) -> None:
    delay_s = min(MAX_PROBE_DELAY_S, base_s * 2.0 ** (attempt - 1))
    upstream.probe_at = clock.monotonic() + delay_s

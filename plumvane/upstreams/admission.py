"""Admission policies: how many requests may run on an upstream at once."""

from __future__ import annotations

import abc
import statistics
from collections import deque
from collections.abc import Callable, Collection

from plumvane import clock
from plumvane.fleet.document import Policies, Workload
from plumvane.upstreams.step_model import StepModel

__all__ = [
    "ADMISSION_POLICIES_BY_NAME",
    "Admission",
    "Adaptive",
    "Fixed",
    "Unlimited",
    "admission",
    "make_admission",
]

AdmissionFactory = Callable[[Policies], "Admission"]
ADMISSION_POLICIES_BY_NAME: dict[str, AdmissionFactory] = {}

UNLIMITED = 1 << 30
DEFAULT_BETWEEN_TOKENS_S = 0.039
DEFAULT_FIRST_TOKEN_S = 0.9
# Fraction of the first-token target that a request may spend in the queue.
QUEUE_TIME_FRACTION = 0.5
# Bounds of the adaptive limit.
MIN_LIMIT = 2
MAX_LIMIT = 512
INITIAL_LIMIT = 8
# Batch items that start without delay on an engine with no fitted step model.
INITIAL_BATCH_STARTS = 4
# The adaptive limit aims at this fraction of the latency target.
TARGET_FRACTION = 0.9
# Without online requests, batch items may lengthen the step of a single request
# by this factor, even beyond the latency target.
BATCH_ONLY_SLOWDOWN = 2.0
# Fraction of a step that is reserved for the prefill of batch items that start
# or resume.
PREFILL_FRACTION = 0.05
# The limit may exceed the highest concurrency observed so far by this factor
# plus this number.
EXPLORE_FACTOR = 1.25
EXPLORE_STEP = 2
# Interval between samples of the number of running online requests, and how
# many samples are kept.
SAMPLE_INTERVAL_S = 0.1
MAX_SAMPLES = 300
# The estimated peak lies this many standard deviations above the mean of the
# samples.
PEAK_STDDEVS = 2.33
# An upstream counts as idle while at most this fraction of the samples shows
# online requests.
IDLE_SAMPLE_FRACTION = 0.01
# Weight of a step during which the set of running requests changed.
UNSTEADY_WEIGHT = 0.05
# Slots that stay free when a batch item starts while online requests run.
BATCH_START_MARGIN = 1
# Batch items that may start per step, with and without online requests.
STARTS_PER_STEP_WITH_ONLINE = 1
STARTS_PER_STEP_BATCH_ONLY = 4


def admission(name: str) -> Callable[[AdmissionFactory], AdmissionFactory]:
    """Registers an admission policy under a name."""

    def register(factory: AdmissionFactory) -> AdmissionFactory:
        ADMISSION_POLICIES_BY_NAME[name] = factory
        return factory

    return register


def make_admission(policies: Policies) -> Admission:
    """Creates the admission policy that the fleet document names."""
    return ADMISSION_POLICIES_BY_NAME[policies.admission](policies)


class Admission(abc.ABC):
    """Decides how many requests may run concurrently on an upstream."""

    #: Whether online requests preempt batch items.
    preempts = True

    def __init__(self, policies: Policies) -> None:
        """Creates the policy.

        Args:
            policies: Settings from the fleet document.
        """
        self._policies = policies
        #: Longest expected wait at which a request is still queued, in seconds.
        self.queue_target_s = DEFAULT_FIRST_TOKEN_S * QUEUE_TIME_FRACTION

    @abc.abstractmethod
    def limit(self) -> int:
        """Returns how many online requests may run concurrently."""

    def batch_limit(self, online_running: int) -> int:
        """Returns how many batch items may run alongside online requests."""
        return max(0, self.limit() - online_running)

    def batch_start_limit(self, online_running: int) -> int:
        """Returns how many batch items may run, counting one about to start.

        A value below `batch_limit` leaves room for a short online request, so
        fewer batch items are preempted.
        """
        return self.batch_limit(online_running)

    def batch_start_interval_s(
        self, online_running: int, batch_running: int
    ) -> float:
        """Returns the mean time between starts of batch items, in seconds."""
        return 0.0

    def batch_start_burst(self, online_running: int) -> int:
        """Returns how many batch items may start at the same moment.

        Queued items are admitted when a token arrives, which happens once per
        step, so starts within a step come in bursts.
        """
        return 1

    def single_request_step_s(self) -> float:
        """Returns the step time for a single request, or 0 if unknown."""
        return 0.0

    def configure(self, policies: Policies, workloads: list[Workload]) -> None:
        """Applies the settings and the online workloads of the model."""
        self._policies = policies
        targets = [w.first_token_ms / 1000.0 for w in workloads]
        first_token_s = min(targets, default=DEFAULT_FIRST_TOKEN_S)
        self.queue_target_s = first_token_s * QUEUE_TIME_FRACTION

    def observe_online(self, running: int) -> None:
        """Records the number of running online requests."""
        return

    def observe_step(
        self, seconds: float, running: int, is_steady: bool
    ) -> None:
        """Records the time between two consecutive tokens of a stream.

        Args:
            seconds: The step time.
            running: Requests that were running at the end of the step.
            is_steady: Whether the set of running requests has been unchanged
                for long enough that the step includes no prefill.
        """
        return


@admission("unlimited")
class Unlimited(Admission):
    """Admits every request; the baseline."""

    preempts = False

    def limit(self) -> int:
        """See base class."""
        return UNLIMITED


@admission("fixed")
class Fixed(Admission):
    """Allows a fixed number of concurrent requests; a baseline."""

    preempts = False

    def limit(self) -> int:
        """See base class."""
        return self._policies.fixed_concurrency


@admission("adaptive")
class Adaptive(Admission):
    """Derives the limits from a fitted model of the engine's step time.

    Online requests are admitted while the step time stays within the fleet
    document's target between tokens. Batch items may lengthen the step to at
    most `batch_slowdown` times the step time at the estimated peak of online
    requests without batch.
    """

    def __init__(self, policies: Policies) -> None:
        """See base class."""
        super().__init__(policies)
        self._model = StepModel()
        self._target_s = DEFAULT_BETWEEN_TOKENS_S
        self._max_running = float(INITIAL_LIMIT)
        self._max_observed = 0
        self._online_samples: deque[int] = deque(maxlen=MAX_SAMPLES)
        self._online_peak = 0.0
        self._next_sample_at = 0.0
        self._next_step_at = 0.0

    def limit(self) -> int:
        """See base class."""
        return self._max_running_within(self._target_s * TARGET_FRACTION)

    def batch_limit(self, online_running: int) -> int:
        """See base class."""
        peak = max(online_running, self._online_peak)
        if not self._model.is_fitted:
            return max(0, self.limit() - online_running)
        if peak == 0:
            return self._batch_only_limit()
        slowdown = self._policies.batch_slowdown
        online_only_s = self._model.predict(peak / slowdown)
        max_step_s = online_only_s * slowdown * (1.0 - PREFILL_FRACTION)
        max_step_s = min(max_step_s, self._target_s * TARGET_FRACTION)
        return max(0, self._max_running_within(max_step_s) - online_running)

    def batch_start_limit(self, online_running: int) -> int:
        """See base class."""
        margin = BATCH_START_MARGIN if online_running else 0
        return max(0, self.batch_limit(online_running) - margin)

    def batch_start_interval_s(
        self, online_running: int, batch_running: int
    ) -> float:
        """See base class."""
        if not self._model.is_fitted:
            # The fit needs steps at several levels of concurrency. Long items
            # do not end in time to provide them, so items start one by one.
            # Slots that were in use before are refilled without delay;
            # otherwise the concurrency of short items would never grow.
            explored_limit = max(INITIAL_BATCH_STARTS, self._max_observed)
            is_delayed = online_running or batch_running >= explored_limit
            return SAMPLE_INTERVAL_S if is_delayed else 0.0
        step_s = self._model.predict(online_running)
        if online_running:
            return step_s / STARTS_PER_STEP_WITH_ONLINE
        return step_s / STARTS_PER_STEP_BATCH_ONLY

    def batch_start_burst(self, online_running: int) -> int:
        """See base class."""
        if online_running or not self._model.is_fitted:
            return STARTS_PER_STEP_WITH_ONLINE
        return STARTS_PER_STEP_BATCH_ONLY

    def single_request_step_s(self) -> float:
        """See base class."""
        return (
            max(0.0, self._model.predict(1)) if self._model.is_fitted else 0.0
        )

    def configure(self, policies: Policies, workloads: list[Workload]) -> None:
        """See base class."""
        super().configure(policies, workloads)
        targets = [w.between_tokens_ms / 1000.0 for w in workloads]
        self._target_s = min(targets, default=DEFAULT_BETWEEN_TOKENS_S)

    def observe_online(self, running: int) -> None:
        """See base class."""
        now = clock.monotonic()
        if now < self._next_sample_at:
            return
        self._next_sample_at = now + SAMPLE_INTERVAL_S
        self._online_samples.append(running)
        self._online_peak = _estimate_peak(self._online_samples)

    def observe_step(
        self, seconds: float, running: int, is_steady: bool
    ) -> None:
        """See base class."""
        now = clock.monotonic()
        if now < self._next_step_at:
            # Another stream has already reported this step.
            return
        self._next_step_at = now + seconds / 2
        weight = 1.0 if is_steady else UNSTEADY_WEIGHT
        self._model.add(running, seconds, weight)
        self._max_running = max(self._max_running, float(running))
        self._max_observed = max(self._max_observed, running)

    def _batch_only_limit(self) -> int:
        """Returns how many batch items may run while no online load is seen.

        An engine whose step exceeds the target with a single request cannot
        meet the target, so limiting batch to it would only leave the engine
        idle.
        """
        max_step_s = max(
            self._target_s * TARGET_FRACTION,
            self._model.predict(1) * BATCH_ONLY_SLOWDOWN,
        )
        return self._max_running_within(max_step_s)

    def _max_running_within(self, step_s: float) -> int:
        """Returns how many requests keep the step within `step_s` seconds."""
        if not self._model.is_fitted:
            return INITIAL_LIMIT
        explored_limit = self._max_running * EXPLORE_FACTOR + EXPLORE_STEP
        limit = min(
            self._model.max_running_within(step_s), explored_limit, MAX_LIMIT
        )
        return max(MIN_LIMIT, int(limit))


def _estimate_peak(samples: Collection[int]) -> float:
    """Estimates the peak number of online requests; 0 if the upstream is idle.

    The mean and standard deviation use all samples, so they vary less between
    windows than a high quantile, which depends on the few largest samples.
    """
    if sum(map(bool, samples)) <= IDLE_SAMPLE_FRACTION * len(samples):
        return 0.0
    mean = statistics.fmean(samples)
    return mean + PEAK_STDDEVS * statistics.pstdev(samples, mean)

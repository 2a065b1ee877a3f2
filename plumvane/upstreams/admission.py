"""Admission policies: how many requests an upstream is given at once."""

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
DEFAULT_TARGET_S = 0.039
DEFAULT_FIRST_TOKEN_S = 0.9
# Part of the target for the first token that may be spent in the queue.
QUEUE_PART = 0.5
# Bounds of the adaptive limit.
MIN_LIMIT = 2
MAX_LIMIT = 512
START_LIMIT = 8
# Batch items that start at once at an engine that is not known yet.
START_AT_ONCE = 4
# The adaptive limit aims at this part of the latency target.
HEADROOM = 0.9
# Batch alone may lengthen the step of one request by this factor, also where
# that exceeds the target.
ALONE_FACTOR = 2.0
# Part of a step that is left to the prefill of items that start and resume.
PREFILL_PART = 0.05
# The limit may exceed what has run before by this factor and number.
EXPLORE_FACTOR = 1.25
EXPLORE_STEP = 2
# Online requests that run at once are sampled this often, for this long.
SAMPLE_S = 0.1
SAMPLES = 300
# The usual peak lies this many deviations over the mean of the samples.
PEAK_DEVIATIONS = 2.33
# Part of the samples that may show online requests at an idle upstream.
IDLE_PART = 0.01
# Trust in a step during which the running requests changed.
UNSETTLED_WEIGHT = 0.05
# Places that stay free beside online requests when a batch item starts.
START_MARGIN = 1
# Batch items that may start in one step, beside online requests and alone.
STARTS_BESIDE_ONLINE = 1
STARTS_ALONE = 4


def admission(name: str) -> Callable[[AdmissionFactory], AdmissionFactory]:
    """Registers an admission policy under a name."""

    def register(factory: AdmissionFactory) -> AdmissionFactory:
        ADMISSION_POLICIES_BY_NAME[name] = factory
        return factory

    return register


def make_admission(policies: Policies) -> Admission:
    """Returns the admission policy that the fleet document names."""
    return ADMISSION_POLICIES_BY_NAME[policies.admission](policies)


class Admission(abc.ABC):
    """Decides how many requests run at once."""

    #: Whether online requests preempt batch items.
    preempts = True

    def __init__(self, policies: Policies) -> None:
        """Creates the policy.

        Args:
            policies: Settings from the fleet document.
        """
        self._policies = policies
        #: Longest wait for a place that is worth queueing for, in seconds.
        self.queue_target_s = DEFAULT_FIRST_TOKEN_S * QUEUE_PART

    @abc.abstractmethod
    def limit(self) -> int:
        """Returns how many online requests may run at once."""

    def batch_limit(self, online_running: int) -> int:
        """Returns how many batch items may run beside online requests."""
        return max(0, self.limit() - online_running)

    def batch_start_limit(self, online_running: int) -> int:
        """Returns how many batch items may run once another starts.

        Where it is below `batch_limit`, an online request that comes and goes
        preempts less often.
        """
        return self.batch_limit(online_running)

    def batch_interval_s(
        self, online_running: int, batch_running: int
    ) -> float:
        """Returns the mean time between two starts of batch items."""
        return 0.0

    def batch_starts_at_once(self, online_running: int) -> int:
        """Returns how many batch items may start at one time.

        Tokens come once a step, and places are given out when they come.
        """
        return 1

    def lone_step_s(self) -> float:
        """Returns the engine's step with one request, or 0 if unknown."""
        return 0.0

    def configure(self, policies: Policies, workloads: list[Workload]) -> None:
        """Takes in the settings and the online workloads of the model."""
        self._policies = policies
        targets = [w.first_token_ms / 1000.0 for w in workloads]
        first_token_s = min(targets, default=DEFAULT_FIRST_TOKEN_S)
        self.queue_target_s = first_token_s * QUEUE_PART

    def observe_online(self, running: int) -> None:
        """Takes in how many online requests run now."""
        return

    def observe_step(self, seconds: float, running: int, settled: bool) -> None:
        """Takes in the time between two tokens of a stream.

        Args:
            seconds: The time.
            running: Requests that ran at its end.
            settled: Whether none came or went since the step before it.
        """
        return


@admission("unlimited")
class Unlimited(Admission):
    """Passes everything through; the baseline."""

    preempts = False

    def limit(self) -> int:
        """See base class."""
        return UNLIMITED


@admission("fixed")
class Fixed(Admission):
    """Allows a fixed number of requests at once; a baseline."""

    preempts = False

    def limit(self) -> int:
        """See base class."""
        return self._policies.fixed_concurrency


@admission("adaptive")
class Adaptive(Admission):
    """Derives the limits from a measured model of the engine's step.

    Online requests may run as long as the step keeps the document's target
    between tokens. Beside them, batch may lengthen the step to at most
    `batch_slowdown` times what the usual peak of online requests alone takes.
    """

    def __init__(self, policies: Policies) -> None:
        """See base class."""
        super().__init__(policies)
        self._model = StepModel()
        self._target_s = DEFAULT_TARGET_S
        self._most_run = float(START_LIMIT)
        self._most_seen = 0
        self._online: deque[int] = deque(maxlen=SAMPLES)
        self._online_peak = 0.0
        self._sample_at = 0.0
        self._step_at = 0.0

    def limit(self) -> int:
        """See base class."""
        return self._within(self._target_s * HEADROOM)

    def batch_limit(self, online_running: int) -> int:
        """See base class."""
        peak = max(online_running, self._online_peak)
        if not self._model.is_fitted:
            return max(0, self.limit() - online_running)
        if peak == 0:
            return self._batch_limit_alone()
        slowdown = self._policies.batch_slowdown
        alone_s = self._model.predict(peak / slowdown)
        allowed_s = alone_s * slowdown * (1.0 - PREFILL_PART)
        allowed_s = min(allowed_s, self._target_s * HEADROOM)
        return max(0, self._within(allowed_s) - online_running)

    def batch_start_limit(self, online_running: int) -> int:
        """See base class."""
        margin = START_MARGIN if online_running else 0
        return max(0, self.batch_limit(online_running) - margin)

    def batch_interval_s(
        self, online_running: int, batch_running: int
    ) -> float:
        """See base class."""
        if not self._model.is_fitted:
            # Long items never end, so the model sees steps of several lengths
            # only if they start one after the other. Places that ran before
            # are filled again at once, or short items would never run more.
            explored = max(START_AT_ONCE, self._most_seen)
            is_spread = online_running or batch_running >= explored
            return SAMPLE_S if is_spread else 0.0
        step_s = self._model.predict(online_running)
        if online_running:
            return step_s / STARTS_BESIDE_ONLINE
        return step_s / STARTS_ALONE

    def batch_starts_at_once(self, online_running: int) -> int:
        """See base class."""
        if online_running or not self._model.is_fitted:
            return STARTS_BESIDE_ONLINE
        return STARTS_ALONE

    def lone_step_s(self) -> float:
        """See base class."""
        return (
            max(0.0, self._model.predict(1)) if self._model.is_fitted else 0.0
        )

    def configure(self, policies: Policies, workloads: list[Workload]) -> None:
        """See base class."""
        super().configure(policies, workloads)
        targets = [w.between_tokens_ms / 1000.0 for w in workloads]
        self._target_s = min(targets, default=DEFAULT_TARGET_S)

    def observe_online(self, running: int) -> None:
        """See base class."""
        now = clock.monotonic()
        if now < self._sample_at:
            return
        self._sample_at = now + SAMPLE_S
        self._online.append(running)
        self._online_peak = _usual_peak(self._online)

    def observe_step(self, seconds: float, running: int, settled: bool) -> None:
        """See base class."""
        now = clock.monotonic()
        if now < self._step_at:
            # Another stream told of the same step.
            return
        self._step_at = now + seconds / 2
        weight = 1.0 if settled else UNSETTLED_WEIGHT
        self._model.add(running, seconds, weight)
        self._most_run = max(self._most_run, float(running))
        self._most_seen = max(self._most_seen, running)

    def _batch_limit_alone(self) -> int:
        """Returns how many batch items may run with no online request near.

        An engine that is slower than the target with one request cannot keep
        the target, so that holding batch back would only leave it idle.
        """
        allowed_s = max(
            self._target_s * HEADROOM, self._model.predict(1) * ALONE_FACTOR
        )
        return self._within(allowed_s)

    def _within(self, step_s: float) -> int:
        """Returns how many requests keep the step within a time."""
        if not self._model.is_fitted:
            return START_LIMIT
        explored = self._most_run * EXPLORE_FACTOR + EXPLORE_STEP
        number = min(
            self._model.max_running_within(step_s), explored, MAX_LIMIT
        )
        return max(MIN_LIMIT, int(number))


def _usual_peak(samples: Collection[int]) -> float:
    """Returns the number that online requests seldom exceed, or 0 if idle.

    Mean and deviation use all samples, so they vary less from window to window
    than the quantile of the same samples, which is set by the top few.
    """
    if sum(map(bool, samples)) <= IDLE_PART * len(samples):
        return 0.0
    mean = statistics.fmean(samples)
    return mean + PEAK_DEVIATIONS * statistics.pstdev(samples, mean)

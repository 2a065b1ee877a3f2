"""Admission policies: how many requests an upstream is given at once."""

from __future__ import annotations

import abc
import math
from collections.abc import Callable

from plumvane import clock
from plumvane.fleet.document import Policies, Workload

__all__ = [
    "ADMISSIONS_BY_NAME",
    "Admission",
    "Adaptive",
    "Fixed",
    "Unlimited",
    "admission",
    "make_admission",
]

AdmissionFactory = Callable[[Policies], "Admission"]
ADMISSIONS_BY_NAME: dict[str, AdmissionFactory] = {}

UNLIMITED = 1 << 30
# Bounds of the adaptive limit.
MIN_LIMIT = 2
MAX_LIMIT = 512
START_LIMIT = 8
# The adaptive limit aims at this part of the latency targets.
HEADROOM = 0.8
DECREASE = 0.85
ADJUST_S = 0.25
# Part of the limit that batch leaves free for online bursts.
ONLINE_RESERVE = 0.1


def admission(name: str) -> Callable[[AdmissionFactory], AdmissionFactory]:
    """Registers an admission policy under a name."""

    def register(factory: AdmissionFactory) -> AdmissionFactory:
        ADMISSIONS_BY_NAME[name] = factory
        return factory

    return register


def make_admission(policies: Policies) -> Admission:
    """Returns the admission policy that the fleet document names."""
    return ADMISSIONS_BY_NAME[policies.admission](policies)


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

    @abc.abstractmethod
    def limit(self) -> int:
        """Returns how many requests may run at once."""

    def batch_limit(self, online_running: int) -> int:
        """Returns how many batch items may run beside online requests."""
        return max(0, self.limit() - online_running)

    def set_targets(self, workloads: list[Workload]) -> None:
        """Takes in the online workloads, for their latency targets."""
        return

    def observe_first_token(self, seconds: float) -> None:
        """Takes in the time from dispatch to a first token."""
        return

    def observe_between_tokens(self, seconds: float) -> None:
        """Takes in the time between two tokens."""
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
    """Allows a fixed number of requests at once."""

    preempts = False

    def __init__(self, policies: Policies) -> None:
        """See base class."""
        super().__init__(policies)
        self._limit = policies.fixed_concurrency

    def limit(self) -> int:
        """See base class."""
        return self._limit


@admission("adaptive")
class Adaptive(Admission):
    """Adapts the limit so that measured latency stays within the targets.

    The limit grows by one while the time between tokens stays below the
    target and the limit is in use, and shrinks by a factor when it does not.
    """

    def __init__(self, policies: Policies) -> None:
        """See base class."""
        super().__init__(policies)
        self._limit = float(START_LIMIT)
        self._between_target_s = 0.039
        self._worst_s = 0.0
        self._samples = 0
        self._adjust_at = 0.0

    def limit(self) -> int:
        """See base class."""
        return int(self._limit)

    def batch_limit(self, online_running: int) -> int:
        """See base class."""
        reserve = math.ceil(self._limit * ONLINE_RESERVE)
        return max(0, self.limit() - reserve - online_running)

    def set_targets(self, workloads: list[Workload]) -> None:
        """See base class."""
        targets = [w.between_tokens_ms / 1000.0 for w in workloads]
        self._between_target_s = min(targets, default=0.039)

    def observe_between_tokens(self, seconds: float) -> None:
        """See base class."""
        self._worst_s = max(self._worst_s, seconds)
        self._samples += 1
        now = clock.monotonic()
        if now < self._adjust_at or self._samples < self.limit():
            return
        self._adjust_at = now + ADJUST_S
        self._adjust()

    def _adjust(self) -> None:
        if self._worst_s > self._between_target_s * HEADROOM:
            self._limit = max(MIN_LIMIT, self._limit * DECREASE)
        else:
            self._limit = min(MAX_LIMIT, self._limit + 1.0)
        self._worst_s = 0.0
        self._samples = 0

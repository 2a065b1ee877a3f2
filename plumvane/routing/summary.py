"""Aggregated load of a model's upstreams at one entry."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from plumvane.instances.directory import Instance

__all__ = ["SUMMARY_TTL_S", "CandidateSummary"]

# Age after which a summary is recomputed, in seconds. It is also recomputed
# when an upstream fails or recovers.
SUMMARY_TTL_S = 0.1


@dataclasses.dataclass(slots=True)
class CandidateSummary:
    """Aggregates over a model's candidates.

    The means are updated with this entry's own requests until the summary is
    recomputed.

    Attributes:
        candidates: The candidates that it was computed from.
        usable_by_name: Candidates that are not ejected, or all if all are.
        ejected: Candidates that are ejected.
        mean_online: Mean number of online requests at the usable candidates.
        mean_recent_dispatches: Mean of their decayed dispatch counts.
        max_warmup: Largest warm-up fraction among the usable candidates.
        deadline: Monotonic time at which the summary expires.
    """

    candidates: Sequence[Instance]
    usable_by_name: dict[str, Instance]
    ejected: tuple[Instance, ...]
    mean_online: float
    mean_recent_dispatches: float
    max_warmup: float
    deadline: float

    def add_dispatch(self) -> None:
        """Adds a request that starts to the means."""
        increment = 1.0 / len(self.usable_by_name)
        self.mean_online += increment
        self.mean_recent_dispatches += increment

    def end_dispatch(self) -> None:
        """Removes a request that ends from the mean of online requests."""
        mean_online = self.mean_online - 1.0 / len(self.usable_by_name)
        self.mean_online = max(0.0, mean_online)

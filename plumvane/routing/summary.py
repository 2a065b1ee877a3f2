"""What one entry knows of a model's upstreams together."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from plumvane.instances.directory import Instance

__all__ = ["SUMMARY_S", "Summary"]

# A summary is made anew after this, or when an upstream fails or recovers.
SUMMARY_S = 0.1


@dataclasses.dataclass(slots=True)
class Summary:
    """A model's candidates at one moment, with this entry's requests since.

    Attributes:
        candidates: What it was made of.
        usable_by_name: Those that are not ejected, or all if all are.
        ejected: Those that are.
        mean_online: Mean of the usable ones' online requests.
        mean_rate: Mean of their decayed counts of dispatches.
        most_warmth: Warmth of the one that is known best.
        deadline: When it is made anew, monotonic.
    """

    candidates: Sequence[Instance]
    usable_by_name: dict[str, Instance]
    ejected: tuple[Instance, ...]
    mean_online: float
    mean_rate: float
    most_warmth: float
    deadline: float

    def add_dispatch(self) -> None:
        """Counts a request that starts."""
        part = 1.0 / len(self.usable_by_name)
        self.mean_online += part
        self.mean_rate += part

    def end_dispatch(self) -> None:
        """Counts a request that ends."""
        ended = self.mean_online - 1.0 / len(self.usable_by_name)
        self.mean_online = max(0.0, ended)

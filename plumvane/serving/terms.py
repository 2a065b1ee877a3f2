"""What a deployment asks of its instances beyond serving requests."""

from __future__ import annotations

import dataclasses

__all__ = ["Terms"]


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """Terms of a deployment, which switch features on.

    Attributes:
        has_scarce_places: Whether callers compete for too few places, and may
            read slowly: requests that cannot be answered in time are refused
            at once, and what an instance holds for others is limited.
    """

    has_scarce_places: bool = False

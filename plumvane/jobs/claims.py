"""Claims that sidecars hold on ranges of a job's items."""

from __future__ import annotations

import dataclasses

__all__ = ["CLAIM_TTL_S", "RangeClaim"]

# A claim on a range expires after this time unless it is renewed.
CLAIM_TTL_S = 15.0


@dataclasses.dataclass(slots=True)
class RangeClaim:
    """A range of items granted to a sidecar.

    Attributes:
        claim_id: Identifier of the claim.
        first_item: Index of the first item.
        items: Number of items.
        sidecar_address: Peer address of the sidecar that holds the claim.
        incarnation: Process of that sidecar.
        deadline: When the claim expires, seconds since the Unix epoch.
        is_suspect: Whether the range is a piece of a range that was lost.
        unsaved: Number of finished items whose results are not reported yet.
    """

    claim_id: str
    first_item: int
    items: int
    sidecar_address: str
    incarnation: str
    deadline: float
    is_suspect: bool = False
    unsaved: int = 0

    def indexes(self) -> range:
        """Returns the indexes of the items in the range."""
        return range(self.first_item, self.first_item + self.items)

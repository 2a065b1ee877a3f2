"""Claims of sidecars on ranges of a job's items."""

from __future__ import annotations

import dataclasses

__all__ = ["CLAIM_S", "RangeClaim"]

# A range's claim lapses unless it is renewed.
CLAIM_S = 15.0


@dataclasses.dataclass(slots=True)
class RangeClaim:
    """A range of items handed to a sidecar.

    Attributes:
        claim_id: Identifier of the claim.
        first_item: Index of the first item.
        items: How many items.
        sidecar_address: Who has it.
        incarnation: Process of the sidecar that has it.
        deadline: When it lapses, seconds since the Unix epoch.
        is_suspect: Whether its worker was lost before.
        unsaved: Items that are done, with results yet to be reported.
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
        """Returns the indexes of its items."""
        return range(self.first_item, self.first_item + self.items)

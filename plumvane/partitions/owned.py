"""A partition that an instance owns."""

from __future__ import annotations

import anyio

from plumvane.partitions.log import PartitionLog

__all__ = ["OwnedPartition"]


class OwnedPartition:
    """A partition that this instance owns.

    Attributes:
        number: Number of the partition.
        epoch: Epoch of this ownership.
        log: Log of the partition.
        revision: Revision of this instance's owner record.
        scope: Cancels the partition's tasks.
    """

    def __init__(
        self, number: int, epoch: int, log: PartitionLog, revision: int
    ) -> None:
        self.number = number
        self.epoch = epoch
        self.log = log
        self.revision = revision
        self.scope = anyio.CancelScope()

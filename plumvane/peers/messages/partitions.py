"""Messages on the move of partitions."""

from __future__ import annotations

from plumvane.peers.messages.base import Message

__all__ = ["TakePartition"]


class TakePartition(Message, frozen=True, tag="takepart"):
    """Asks an entry to take a partition over from its owner.

    Attributes:
        partition: Number of the partition.
        epoch: Epoch of the owner that asks.
    """

    partition: int
    epoch: int

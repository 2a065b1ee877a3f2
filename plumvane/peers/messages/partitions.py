"""Messages for the transfer of partitions between owners."""

from __future__ import annotations

from plumvane.peers.messages.base import Message

__all__ = ["TakePartition"]


class TakePartition(Message, frozen=True, tag="takepart"):
    """Asks an entry to take over a partition from its owner.

    Attributes:
        partition: Number of the partition.
        epoch: Epoch of the current owner, which sends the message.
    """

    partition: int
    epoch: int

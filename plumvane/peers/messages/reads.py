"""Reads of batch jobs at the worker that runs them."""

from __future__ import annotations

from plumvane.peers.messages.base import Message

__all__ = ["ItemBody", "JobResults", "NotRunHere", "ReadBody", "ReadResults"]


class ReadResults(Message, frozen=True, tag="resultsread"):
    """Waits for results of a batch job.

    Attributes:
        job_id: The job.
        position: First position that is wanted.
        deadline: Unix time in seconds at which an empty reply is sent.
    """

    job_id: str
    position: int
    deadline: float


class JobResults(Message, frozen=True, tag="resultsfound"):
    """Results that are listed from the wanted position on.

    Attributes:
        total: Number of the job's items.
        results: The results, encoded as in the store.
    """

    total: int
    results: tuple[bytes, ...]


class ReadBody(Message, frozen=True, tag="bodyread"):
    """Reads the body of an item that is not listed yet.

    Attributes:
        job_id: Its job.
        item_id: The item.
    """

    job_id: str
    item_id: str


class ItemBody(Message, frozen=True, tag="bodyfound"):
    """The body of an item.

    Attributes:
        body: The body.
    """

    body: bytes


class NotRunHere(Message, frozen=True, tag="notrunhere"):
    """The worker cannot be sure of the job's state.

    Attributes:
        owner: Name of the worker that runs the job; empty if unknown.
    """

    owner: str

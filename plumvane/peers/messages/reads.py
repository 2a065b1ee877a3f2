"""Messages for reading batch jobs from the worker that runs them."""

from __future__ import annotations

from plumvane.peers.messages.base import Message

__all__ = ["ItemBody", "JobResults", "NotRunHere", "ReadBody", "ReadResults"]


class ReadResults(Message, frozen=True, tag="resultsread"):
    """Asks for results of a batch job, and waits until there are any.

    Attributes:
        job_id: Identifier of the job.
        position: Position of the first requested result.
        deadline: Unix time in seconds at which an empty reply is sent.
    """

    job_id: str
    position: int
    deadline: float


class JobResults(Message, frozen=True, tag="resultsfound"):
    """Results that are available from the requested position on.

    Attributes:
        total: Number of items of the job.
        results: Results, encoded as in the store.
        team: Team of the job; empty if it has none.
    """

    total: int
    results: tuple[bytes, ...]
    team: str = ""


class ReadBody(Message, frozen=True, tag="bodyread"):
    """Asks for the body of an item that is not listed yet.

    Attributes:
        job_id: Identifier of the job.
        item_id: Identifier of the item.
    """

    job_id: str
    item_id: str


class ItemBody(Message, frozen=True, tag="bodyfound"):
    """Body of an item.

    Attributes:
        body: Content of the body.
        team: Team of the job; empty if it has none.
    """

    body: bytes
    team: str = ""


class NotRunHere(Message, frozen=True, tag="notrunhere"):
    """The worker does not run the job, or cannot confirm its state.

    Attributes:
        owner: Name of the worker that runs the job; empty if unknown.
    """

    owner: str

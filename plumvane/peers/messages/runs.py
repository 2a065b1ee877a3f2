"""Messages between an entry and the sidecar that runs a request."""

from __future__ import annotations

from plumvane.peers.messages.base import Message
from plumvane.peers.messages.requests import Outcome

__all__ = [
    "Acknowledge",
    "Attach",
    "CancelRun",
    "DispatchRequest",
    "Settle",
    "Settled",
    "TextPart",
]


class DispatchRequest(Message, frozen=True, tag="dispatch"):
    """Gives a sidecar a request to run.

    Attributes:
        request_id: Identifier of the run.
        path: Path at the upstream.
        body: Body for the upstream.
        online: Whether it is online work, which goes before batch.
        idempotent: Whether it may run again.
        deadline: Deadline of the request.
        stream: Whether the caller reads parts as they come.
        rank: Rank of the workload; a lower one goes first.
        resume_text: Text that an earlier run already gave.
        resume_tokens: How many tokens that text has.
        claimed_at: When the request was claimed.
    """

    request_id: str
    path: str
    body: bytes
    online: bool
    idempotent: bool
    deadline: float
    stream: bool = False
    rank: int = 0
    resume_text: str = ""
    resume_tokens: int = 0
    claimed_at: float = 0.0


class CancelRun(Message, frozen=True, tag="cancelrun"):
    """Asks a sidecar to cancel a run."""

    request_id: str


class Attach(Message, frozen=True, tag="attach"):
    """Asks for the parts of a run again; never starts one."""

    request_id: str
    from_sequence: int


class TextPart(Message, frozen=True, tag="text"):
    """A piece of a run's answer.

    Attributes:
        request_id: Identifier of the run.
        sequence: Number of the part in the run, from 0.
        text: The text.
        tokens: How many tokens it holds.
        offset: Characters of the answer before it.
        token_offset: Tokens of the answer before it.
    """

    request_id: str
    sequence: int
    text: str
    tokens: int
    offset: int = 0
    token_offset: int = 0


class Acknowledge(Message, frozen=True, tag="ack"):
    """Lets a sidecar forget the answers of runs."""

    request_ids: tuple[str, ...]


class Settle(Message, frozen=True, tag="settle"):
    """Asks what became of a run, and forbids it if it is unseen.

    Attributes:
        request_id: Identifier of the run.
        deadline: Deadline of the request.
        claimed_at: When the request was claimed.
    """

    request_id: str
    deadline: float
    claimed_at: float = 0.0


class Settled(Message, frozen=True, tag="settled"):
    """What became of a run.

    Attributes:
        state: `forbidden`, `running`, `done`, or `unknown` if the sidecar
            cannot tell whether it ran.
        outcome: The answer, if it is done.
    """

    state: str
    outcome: Outcome | None = None

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
    """Dispatches a request to a sidecar.

    Attributes:
        request_id: Identifier of the run.
        path: Path of the request to the upstream.
        body: Body of the request to the upstream.
        online: Whether the request is online, so that it takes precedence over
            batch items.
        idempotent: Whether the request may run more than once.
        deadline: Deadline of the request.
        stream: Whether the caller reads the parts as they arrive.
        rank: Rank of the workload; lower ranks are scheduled first.
        resume_text: Text that an earlier run already produced.
        resume_tokens: Number of tokens of that text.
        claimed_at: Time at which the request was claimed.
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
    """Reattaches to the parts of a run; never starts a run."""

    request_id: str
    from_sequence: int


class TextPart(Message, frozen=True, tag="text"):
    """Part of the response of a run.

    Attributes:
        request_id: Identifier of the run.
        sequence: Number of the part within the run, from 0.
        text: Text of the part.
        tokens: Number of tokens of the part.
        offset: Number of characters of the response before the part.
        token_offset: Number of tokens of the response before the part.
    """

    request_id: str
    sequence: int
    text: str
    tokens: int
    offset: int = 0
    token_offset: int = 0


class Acknowledge(Message, frozen=True, tag="ack"):
    """Allows a sidecar to discard the responses of runs."""

    request_ids: tuple[str, ...]


class Settle(Message, frozen=True, tag="settle"):
    """Asks for the state of a run; forbids the run if it is unknown.

    Attributes:
        request_id: Identifier of the run.
        deadline: Deadline of the request.
        claimed_at: Time at which the request was claimed.
    """

    request_id: str
    deadline: float
    claimed_at: float = 0.0


class Settled(Message, frozen=True, tag="settled"):
    """State of a run.

    Attributes:
        state: `forbidden`, `running`, `done`, or `unknown` if the sidecar
            cannot determine whether it ran.
        outcome: The response, if the state is `done`.
    """

    state: str
    outcome: Outcome | None = None

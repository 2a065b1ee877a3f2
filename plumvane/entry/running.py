"""A request that is being run by this entry."""

from __future__ import annotations

import dataclasses
import json
from collections import deque

import anyio

from plumvane import hashing
from plumvane.errors import LinkLostError, PlumvaneError, ProtocolError
from plumvane.instances.directory import Instance
from plumvane.peers.messages import Message, Outcome, TextPart

__all__ = ["Answer", "Request", "RunningRequest"]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    Attributes:
        team: Team of the caller.
        key: Idempotency key.
        path: Path at the upstream.
        body: Body for the upstream.
        digest: Digest of path and body.
        serves: Model or service that the request is for.
        online: Whether the request is online work.
        idempotent: Whether the request may be executed more than once.
        deadline: Deadline, seconds since the Unix epoch.
        stream: Whether the response is streamed to the caller.
        rank: Rank of the request's workload.
        prefix: Start of the prompt, used for routing.
        new_key: Whether the entry generated the key, so that no other
            request can have it.
    """

    team: str
    key: str
    path: str
    body: bytes
    digest: bytes
    serves: str
    online: bool
    idempotent: bool
    deadline: float
    stream: bool = False
    rank: int = 0
    prefix: str = ""
    new_key: bool = False

    @property
    def partition(self) -> int:
        """Partition of the request."""
        return hashing.partition_of(self.team, self.key)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The committed result of a request.

    Attributes:
        request_id: Identifier of the run that produced the result.
        outcome: The result.
        durable: Whether the result is in the store.
    """

    request_id: str
    outcome: Outcome
    durable: bool


class RunningRequest:
    """State of a request that is being run by this entry.

    Attributes:
        request: The request.
        request_id: Identifier of the run.
        claimed: Whether the claim was granted.
        claimed_at: Time of the claim, seconds since the Unix epoch.
        cancelled: Whether the request was cancelled.
        sidecar: Sidecar of the latest dispatch, if any. A non-idempotent
            request has it before its dispatch.
        tried_sidecars: Sidecars that the request was dispatched to.
        tokens: Number of tokens received so far.
        next_sequence: Sequence number of the next part of the sidecar's run.
    """

    def __init__(self, request: Request, request_id: str) -> None:
        self.request = request
        self.request_id = request_id
        self.claimed = False
        self.claimed_at = 0.0
        self.cancelled = False
        self.sidecar: Instance | None = None
        self.tried_sidecars: list[Instance] = []
        self.tokens = 0
        self.next_sequence = 0
        self._received: list[str] = []
        self._received_length = 0
        self._unread: deque[str] = deque()
        self._answer: Answer | None = None
        self._error: PlumvaneError | None = None
        self._changed = anyio.Event()

    @property
    def text(self) -> str:
        """Text received so far."""
        return "".join(self._received)

    def add_part(self, part: Message) -> None:
        """Appends a part of the text; drops what was received before.

        Raises:
            LinkLostError: An earlier part is missing, or the part belongs to
                another request.
            ProtocolError: The message is not a text part.
        """
        if not isinstance(part, TextPart):
            raise ProtocolError("A streamed part of a response is not text.")
        if part.request_id != self.request_id:
            raise LinkLostError("Received a text part of another request.")
        if part.offset > self._received_length:
            raise LinkLostError("A text part of the response is missing.")
        self.next_sequence = part.sequence + 1
        text = part.text[self._received_length - part.offset :]
        self.tokens = max(self.tokens, part.token_offset + part.tokens)
        if not text:
            return
        self._received_length += len(text)
        self._received.append(text)
        self._unread.append(text)
        self._changed.set()

    def is_consistent_with(self, outcome: Outcome) -> bool:
        """Returns whether an outcome may follow the text received so far.

        An error may; a complete response must start with that text.
        """
        if not self._received or outcome.error is not None:
            return True
        choice = json.loads(outcome.body)["choices"][0]
        return bool(choice["text"].startswith(self.text))

    def complete(self, answer: Answer) -> None:
        """Ends the request with its committed result."""
        self._answer = answer
        self._changed.set()

    def fail(self, error: PlumvaneError) -> None:
        """Ends the request with an error."""
        self._error = error
        self._changed.set()

    async def next_text(self) -> str | None:
        """Waits for unread text; returns None once the request has ended."""
        while True:
            if self._unread:
                text = "".join(self._unread)
                self._unread.clear()
                return text
            if self._answer is not None or self._error is not None:
                return None
            self._changed = anyio.Event()
            await self._changed.wait()

    async def wait_started(self) -> None:
        """Waits until there is text or a result.

        Raises:
            PlumvaneError: The request ended with an error before any text.
        """
        while not self._unread and self._answer is None:
            if self._error is not None:
                raise self._error
            self._changed = anyio.Event()
            await self._changed.wait()

    async def answer(self) -> Answer:
        """Waits for the committed result.

        Raises:
            PlumvaneError: The request ended with an error.
        """
        while await self.next_text() is not None:
            pass
        if self._error is not None:
            raise self._error
        if self._answer is None:
            raise PlumvaneError("The request ended without a result.")
        return self._answer

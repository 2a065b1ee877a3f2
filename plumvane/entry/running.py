"""A caller's request while it runs at this entry."""

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
        serves: Model or service that it is for.
        online: Whether it is online work.
        idempotent: Whether it may run again.
        deadline: Deadline, seconds since the Unix epoch.
        stream: Whether the caller reads parts.
        rank: Rank of its workload.
        prefix: Start of the prompt, for routing.
        new_key: Whether the entry made the key, so nobody else has it.
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
    """The committed answer to a request.

    Attributes:
        request_id: Run that produced it.
        outcome: The result.
        durable: Whether the store holds it.
    """

    request_id: str
    outcome: Outcome
    durable: bool


class RunningRequest:
    """A request that runs here.

    Attributes:
        request: The request.
        request_id: Identifier of the run.
        claimed: Whether its claim was granted.
        claimed_at: When it was claimed, seconds since the Unix epoch.
        cancelled: Whether the request was cancelled.
        sidecar: Where it runs, if it was dispatched.
        tried_sidecars: Sidecars that it was dispatched to.
        tokens: How many tokens the text given so far has.
        next_sequence: Number of the next part of the sidecar's run.
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
        self._given: list[str] = []
        self._characters = 0
        self._parts: deque[str] = deque()
        self._answer: Answer | None = None
        self._error: PlumvaneError | None = None
        self._changed = anyio.Event()

    @property
    def text(self) -> str:
        """Text given so far."""
        return "".join(self._given)

    def add_part(self, part: Message) -> None:
        """Takes the next part in; what was seen before is dropped.

        Raises:
            LinkLostError: A part before this one is missing.
        """
        if not isinstance(part, TextPart):
            raise ProtocolError("A part of an answer is not text.")
        if part.request_id != self.request_id:
            raise LinkLostError("A part of another request came.")
        if part.offset > self._characters:
            raise LinkLostError("A part of the answer is missing.")
        self.next_sequence = part.sequence + 1
        text = part.text[self._characters - part.offset :]
        self.tokens = max(self.tokens, part.token_offset + part.tokens)
        if not text:
            return
        self._characters += len(text)
        self._given.append(text)
        self._parts.append(text)
        self._changed.set()

    def is_consistent_with(self, outcome: Outcome) -> bool:
        """Returns whether an answer may follow the text given so far.

        An error may; a whole answer must start with that text.
        """
        if not self._given or outcome.error is not None:
            return True
        choice = json.loads(outcome.body)["choices"][0]
        return bool(choice["text"].startswith(self.text))

    def complete(self, answer: Answer) -> None:
        """Sets the committed answer."""
        self._answer = answer
        self._changed.set()

    def fail(self, error: PlumvaneError) -> None:
        """Ends the request with an error."""
        self._error = error
        self._changed.set()

    async def next_text(self) -> str | None:
        """Returns the next text, or None once the request has ended."""
        while True:
            if self._parts:
                text = "".join(self._parts)
                self._parts.clear()
                return text
            if self._answer is not None or self._error is not None:
                return None
            self._changed = anyio.Event()
            await self._changed.wait()

    async def wait_started(self) -> None:
        """Waits until there is text or an answer.

        Raises:
            PlumvaneError: The request ended with an error before any text.
        """
        while not self._parts and self._answer is None:
            if self._error is not None:
                raise self._error
            self._changed = anyio.Event()
            await self._changed.wait()

    async def answer(self) -> Answer:
        """Returns the committed answer.

        Raises:
            PlumvaneError: The request ended with an error.
        """
        while await self.next_text() is not None:
            pass
        if self._error is not None:
            raise self._error
        if self._answer is None:
            raise PlumvaneError("The request ended without an answer.")
        return self._answer

"""Messages on claims and results of requests."""

from __future__ import annotations

from plumvane.peers.messages.base import Failure, Load, Message

__all__ = [
    "CancelRequest",
    "Claim",
    "ClaimGranted",
    "ClaimResult",
    "Committed",
    "Complete",
    "EntryClaims",
    "FetchClaims",
    "Lookup",
    "Outcome",
    "Release",
    "RenewClaims",
    "Renewed",
    "StopRun",
]


class Outcome(Message, frozen=True, tag="out"):
    """The whole answer to a request.

    Attributes:
        status: HTTP status.
        body: Body of the answer.
        content_type: Media type of the body.
        error: The error, if the request ended with one.
        load: Load of the upstream, on its way to the entry; never stored.
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    error: Failure | None = None
    load: Load | None = None


class Claim(Message, frozen=True, tag="claim"):
    """Asks a partition's owner for the right to run a request.

    Attributes:
        partition: Number of the partition.
        team: Team of the caller.
        key: Idempotency key.
        request_id: Identifier of this run.
        digest: Digest of the request's path and body.
        idempotent: Whether the request may run again.
        deadline: Deadline of the request.
        entry_address: Peer address of the claiming entry.
        sidecar_address: Sidecar chosen for a non-idempotent request; empty
            if none is live.
        new_key: Whether the entry made the key, so nobody else has it.
    """

    partition: int
    team: str
    key: str
    request_id: str
    digest: bytes
    idempotent: bool
    deadline: float
    entry_address: str
    sidecar_address: str = ""
    new_key: bool = False


class ClaimGranted(Message, frozen=True, tag="granted"):
    """The claimant runs the request.

    Attributes:
        request_id: Identifier of the run.
        claimed_at: When the claim was made.
    """

    request_id: str
    claimed_at: float = 0.0


class ClaimResult(Message, frozen=True, tag="result"):
    """The request has a result already, or got one by another run.

    Attributes:
        request_id: Identifier of the run that produced it.
        outcome: The result.
        durable: Whether the store holds it.
    """

    request_id: str
    outcome: Outcome
    durable: bool = True


class Complete(Message, frozen=True, tag="complete"):
    """Asks the owner to commit a run's result."""

    partition: int
    team: str
    key: str
    request_id: str
    digest: bytes
    outcome: Outcome


class Committed(Message, frozen=True, tag="committed"):
    """The owner's answer to `Complete`.

    Attributes:
        request_id: Run whose result is the committed one.
        outcome: The committed result if it is another run's.
        durable: Whether the store holds it.
    """

    request_id: str
    outcome: Outcome | None = None
    durable: bool = True


class Release(Message, frozen=True, tag="release"):
    """Gives a claim up.

    Of a non-idempotent request only if no upstream was given it.
    """

    partition: int
    team: str
    key: str
    request_id: str


class RenewClaims(Message, frozen=True, tag="renew"):
    """Tells an owner which claims an entry still runs."""

    request_ids: tuple[str, ...]


class Renewed(Message, frozen=True, tag="renewed"):
    """The owner's answer to `RenewClaims`.

    Attributes:
        unknown_ids: Runs that the owner has no claim of.
    """

    unknown_ids: tuple[str, ...]


class FetchClaims(Message, frozen=True, tag="fetchclaims"):
    """A new owner asks an entry for its claims on a partition."""

    partition: int


class EntryClaims(Message, frozen=True, tag="entryclaims"):
    """An entry's claims on a partition.

    Attributes:
        claims: Claims of the runs that go on there.
        results: Results that the entry holds until they are durable.
    """

    claims: tuple[Claim, ...]
    results: tuple[Complete, ...] = ()


class CancelRequest(Message, frozen=True, tag="cancelreq"):
    """Asks a partition's owner to cancel a request."""

    partition: int
    team: str
    key: str


class StopRun(Message, frozen=True, tag="stoprun"):
    """Tells an entry that the request of a run was cancelled."""

    request_id: str


class Lookup(Message, frozen=True, tag="lookup"):
    """Asks for a stored result."""

    partition: int
    team: str
    key: str

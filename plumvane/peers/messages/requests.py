"""Messages for claims and results of requests."""

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
    """The complete response to a request.

    Attributes:
        status: HTTP status.
        body: Body of the response.
        content_type: Media type of the body.
        error: Error with which the request ended, if any.
        load: Load of the upstream, for the entry; never stored.
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    error: Failure | None = None
    load: Load | None = None


class Claim(Message, frozen=True, tag="claim"):
    """Asks the owner of a partition for the claim to run a request.

    Attributes:
        partition: Number of the partition.
        team: Team of the caller.
        key: Idempotency key.
        request_id: Identifier of this run.
        digest: Digest of the path and body of the request.
        idempotent: Whether the request may run more than once.
        deadline: Deadline of the request.
        entry_address: Peer address of the claiming entry.
        sidecar_address: Peer address of the sidecar selected for a
            non-idempotent request; empty if none is live.
        new_key: Whether the entry generated the key, so that no other request
            can have it.
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
    """Grants the claim; the claiming entry runs the request.

    Attributes:
        request_id: Identifier of the run.
        claimed_at: Time at which the claim was made.
    """

    request_id: str
    claimed_at: float = 0.0


class ClaimResult(Message, frozen=True, tag="result"):
    """The request already has a result, possibly of another run.

    Attributes:
        request_id: Identifier of the run that produced the result.
        outcome: The result.
        durable: Whether the result is in the store.
    """

    request_id: str
    outcome: Outcome
    durable: bool = True


class Complete(Message, frozen=True, tag="complete"):
    """Asks the owner to commit the result of a run."""

    partition: int
    team: str
    key: str
    request_id: str
    digest: bytes
    outcome: Outcome


class Committed(Message, frozen=True, tag="committed"):
    """Reply of the owner to `Complete`.

    Attributes:
        request_id: Identifier of the run whose result is committed.
        outcome: The committed result, if it is that of another run.
        durable: Whether the result is in the store.
    """

    request_id: str
    outcome: Outcome | None = None
    durable: bool = True


class Release(Message, frozen=True, tag="release"):
    """Releases a claim.

    The claim of a non-idempotent request may be released only if the request
    was not sent to any upstream.
    """

    partition: int
    team: str
    key: str
    request_id: str


class RenewClaims(Message, frozen=True, tag="renew"):
    """Renews the claims of the runs that are still active at an entry."""

    request_ids: tuple[str, ...]


class Renewed(Message, frozen=True, tag="renewed"):
    """Reply of the owner to `RenewClaims`.

    Attributes:
        unknown_ids: Identifiers of the runs without a claim at the owner.
    """

    unknown_ids: tuple[str, ...]


class FetchClaims(Message, frozen=True, tag="fetchclaims"):
    """A new owner asks an entry for its claims for a partition."""

    partition: int


class EntryClaims(Message, frozen=True, tag="entryclaims"):
    """Claims and results that an entry has for a partition.

    Attributes:
        claims: Claims of the runs that are active at the entry.
        results: Results that the entry keeps until they are durable.
    """

    claims: tuple[Claim, ...]
    results: tuple[Complete, ...] = ()


class CancelRequest(Message, frozen=True, tag="cancelreq"):
    """Asks the owner of a partition to cancel a request."""

    partition: int
    team: str
    key: str


class StopRun(Message, frozen=True, tag="stoprun"):
    """Notifies an entry that the request of a run was cancelled."""

    request_id: str


class Lookup(Message, frozen=True, tag="lookup"):
    """Asks the owner of a partition for a stored result."""

    partition: int
    team: str
    key: str

"""Records and segments of a partition's log."""

from __future__ import annotations

import msgspec

from plumvane.peers.messages import ChunkRef, FailedItem, Outcome

__all__ = [
    "ClosedSegment",
    "ItemsDone",
    "ItemsFailed",
    "JobAccepted",
    "JobCancelled",
    "JobEnded",
    "LogRecord",
    "RequestCompleted",
    "RequestReleased",
    "RequestStarted",
    "ResultsMoved",
    "Segment",
]


class _Record(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base class of all records."""


class RequestStarted(_Record, frozen=True, tag="rs"):
    """A non-idempotent request is about to be dispatched.

    Attributes:
        team: Team of the caller.
        key: Idempotency key.
        request_id: Identifier of this execution.
        digest: Digest of the request.
        deadline: Deadline of the request, seconds since the Unix epoch.
        sidecar_address: Sidecar that the request is dispatched to.
        time: Time of the claim, seconds since the Unix epoch.
    """

    team: str
    key: str
    request_id: str
    digest: bytes
    deadline: float
    sidecar_address: str
    time: float = 0.0


class RequestReleased(_Record, frozen=True, tag="rr"):
    """A started request was not executed and may be started again."""

    team: str
    key: str
    request_id: str


class RequestCompleted(_Record, frozen=True, tag="rc"):
    """A request has completed.

    Attributes:
        team: Team of the caller.
        key: Idempotency key.
        request_id: Execution that produced the result.
        digest: Digest of the request.
        outcome: Result of the request.
        time: Time of the commit, seconds since the Unix epoch.
    """

    team: str
    key: str
    request_id: str
    digest: bytes
    outcome: Outcome
    time: float


class ResultsMoved(_Record, frozen=True, tag="rm"):
    """Reference to results that were moved from the log to bulk instances.

    Attributes:
        chunk: Chunk whose items are `RequestCompleted` records.
        key_hashes: Concatenated hashes of the records' keys, in chunk order.
        time: Commit time of the newest record, seconds since the Unix epoch.
    """

    chunk: ChunkRef
    key_hashes: bytes
    time: float


class JobAccepted(_Record, frozen=True, tag="ja"):
    """A batch job was accepted."""

    job_id: str
    team: str
    digest: bytes
    model: str
    chunks: tuple[ChunkRef, ...]
    deadline: float
    time: float


class ItemsDone(_Record, frozen=True, tag="id"):
    """Items of a job have results."""

    job_id: str
    results: ChunkRef


class ItemsFailed(_Record, frozen=True, tag="if"):
    """Items of a job have failed and are not retried."""

    job_id: str
    items: tuple[FailedItem, ...]


class JobCancelled(_Record, frozen=True, tag="jc"):
    """A job was cancelled."""

    job_id: str


class JobEnded(_Record, frozen=True, tag="je"):
    """A job has ended; its retention period starts here.

    Attributes:
        job_id: Identifier of the job.
        time: When the end was detected, seconds since the Unix epoch.
    """

    job_id: str
    time: float


LogRecord = (
    RequestStarted
    | RequestReleased
    | RequestCompleted
    | ResultsMoved
    | JobAccepted
    | ItemsDone
    | ItemsFailed
    | JobCancelled
    | JobEnded
)


class ClosedSegment(msgspec.Struct, frozen=True, array_like=True):
    """Reference to a closed segment that is part of the log.

    Attributes:
        number: Number of the segment.
        revision: Revision of its key when the reference was written.
    """

    number: int
    revision: int


class Segment(msgspec.Struct, frozen=True):
    """Stored value of one segment.

    Attributes:
        epoch: Epoch of the owner that last wrote the segment while it was open.
        write_id: Identifier of the last write.
        closed: Whether the log continues in the next segment.
        records: Encoded records, oldest first.
        chain: Closed segments of the log, oldest first. The chain of the
            newest segment is authoritative: a closed segment that is missing
            from it is not part of the log.
    """

    epoch: int
    write_id: str
    closed: bool
    records: tuple[msgspec.Raw, ...]
    chain: tuple[ClosedSegment, ...] = ()

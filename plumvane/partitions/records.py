"""Records in a partition's log."""

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
    """Base of all records."""


class RequestStarted(_Record, frozen=True, tag="rs"):
    """A non-idempotent request is about to be dispatched.

    Attributes:
        team: Team of the caller.
        key: Idempotency key.
        request_id: Identifier of the run.
        digest: Digest of the request.
        deadline: Deadline of the request, seconds since the Unix epoch.
        sidecar_address: Sidecar that it is dispatched to.
        time: When it was claimed, seconds since the Unix epoch.
    """

    team: str
    key: str
    request_id: str
    digest: bytes
    deadline: float
    sidecar_address: str
    time: float = 0.0


class RequestReleased(_Record, frozen=True, tag="rr"):
    """A started request was not run and may be started again."""

    team: str
    key: str
    request_id: str


class RequestCompleted(_Record, frozen=True, tag="rc"):
    """A request has its result.

    Attributes:
        team: Team of the caller.
        key: Idempotency key.
        request_id: Run that produced it.
        digest: Digest of the request.
        outcome: The result.
        time: When it was committed, seconds since the Unix epoch.
    """

    team: str
    key: str
    request_id: str
    digest: bytes
    outcome: Outcome
    time: float


class ResultsMoved(_Record, frozen=True, tag="rm"):
    """Results of requests that bulk instances hold in the log's place.

    Attributes:
        chunk: The chunk; its items are records of completed requests.
        key_hashes: Hashes of their keys, in the chunk's order, joined.
        time: When the newest of them was committed, seconds since the Unix
            epoch.
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
    """Items of a job are given up."""

    job_id: str
    items: tuple[FailedItem, ...]


class JobCancelled(_Record, frozen=True, tag="jc"):
    """A job was cancelled."""

    job_id: str


class JobEnded(_Record, frozen=True, tag="je"):
    """A job has ended; its retention runs from here.

    Attributes:
        job_id: The job.
        time: When its end was seen, seconds since the Unix epoch.
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
    """A closed segment that belongs to the log.

    Attributes:
        number: Its number.
        revision: Revision of its key when this was written.
    """

    number: int
    revision: int


class Segment(msgspec.Struct, frozen=True):
    """One value of a partition's log.

    Attributes:
        epoch: Epoch of the owner that wrote it last.
        write_id: Identifier of the last write.
        closed: Whether the log goes on in the next segment.
        records: Encoded records, oldest first.
        chain: Closed segments of the log, oldest first; that of the newest
            segment counts, and what is not in it is no part of the log.
    """

    epoch: int
    write_id: str
    closed: bool
    records: tuple[msgspec.Raw, ...]
    chain: tuple[ClosedSegment, ...] = ()

"""Typed messages between plumvane's own processes.

Deadlines are in seconds since the Unix epoch; instances keep their clocks
within a fraction of a second of each other.
"""

from __future__ import annotations

import functools
import operator
from collections.abc import Iterable
from typing import Any

import msgspec

__all__ = [
    "Acknowledge",
    "Attach",
    "CancelRun",
    "ChunkData",
    "ChunkStored",
    "Claim",
    "ClaimGranted",
    "ClaimResult",
    "Committed",
    "Complete",
    "DispatchRequest",
    "DocumentData",
    "Done",
    "Failure",
    "FetchChunk",
    "FetchDocument",
    "FetchViews",
    "InstanceView",
    "JobCall",
    "JobList",
    "JobState",
    "JobStates",
    "Lookup",
    "Message",
    "Outcome",
    "PullWork",
    "RangeDone",
    "RangeGrant",
    "Release",
    "RenewClaims",
    "Report",
    "ReportReply",
    "Settle",
    "Settled",
    "StoreChunk",
    "SubmitJob",
    "TakePartition",
    "TextPart",
    "Views",
    "decode",
    "encode",
]


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all messages."""


class Done(Message, frozen=True, tag="ok"):
    """The call succeeded and has nothing to say."""


class Failure(Message, frozen=True, tag="fail"):
    """An error, as `errors.error_from_code` takes it."""

    code: str
    detail: str
    remedy: str | None = None
    not_run: bool = False
    retry_after_s: float | None = None


class Outcome(Message, frozen=True, tag="out"):
    """The whole answer to a request.

    Attributes:
        status: HTTP status.
        body: Body of the answer.
        content_type: Media type of the body.
        error: The error, if the request ended with one.
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    error: Failure | None = None


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
        sidecar_address: Sidecar chosen for a non-idempotent request.
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


class ClaimGranted(Message, frozen=True, tag="granted"):
    """The claimant runs the request."""

    request_id: str


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
    """Gives a claim up; no upstream was given the request."""

    partition: int
    team: str
    key: str
    request_id: str


class RenewClaims(Message, frozen=True, tag="renew"):
    """Tells an owner which claims an entry still runs."""

    request_ids: tuple[str, ...]


class Lookup(Message, frozen=True, tag="lookup"):
    """Asks for a stored result."""

    partition: int
    team: str
    key: str


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
    """

    request_id: str
    sequence: int
    text: str
    tokens: int


class Acknowledge(Message, frozen=True, tag="ack"):
    """Lets a sidecar forget the answers of runs."""

    request_ids: tuple[str, ...]


class Settle(Message, frozen=True, tag="settle"):
    """Asks what became of a run, and forbids it if it is unseen."""

    request_id: str
    deadline: float


class Settled(Message, frozen=True, tag="settled"):
    """What became of a run: `forbidden`, `running` or `done`."""

    state: str
    outcome: Outcome | None = None


class Load(msgspec.Struct, frozen=True):
    """Load of an upstream as its sidecar sees it.

    Attributes:
        online: Online requests queued and running.
        batch: Batch items queued and running.
        limit: Requests that may run at once.
        time: When it was taken.
    """

    online: int
    batch: int
    limit: int
    time: float


class Report(Message, frozen=True, tag="report"):
    """Heartbeat of a sidecar or bulk instance to an entry.

    Attributes:
        name: Name of the instance.
        role: `sidecar` or `bulk`.
        address: Its peer address.
        data_centre: Its data centre.
        serves: Model or service behind it.
        revision: Revision of the fleet document in force there.
        leaving: Whether it takes no new work.
        load: Its load, if it has an upstream.
    """

    name: str
    role: str
    address: str
    data_centre: str
    serves: str
    revision: int
    leaving: bool
    load: Load | None = None


class ReportReply(Message, frozen=True, tag="reportok"):
    """What the entry tells back.

    Attributes:
        revision: Revision of the fleet document at the entry.
        owners: Peer addresses of the owners that may have batch work.
    """

    revision: int
    owners: tuple[str, ...]


class InstanceView(msgspec.Struct, frozen=True):
    """What an entry knows of an instance by its own word.

    Attributes:
        name: Name of the instance.
        revision: Revision of the fleet document in force there.
        leaving: Whether it takes no new work.
        age_s: Seconds since its last report.
        load: Its load, if it has an upstream.
    """

    name: str
    revision: int
    leaving: bool
    age_s: float
    load: Load | None = None


class FetchViews(Message, frozen=True, tag="fetchviews"):
    """Asks an entry what it knows of the instances that report to it."""


class Views(Message, frozen=True, tag="views"):
    """What an entry knows of itself and of its reporters."""

    views: tuple[InstanceView, ...]


class FetchDocument(Message, frozen=True, tag="fetchdoc"):
    """Asks a peer for its fleet document."""


class DocumentData(Message, frozen=True, tag="doc"):
    """A fleet document.

    Attributes:
        revision: Its revision.
        document: Its JSON.
    """

    revision: int
    document: bytes


class StoreChunk(Message, frozen=True, tag="putchunk"):
    """Asks a bulk instance to keep a chunk."""

    digest: str
    data: bytes


class ChunkStored(Message, frozen=True, tag="chunkok"):
    """The chunk is on the disk."""

    digest: str


class FetchChunk(Message, frozen=True, tag="getchunk"):
    """Asks a bulk instance for a chunk."""

    digest: str


class ChunkData(Message, frozen=True, tag="chunk"):
    """A chunk's bytes."""

    data: bytes


class ChunkRef(msgspec.Struct, frozen=True):
    """Where a run of items is kept.

    Attributes:
        digest: SHA-256 of the chunk, in hex.
        first_item: Index of its first item in the job.
        items: How many items it holds.
        bulk_addresses: Bulk instances that hold a copy.
        indexes: Items that it holds, if not all from `first_item` on.
    """

    digest: str
    first_item: int
    items: int
    bulk_addresses: tuple[str, ...]
    indexes: tuple[int, ...] = ()

    def covered(self) -> Iterable[int]:
        """Returns the indexes of the items that it holds."""
        return self.indexes or range(
            self.first_item, self.first_item + self.items
        )


class TakePartition(Message, frozen=True, tag="takepart"):
    """Asks an entry to take a partition over from its owner.

    Attributes:
        partition: Number of the partition.
        epoch: Epoch of the owner that asks.
    """

    partition: int
    epoch: int


class SubmitJob(Message, frozen=True, tag="submit"):
    """Asks a partition's owner to accept a batch job.

    Attributes:
        partition: Number of the partition.
        job_id: Identifier of the job.
        team: Team of the caller.
        digest: Digest of the input.
        model: Model that all items use.
        chunks: Where the input is.
        deadline: When the job must have ended.
    """

    partition: int
    job_id: str
    team: str
    digest: bytes
    model: str
    chunks: tuple[ChunkRef, ...]
    deadline: float


class JobCall(Message, frozen=True, tag="job"):
    """Asks for a job's state, or cancels it.

    Attributes:
        partition: Number of the partition.
        job_id: Identifier of the job.
        team: Team of the caller.
        cancel: Whether to cancel it.
    """

    partition: int
    job_id: str
    team: str
    cancel: bool = False


class FailedItem(msgspec.Struct, frozen=True):
    """An item that is given up.

    Attributes:
        index: Index of the item in the job.
        cause: Error of its last attempt.
    """

    index: int
    cause: str


class JobState(Message, frozen=True, tag="jobstate"):
    """Progress of a job.

    Attributes:
        job_id: Identifier of the job.
        state: `running`, `completed` or `cancelled`.
        items: How many items it has.
        done: Items with a result.
        failed: Items that are given up.
        deadline: When it must have ended.
        expected_finish: When it is expected to end, if known.
        chunks: Where the input is.
        results: Where the results are, in the order of the items.
        created: When it was accepted.
    """

    job_id: str
    state: str
    items: int
    done: int
    failed: tuple[FailedItem, ...]
    deadline: float
    results: tuple[ChunkRef, ...]
    created: float = 0.0
    expected_finish: float | None = None
    chunks: tuple[ChunkRef, ...] = ()


class JobList(Message, frozen=True, tag="joblist"):
    """Asks an owner for a team's jobs on its partitions."""

    team: str


class JobStates(Message, frozen=True, tag="jobstates"):
    """A team's jobs on one owner's partitions."""

    jobs: tuple[JobState, ...]


class PullWork(Message, frozen=True, tag="pull"):
    """A sidecar asks an owner for batch items.

    Attributes:
        model: Model behind the sidecar.
        sidecar_address: Peer address of the sidecar.
        items: How many items it can take.
    """

    model: str
    sidecar_address: str
    items: int


class RangeGrant(Message, frozen=True, tag="range"):
    """A range of items for a sidecar.

    Attributes:
        partition: Number of the partition.
        job_id: Identifier of the job.
        first_item: Index of the first item.
        items: How many items; 0 if there is no work.
        claim_id: Identifier of the claim.
        deadline: When the claim lapses unless it is renewed.
        job_deadline: When the job must have ended.
        chunks: Input chunks that hold the items.
        skip: Indexes of items that already have a result or are given up.
    """

    partition: int
    job_id: str
    first_item: int
    items: int
    claim_id: str
    deadline: float
    job_deadline: float
    chunks: tuple[ChunkRef, ...]
    skip: tuple[int, ...] = ()


class RangeDone(Message, frozen=True, tag="rangedone"):
    """A sidecar reports a range, whole or in progress.

    Attributes:
        partition: Number of the partition.
        job_id: Identifier of the job.
        claim_id: Identifier of the claim.
        results: Chunk with the results of the items, or None if no item has
            a result.
        failed: Items that failed in this attempt.
        finished: Whether the claim ends; otherwise it is renewed.
    """

    partition: int
    job_id: str
    claim_id: str
    results: ChunkRef | None
    failed: tuple[FailedItem, ...]
    finished: bool


def _leaves(base: type[Message]) -> list[type[Message]]:
    return base.__subclasses__()


_Union: Any = functools.reduce(operator.or_, _leaves(Message))
_decoder = msgspec.msgpack.Decoder(_Union)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Returns a message's bytes."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Reads a message.

    Raises:
        msgspec.DecodeError: The bytes are not a known message.
    """
    return _decoder.decode(data)  # type: ignore[no-any-return]

"""Typed messages between plumvane's own processes.

Deadlines are in seconds since the Unix epoch; instances keep their clocks
within a fraction of a second of each other.
"""

from __future__ import annotations

import enum
import functools
import operator
from collections.abc import Iterable
from typing import Any

import msgspec

__all__ = [
    "Acknowledge",
    "Attach",
    "CancelRequest",
    "CancelRun",
    "ChunkData",
    "ChunkRef",
    "ChunkStored",
    "ChunksFound",
    "Claim",
    "ClaimGranted",
    "ClaimResult",
    "Committed",
    "CopyChunk",
    "Complete",
    "DispatchRequest",
    "DocumentData",
    "Done",
    "EntryClaims",
    "FailedItem",
    "Failure",
    "FailureKind",
    "FetchChunk",
    "FetchClaims",
    "FetchDocument",
    "FetchResults",
    "FindChunks",
    "FetchViews",
    "InstanceView",
    "JobCall",
    "JobDemand",
    "JobList",
    "JobState",
    "JobStates",
    "Lookup",
    "Message",
    "OfferWork",
    "OrderLease",
    "OrderLeaseGranted",
    "Outcome",
    "OwnerView",
    "PlanLoad",
    "PullWork",
    "RangeDone",
    "RangeGrant",
    "Release",
    "RenewClaims",
    "Renewed",
    "Report",
    "ReportReply",
    "ResultPage",
    "Settle",
    "Settled",
    "StopRun",
    "StoreChunk",
    "SubmitJob",
    "TakePartition",
    "TextPart",
    "Views",
    "WorkOffer",
    "WorkWaiting",
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


class Load(msgspec.Struct, frozen=True):
    """Load of an upstream as its sidecar sees it.

    Attributes:
        online: Online requests queued and running.
        batch: Batch items queued and running.
        limit: Requests that may run at once.
        time: When it was taken.
        step_s: Time between two tokens of a lone request, 0 if unknown.
    """

    online: int
    batch: int
    limit: int
    time: float
    step_s: float = 0.0


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
    """Asks a peer for its fleet document.

    Attributes:
        newer_than: Revision at the asker; the document is sent only if the
            peer's is newer.
    """

    newer_than: int = -1


class DocumentData(Message, frozen=True, tag="doc"):
    """A fleet document.

    Attributes:
        revision: Its revision.
        document: Its JSON; empty if it is not newer than asked for.
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


class FindChunks(Message, frozen=True, tag="findchunks"):
    """Asks a bulk instance which chunks it has."""

    digests: tuple[str, ...]


class ChunksFound(Message, frozen=True, tag="chunksfound"):
    """The chunks asked for that are on the disk."""

    digests: tuple[str, ...]


class CopyChunk(Message, frozen=True, tag="copychunk"):
    """Asks a bulk instance to fetch a chunk from another and keep it.

    Attributes:
        digest: SHA-256 of the chunk, in hex.
        from_addresses: Bulk instances that hold it.
    """

    digest: str
    from_addresses: tuple[str, ...]


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


class OrderLease(Message, frozen=True, tag="orderlease"):
    """A sidecar asks an entry for the lease for orders to its engine.

    Attributes:
        upstream: Address of the engine.
        holder: Incarnation of the sidecar.
        fence: Fencing number of the lease to renew; 0 for a new one.
        loaded: Version that the engine has been ordered to load.
    """

    upstream: str
    holder: str
    fence: int
    loaded: str


class OrderLeaseGranted(Message, frozen=True, tag="orderleaseok"):
    """The lease is granted or renewed.

    Attributes:
        fence: Its fencing number.
        ttl_s: Seconds to live, from before the call.
        send_after: No order of an earlier holder is under way after this,
            seconds since the Unix epoch.
        loaded: Version that the engine was last ordered to load.
    """

    fence: int
    ttl_s: float
    send_after: float
    loaded: str


class PlanLoad(Message, frozen=True, tag="planload"):
    """A sidecar asks whether its engine may load weights now.

    Attributes:
        upstream: Address of the engine.
        model: Its model.
        fence: Fencing number of the lease.
        in_use: Whether the engine serves a version now.
    """

    upstream: str
    model: str
    fence: int
    in_use: bool


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


class FailureKind(enum.Enum):
    """Why an attempt at an item failed.

    Attributes:
        ERROR: The engine answered with an error.
        LOST: The engine or the worker was lost while the item ran.
        REFUSED: The engine refused the item as invalid.
    """

    ERROR = "error"
    LOST = "lost"
    REFUSED = "refused"


class FailedItem(msgspec.Struct, frozen=True, omit_defaults=True):
    """An item that failed.

    Attributes:
        index: Index of the item in the job.
        cause: Error of its last attempt.
        kind: Kind of the failure.
    """

    index: int
    cause: str
    kind: FailureKind = FailureKind.ERROR


class JobState(Message, frozen=True, tag="jobstate"):
    """Progress of a job.

    Attributes:
        job_id: Identifier of the job.
        state: `running`, `completed` or `cancelled`.
        items: How many items it has.
        done: Items with a result.
        failed: The first items that are given up.
        deadline: When it must have ended.
        created: When it was accepted.
        expected_finish: When it is expected to end, if known.
        failed_count: How many items are given up.
        late: Whether it runs on after its deadline.
    """

    job_id: str
    state: str
    items: int
    done: int
    failed: tuple[FailedItem, ...]
    deadline: float
    created: float = 0.0
    expected_finish: float | None = None
    failed_count: int = 0
    late: bool = False


class FetchResults(Message, frozen=True, tag="fetchresults"):
    """Asks for a page of a job's results.

    Attributes:
        partition: Number of the partition.
        job_id: Identifier of the job.
        team: Team of the caller.
        from_item: Index of the page's first item.
    """

    partition: int
    job_id: str
    team: str
    from_item: int = 0


class ResultPage(Message, frozen=True, tag="resultpage"):
    """Where the results of some neighbouring items of a job are.

    Attributes:
        results: Chunks that hold them; they may hold others too.
        failed: Items of the page that are given up.
        chunks: Input of the failed items.
        next_item: Index of the first item after the page.
        last: Whether the job has no items after the page.
    """

    results: tuple[ChunkRef, ...]
    failed: tuple[FailedItem, ...]
    chunks: tuple[ChunkRef, ...]
    next_item: int
    last: bool


class JobList(Message, frozen=True, tag="joblist"):
    """Asks an owner for a team's jobs on its partitions."""

    team: str


class JobStates(Message, frozen=True, tag="jobstates"):
    """A team's jobs on one owner's partitions."""

    jobs: tuple[JobState, ...]


class JobDemand(msgspec.Struct, frozen=True, array_like=True):
    """What is left of a job, without its name.

    Attributes:
        deadline: When the job must have ended.
        items: Items that are not done.
    """

    deadline: float
    items: int


class OwnerView(msgspec.Struct, frozen=True):
    """What one owner tells the others of its jobs of a model.

    Attributes:
        address: Peer address of the owner.
        demands: Its running jobs, the earliest deadlines first.
        service_by_team: Items that it handed out for each team with a
            running job, over the team's share.
    """

    address: str
    demands: tuple[JobDemand, ...] = ()
    service_by_team: dict[str, float] = {}


class OfferWork(Message, frozen=True, tag="offerwork"):
    """A sidecar asks an owner what it would hand out.

    Attributes:
        model: Model behind the sidecar.
        sidecar_address: Peer address of the sidecar.
        incarnation: The sidecar's process.
        item_rate: Batch items a second that it does, or 0 if not known.
    """

    model: str
    sidecar_address: str
    incarnation: str = ""
    item_rate: float = 0.0


class WorkOffer(Message, frozen=True, tag="workoffer"):
    """What an owner would hand out next.

    Attributes:
        view: The owner's jobs.
        waiting: Whether items wait there.
        urgency: Class of its first job; a lower one goes first.
        key: Place of its first job in the class; a lower one goes first.
    """

    view: OwnerView
    waiting: bool = False
    urgency: int = 0
    key: float = 0.0


class WorkWaiting(Message, frozen=True, tag="workwaiting"):
    """Tells an idle sidecar that items wait at an owner."""


class PullWork(Message, frozen=True, tag="pull"):
    """A sidecar asks an owner for batch items.

    Attributes:
        model: Model behind the sidecar.
        sidecar_address: Peer address of the sidecar.
        items: How many items it can take.
        incarnation: The sidecar's process.
        item_rate: Batch items a second that it does, or 0 if not known.
        others: What the other owners told the sidecar.
    """

    model: str
    sidecar_address: str
    items: int
    incarnation: str = ""
    item_rate: float = 0.0
    others: tuple[OwnerView, ...] = ()


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
        first_item: Index of the range's first item.
        items: How many items the range has.
        sidecar_address: Peer address of the sidecar.
        incarnation: The sidecar's process.
    """

    partition: int
    job_id: str
    claim_id: str
    results: ChunkRef | None
    failed: tuple[FailedItem, ...]
    finished: bool
    first_item: int = 0
    items: int = 0
    sidecar_address: str = ""
    incarnation: str = ""


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

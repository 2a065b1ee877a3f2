"""Messages for batch jobs and ranges of their items."""

from __future__ import annotations

import enum

import msgspec

from plumvane.peers.messages.base import Message
from plumvane.peers.messages.chunks import ChunkRef

__all__ = [
    "FailedItem",
    "FailureKind",
    "FetchResults",
    "JobCall",
    "JobDemand",
    "JobList",
    "JobState",
    "JobStates",
    "OfferWork",
    "OwnerView",
    "PullWork",
    "RangeDone",
    "RangeGrant",
    "ResultPage",
    "SubmitJob",
    "Urgency",
    "WorkOffer",
    "WorkWaiting",
]


class SubmitJob(Message, frozen=True, tag="submit"):
    """Asks a partition's owner to accept a batch job.

    Attributes:
        partition: Number of the partition.
        job_id: Identifier of the job.
        team: Team of the caller.
        digest: Digest of the job's input.
        model: Model that all items use.
        chunks: References to the chunks of the input.
        deadline: Time by which the job must be completed.
    """

    partition: int
    job_id: str
    team: str
    digest: bytes
    model: str
    chunks: tuple[ChunkRef, ...]
    deadline: float


class JobCall(Message, frozen=True, tag="job"):
    """Asks for the state of a job, or cancels it.

    Attributes:
        partition: Number of the partition.
        job_id: Identifier of the job.
        team: Team of the caller.
        cancel: Whether to cancel the job.
    """

    partition: int
    job_id: str
    team: str
    cancel: bool = False


class FailureKind(enum.Enum):
    """Why an attempt at an item failed.

    Attributes:
        ERROR: The engine returned an error.
        LOST: The engine or the worker failed while the item was running.
        REFUSED: The engine rejected the item as invalid.
    """

    ERROR = "error"
    LOST = "lost"
    REFUSED = "refused"


class FailedItem(msgspec.Struct, frozen=True, omit_defaults=True):
    """A failed item.

    Attributes:
        index: Index of the item in the job.
        cause: Error of the last attempt.
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
        items: Number of items.
        done: Number of items with a result.
        failed: First items that failed permanently.
        deadline: Time by which the job must be completed.
        created: Time at which the job was accepted.
        expected_finish: Time at which the job is expected to end, if known.
        failed_count: Number of items that failed permanently.
        late: Whether the job is still running after its deadline.
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
    """Asks for a page of the results of a job.

    Attributes:
        partition: Number of the partition.
        job_id: Identifier of the job.
        team: Team of the caller.
        from_item: Index of the first item of the page.
    """

    partition: int
    job_id: str
    team: str
    from_item: int = 0


class ResultPage(Message, frozen=True, tag="resultpage"):
    """References to the results of some consecutive items of a job.

    Attributes:
        results: Chunks with the results; they may contain others as well.
        failed: Items of the page that failed permanently.
        chunks: Chunks with the input of the failed items.
        next_item: Index of the first item after the page.
        last: Whether this is the last page of the job.
    """

    results: tuple[ChunkRef, ...]
    failed: tuple[FailedItem, ...]
    chunks: tuple[ChunkRef, ...]
    next_item: int
    last: bool


class JobList(Message, frozen=True, tag="joblist"):
    """Asks an owner for the jobs of a team on its partitions."""

    team: str


class JobStates(Message, frozen=True, tag="jobstates"):
    """Jobs of a team on the partitions of one owner."""

    jobs: tuple[JobState, ...]


class JobDemand(msgspec.Struct, frozen=True, array_like=True):
    """Remaining work of a job, without its identifier.

    Attributes:
        deadline: Time by which the job must be completed.
        items: Number of items that have yet to run.
    """

    deadline: float
    items: int


class OwnerView(msgspec.Struct, frozen=True):
    """State of an owner's jobs of one model, sent to the other owners.

    Attributes:
        address: Peer address of the owner.
        demands: Remaining work of its running jobs, by ascending deadline.
        service_by_team: Number of items that it granted for each team with a
            running job, divided by the share of the team.
        told: Time of this view by the clock of the owner; the latest view
            replaces earlier ones.
    """

    address: str
    demands: tuple[JobDemand, ...] = ()
    service_by_team: dict[str, float] = {}
    told: float = 0.0


class Urgency(enum.IntEnum):
    """Scheduling class of a job; the lowest value is scheduled first."""

    URGENT = 0
    """Scheduled by its deadline."""
    FAIR = 1
    """Scheduled by fairness between teams, as its deadline allows that."""
    LATE = 2
    """Cannot meet its deadline, so it is scheduled last."""


class OfferWork(Message, frozen=True, tag="offerwork"):
    """A sidecar asks an owner which work it would grant.

    Attributes:
        model: Model behind the sidecar.
        sidecar_address: Peer address of the sidecar.
        incarnation: Incarnation of the sidecar process.
        item_rate: Batch items per second that the sidecar completes, or 0 if
            unknown.
        others: Latest views that the sidecar got from the other owners.
    """

    model: str
    sidecar_address: str
    incarnation: str = ""
    item_rate: float = 0.0
    others: tuple[OwnerView, ...] = ()


class WorkOffer(Message, frozen=True, tag="workoffer"):
    """Work that an owner would grant next.

    Attributes:
        view: State of the owner's jobs.
        waiting: Whether the owner has items waiting.
        urgency: Scheduling class of its first job.
        key: Sort key of its first job within the class; the lowest is
            scheduled first.
        due: Deadline of its first job if sidecars should return ranges of
            less urgent jobs in favour of it, or None.
    """

    view: OwnerView
    waiting: bool = False
    urgency: Urgency = Urgency.URGENT
    key: float = 0.0
    due: float | None = None


class WorkWaiting(Message, frozen=True, tag="workwaiting"):
    """Notifies an idle sidecar that an owner has items waiting."""


class PullWork(Message, frozen=True, tag="pull"):
    """A sidecar asks an owner for batch items.

    Attributes:
        model: Model behind the sidecar.
        sidecar_address: Peer address of the sidecar.
        items: Maximum number of items to grant.
        incarnation: Incarnation of the sidecar process.
        item_rate: Batch items per second that the sidecar completes, or 0 if
            unknown.
        others: Latest views that the sidecar got from the other owners.
    """

    model: str
    sidecar_address: str
    items: int
    incarnation: str = ""
    item_rate: float = 0.0
    others: tuple[OwnerView, ...] = ()


class RangeGrant(Message, frozen=True, tag="range"):
    """Grants a range of items to a sidecar.

    Attributes:
        partition: Number of the partition.
        job_id: Identifier of the job.
        first_item: Index of the first item.
        items: Number of items; 0 if there is no work.
        claim_id: Identifier of the claim.
        deadline: Time at which the claim expires unless it is renewed.
        job_deadline: Time by which the job must be completed.
        chunks: Input chunks that contain the items.
        skip: Indexes of items that have a result or failed permanently.
        urgency: Scheduling class of the job when the range was granted.
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
    urgency: Urgency = Urgency.URGENT


class RangeDone(Message, frozen=True, tag="rangedone"):
    """A sidecar reports a range that is finished or in progress.

    Attributes:
        partition: Number of the partition.
        job_id: Identifier of the job.
        claim_id: Identifier of the claim.
        results: Chunk with the results of the items, or None if no item has
            a result.
        failed: Items that failed in this attempt.
        finished: Whether the claim ends; otherwise it is renewed.
        first_item: Index of the first item of the range.
        items: Number of items in the range.
        sidecar_address: Peer address of the sidecar.
        incarnation: Incarnation of the sidecar process.
        unsaved: Number of completed items whose results have yet to be
            reported.
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
    unsaved: int = 0

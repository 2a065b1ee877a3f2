"""Messages on batch jobs and their ranges."""

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
        items: Items that have still to run.
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
        told: When it told this, by its own clock; the newest counts.
    """

    address: str
    demands: tuple[JobDemand, ...] = ()
    service_by_team: dict[str, float] = {}
    told: float = 0.0


class Urgency(enum.IntEnum):
    """Class of a job with waiting items; a lower one goes first."""

    URGENT = 0
    """Goes by its deadline."""
    FAIR = 1
    """Its deadline leaves room for fairness between teams."""
    LATE = 2
    """Cannot land; set aside."""


class OfferWork(Message, frozen=True, tag="offerwork"):
    """A sidecar asks an owner what it would hand out.

    Attributes:
        model: Model behind the sidecar.
        sidecar_address: Peer address of the sidecar.
        incarnation: The sidecar's process.
        item_rate: Batch items a second that it does, or 0 if not known.
        others: What the other owners told the sidecar last.
    """

    model: str
    sidecar_address: str
    incarnation: str = ""
    item_rate: float = 0.0
    others: tuple[OwnerView, ...] = ()


class WorkOffer(Message, frozen=True, tag="workoffer"):
    """What an owner would hand out next.

    Attributes:
        view: The owner's jobs.
        waiting: Whether items wait there.
        urgency: Class of its first job.
        key: Place of its first job in the class; a lower one goes first.
        due: Deadline of its first job if ranges of less urgent jobs shall be
            handed back for it, or None.
    """

    view: OwnerView
    waiting: bool = False
    urgency: Urgency = Urgency.URGENT
    key: float = 0.0
    due: float | None = None


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
        urgency: Class of the job when the range was handed out.
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
        unsaved: Items that are done, with results yet to be reported.
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

"""Messages for the upstream loads that workers read for all instances."""

from __future__ import annotations

import msgspec

from plumvane.peers.messages.base import Message

__all__ = [
    "FollowLoads",
    "ItemCount",
    "RunningItems",
    "SilentUpstream",
    "SilentUpstreams",
    "UpstreamLoad",
    "UpstreamLoads",
]


class FollowLoads(Message, frozen=True, tag="loadsfollow"):
    """Subscribes to the loads that a worker reads.

    The reply consists of `UpstreamLoads` parts, until the call is cancelled;
    workers get `RunningItems` as well. The first part, and one after each
    change, tells the configuration.

    Attributes:
        is_worker: Whether the subscriber is a worker.
    """

    is_worker: bool = False


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one upstream.

    Attributes:
        upstream_id: Identifier of the upstream.
        running: Number of requests that the upstream is executing.
        waiting: Number of requests in the queue of the upstream.
        age_s: Seconds between the reading and the sending of this message. An
            age is sent instead of a time because the clocks of instances
            may differ by more than the age of a load.
        is_leaving: Whether the upstream has announced its shutdown.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
        max_rate: Requests per second that it accepts from all senders; None
            for no limit.
        items: Number of batch items there that workers preempt for waiting
            requests.
        pace: How many times as long as usual for its service work takes there,
            as this worker measures it; None if it is as last told or unknown.
    """

    upstream_id: str
    running: int
    waiting: int
    age_s: float
    is_leaving: bool = False
    started_ms: int = 0
    max_rate: float | None = None
    items: int = 0
    pace: float | None = None


class UpstreamLoads(Message, frozen=True, tag="loads"):
    """Loads that a worker has just read.

    Attributes:
        loads: Loads of some upstreams.
        configuration_revision: The store's revision of the newest configuration
            that the worker knows; 0 if it is as last told.
    """

    loads: tuple[UpstreamLoad, ...]
    configuration_revision: int = 0


class ItemCount(msgspec.Struct, frozen=True, array_like=True):
    """Items of a worker at one upstream that may be preempted.

    Attributes:
        upstream_id: Identifier of the upstream.
        normal: Number of items that are not urgent.
        urgent: Number of urgent items.
        protected: Number of urgent items that may not be preempted.
    """

    upstream_id: str
    normal: int
    urgent: int
    protected: int = 0


class RunningItems(Message, frozen=True, tag="itemsrunning"):
    """Items that a worker runs, so that workers can divide preemptions.

    It also tells the other workers that this one is alive.

    Attributes:
        worker: Name of the worker.
        incarnation: Incarnation of the worker, which owns its jobs; empty if
            the worker hands them over and stops.
        counts: Its preemptible items, by upstream.
    """

    worker: str
    incarnation: str
    counts: tuple[ItemCount, ...] = ()


class SilentUpstream(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that does not answer requests for its load.

    Attributes:
        upstream_id: Identifier of the upstream.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
    """

    upstream_id: str
    started_ms: int


class SilentUpstreams(Message, frozen=True, tag="silent"):
    """Upstreams that are silent to the worker that reads their loads.

    Attributes:
        upstreams: The upstreams.
    """

    upstreams: tuple[SilentUpstream, ...]

"""Messages for the state of instances and the fleet document."""

from __future__ import annotations

import msgspec

from plumvane.peers.messages.base import Load, Message

__all__ = [
    "DocumentData",
    "FetchDocument",
    "FetchViews",
    "InstanceView",
    "Report",
    "ReportReply",
    "Views",
]


class Report(Message, frozen=True, tag="report"):
    """Heartbeat that a sidecar or bulk instance sends to an entry.

    Attributes:
        name: Name of the instance.
        role: `sidecar` or `bulk`.
        address: Peer address of the instance.
        data_centre: Data centre of the instance.
        serves: Model or service of its upstream.
        revision: Revision of the fleet document that the instance applies.
        leaving: Whether the instance is draining and accepts no new work.
        load: Load of its upstream, if it has one.
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
    """Reply of an entry to a report.

    Attributes:
        revision: Revision of the fleet document at the entry.
        owners: Peer addresses of the owners that may have batch items to run.
    """

    revision: int
    owners: tuple[str, ...]


class InstanceView(msgspec.Struct, frozen=True):
    """State of an instance according to its latest report to an entry.

    Attributes:
        name: Name of the instance.
        revision: Revision of the fleet document that the instance applies.
        leaving: Whether the instance is draining and accepts no new work.
        age_s: Seconds since its latest report.
        load: Load of its upstream, if it has one.
    """

    name: str
    revision: int
    leaving: bool
    age_s: float
    load: Load | None = None


class FetchViews(Message, frozen=True, tag="fetchviews"):
    """Asks an entry for the state of the instances that report to it."""


class Views(Message, frozen=True, tag="views"):
    """State of an entry and of the instances that report to it."""

    views: tuple[InstanceView, ...]


class FetchDocument(Message, frozen=True, tag="fetchdoc"):
    """Asks a peer for its fleet document.

    Attributes:
        newer_than: Revision that the caller has; the peer sends its document
            only if its revision is higher.
    """

    newer_than: int = -1


class DocumentData(Message, frozen=True, tag="doc"):
    """A fleet document.

    Attributes:
        revision: Revision of the document.
        document: JSON of the document; empty if the revision is not higher
            than the requested `newer_than`.
    """

    revision: int
    document: bytes

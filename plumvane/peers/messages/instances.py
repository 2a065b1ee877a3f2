"""Messages on the state of instances and the fleet document."""

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

"""Messages about the versions of upstreams that began callers' streams."""

from __future__ import annotations

import msgspec

from plumvane.peers.messages.base import Message

__all__ = ["FindStream", "RecordStreams", "StreamFound", "StreamRecord"]


class StreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """Where a stream began.

    Attributes:
        request_id: Identifier of the caller's attempt that began it.
        service: Service of the upstream.
        version: Software version of the upstream.
        expires_at: Unix time in seconds after which it is forgotten.
    """

    request_id: str
    service: str
    version: str
    expires_at: float


class RecordStreams(Message, frozen=True, tag="streamsrecord"):
    """Keeps records for the case that their sender is lost.

    Attributes:
        records: The records.
    """

    records: tuple[StreamRecord, ...]


class FindStream(Message, frozen=True, tag="streamfind"):
    """Asks where a stream began.

    Attributes:
        request_id: Identifier of the caller's attempt that began it.
        service: The only service of its route; empty if there are several.
    """

    request_id: str
    service: str


class StreamFound(Message, frozen=True, tag="streamfound"):
    """What a peer knows about a stream.

    Attributes:
        record: Where it began; None if unknown.
        only_version: The only version that the service has had for as long as
            a stream lasts; None if there were others.
        listing_age_s: Seconds before the reply up to which the listing that
            this goes by has all changes; None if unknown.
    """

    record: StreamRecord | None
    only_version: str | None
    listing_age_s: float | None = None

"""Messages about permits for requests to upstreams that limit their rate."""

from __future__ import annotations

from plumvane.peers.messages.base import Message

__all__ = ["Permit", "TakePermit"]


class TakePermit(Message, frozen=True, tag="permittake"):
    """Asks a worker for a permit for one request.

    Attributes:
        upstream_id: Identifier of the upstream.
        started_ms: Unix time of the upstream's start in milliseconds.
        max_rate: Limit that the upstream names, in requests per second.
        is_urgent: Whether the request may take the last permits.
        is_deputy: Whether the worker stands in for the one that the sender
            cannot reach.
    """

    upstream_id: str
    started_ms: int
    max_rate: float
    is_urgent: bool
    is_deputy: bool


class Permit(Message, frozen=True, tag="permit"):
    """Grants or denies a permit.

    Attributes:
        wait_s: Seconds until there will be a permit; 0 if one is granted.
    """

    wait_s: float

"""Loads of upstreams that workers read for all instances."""

from __future__ import annotations

import msgspec

from plumvane.peers.messages.base import Message

__all__ = ["FollowLoads", "UpstreamLoad", "UpstreamLoads"]


class FollowLoads(Message, frozen=True, tag="loadsfollow"):
    """Asks for all loads that the worker reads from now on.

    The reply comes in parts, an `UpstreamLoads` each, until the call is
    cancelled.
    """


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one upstream.

    Attributes:
        upstream_id: The upstream.
        running: Requests that it runs.
        waiting: Requests in its queue.
        age_s: Seconds since it was read, when this was sent; instances' clocks
            differ by more than a load is old.
    """

    upstream_id: str
    running: int
    waiting: int
    age_s: float


class UpstreamLoads(Message, frozen=True, tag="loads"):
    """Loads that were just read.

    Attributes:
        loads: The loads.
    """

    loads: tuple[UpstreamLoad, ...]

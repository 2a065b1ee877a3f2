"""Messages on orders to engines."""

from __future__ import annotations

from plumvane.peers.messages.base import Message

__all__ = ["OrderLease", "OrderLeaseGranted", "PlanLoad"]


class OrderLease(Message, frozen=True, tag="orderlease"):
    """A sidecar asks an entry for the lease for orders to its engine.

    Attributes:
        upstream: Address of the engine.
        holder: Incarnation of the sidecar.
        fence: Fencing number of the lease to renew; 0 for a new one.
        loaded: Version that the engine has been ordered to load.
        model: Model of the engine.
        address: Peer address of the sidecar.
    """

    upstream: str
    holder: str
    fence: int
    loaded: str
    model: str = ""
    address: str = ""


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

"""Messages for administrative orders to engines."""

from __future__ import annotations

from plumvane.peers.messages.base import Message

__all__ = ["OrderLease", "OrderLeaseGranted", "PlanLoad"]


class OrderLease(Message, frozen=True, tag="orderlease"):
    """A sidecar asks an entry for the lease to send orders to its engine.

    Attributes:
        upstream: Address of the engine.
        holder: Incarnation of the sidecar process.
        fence: Fencing number of the lease to renew; 0 for a new one.
        loaded: Version that the engine was last ordered to load.
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
    """Confirms that the lease is granted or renewed.

    Attributes:
        fence: Fencing number of the lease.
        ttl_s: Time to live in seconds, counted from the start of the call.
        send_after: Time after which no order of a previous holder can still be
            in flight, in seconds since the Unix epoch.
        loaded: Version that the engine was last ordered to load.
    """

    fence: int
    ttl_s: float
    send_after: float
    loaded: str


class PlanLoad(Message, frozen=True, tag="planload"):
    """A sidecar asks an entry whether its engine may load weights now.

    Attributes:
        upstream: Address of the engine.
        model: Model of the engine.
        fence: Fencing number of the lease.
        in_use: Whether the engine currently serves a version.
    """

    upstream: str
    model: str
    fence: int
    in_use: bool

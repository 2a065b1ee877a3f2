"""Base class of the messages, and messages used in several modules."""

from __future__ import annotations

import msgspec

__all__ = ["Done", "Failure", "Load", "Message"]


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all messages."""


class Done(Message, frozen=True, tag="ok"):
    """Reply of a call that succeeded and returns no data."""


class Failure(Message, frozen=True, tag="fail"):
    """Error reply, with the arguments of `errors.error_from_code`."""

    code: str
    detail: str
    remedy: str | None = None
    not_run: bool = False
    retry_after_s: float | None = None


class Load(msgspec.Struct, frozen=True):
    """Load of an upstream, measured by its sidecar.

    Attributes:
        online: Online requests queued and running.
        batch: Batch items queued and running.
        limit: Limit of concurrent requests.
        time: Time of the measurement.
        step_s: Seconds between two tokens of a request that runs alone, 0 if
            unknown.
    """

    online: int
    batch: int
    limit: int
    time: float
    step_s: float = 0.0

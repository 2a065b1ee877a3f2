"""What all messages have in common."""

from __future__ import annotations

import msgspec

__all__ = ["Done", "Failure", "Load", "Message"]


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all messages."""


class Done(Message, frozen=True, tag="ok"):
    """The call succeeded and has nothing to say."""


class Failure(Message, frozen=True, tag="fail"):
    """An error, as `errors.error_from_code` takes it."""

    code: str
    detail: str
    remedy: str | None = None
    not_run: bool = False
    retry_after_s: float | None = None


class Load(msgspec.Struct, frozen=True):
    """Load of an upstream as its sidecar sees it.

    Attributes:
        online: Online requests queued and running.
        batch: Batch items queued and running.
        limit: Requests that may run at once.
        time: When it was taken.
        step_s: Time between two tokens of a lone request, 0 if unknown.
    """

    online: int
    batch: int
    limit: int
    time: float
    step_s: float = 0.0

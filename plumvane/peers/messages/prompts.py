"""Messages about parts of prompts, and requests, that crash upstreams.

A request that comes again is named beside the parts, by its `request_key`.
Ages are sent instead of times because the clocks of instances may differ.
"""

from __future__ import annotations

import msgspec

from plumvane.peers.messages.base import Message

__all__ = [
    "REQUEST_KEY_PREFIX",
    "LostRequest",
    "PartAge",
    "PartsReleased",
    "PartsSuspected",
    "PartsQuarantined",
    "QuarantinedPart",
    "ReportPrompts",
    "request_key",
]

# Start of the key of a request; the identifier of a part has no colon.
REQUEST_KEY_PREFIX = "request:"


def request_key(fingerprint: str) -> str:
    """Returns the key of a request that stands among identifiers of parts.

    Args:
        fingerprint: What repeats of the request have in common with it.
    """
    return REQUEST_KEY_PREFIX + fingerprint


class LostRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request that broke off at an upstream.

    Attributes:
        upstream_id: Identifier of the upstream.
        started_ms: Unix time of the upstream's start in milliseconds.
        prompt: Identifiers of the parts of its prompt, in order.
        state: How far the answer had come, an `AnswerState`.
        age_s: Seconds between the loss and the sending of this message.
        fingerprint: What repeats of the request have in common with it; empty
            for an item of a batch job, which comes once.
        ran_s: Seconds between the sending of the request and its loss.
    """

    upstream_id: str
    started_ms: int
    prompt: tuple[str, ...]
    state: int
    age_s: float
    fingerprint: str = ""
    ran_s: float = 0.0


class PartAge(msgspec.Struct, frozen=True, array_like=True):
    """An event that concerns a part of prompts or a request.

    Attributes:
        part: Identifier of the part, or key of the request.
        age_s: Seconds between the event and the sending of this message.
    """

    part: str
    age_s: float


class ReportPrompts(Message, frozen=True, tag="promptsreport"):
    """Tells a worker what became of prompts.

    Attributes:
        lost: Prompts of requests that broke off.
        answered: Parts of answered prompts that were suspected.
        answer_count: Number of prompts that were answered since the last
            report, while any part was suspected.
    """

    lost: tuple[LostRequest, ...]
    answered: tuple[PartAge, ...]
    answer_count: int = 0


class PartsSuspected(Message, frozen=True, tag="partssuspected"):
    """Parts that upstreams may have crashed on.

    Attributes:
        parts: The parts, with the ages of their last crashes.
    """

    parts: tuple[PartAge, ...]


class QuarantinedPart(msgspec.Struct, frozen=True, array_like=True):
    """A part or a request that crashes upstreams.

    Attributes:
        part: Identifier of the part, or key of the request.
        age_s: Seconds since it was quarantined.
        remaining_s: Seconds until it is released.
        upstreams: Upstreams that crashed on it, as evidence.
    """

    part: str
    age_s: float
    remaining_s: float
    upstreams: tuple[str, ...]


class PartsQuarantined(Message, frozen=True, tag="partsquarantined"):
    """Parts whose requests must not be sent to upstreams.

    Attributes:
        parts: The parts.
    """

    parts: tuple[QuarantinedPart, ...]


class PartsReleased(Message, frozen=True, tag="partsreleased"):
    """Parts that were quarantined wrongly.

    Attributes:
        parts: The parts, with the ages of the answers that refute it.
    """

    parts: tuple[PartAge, ...]

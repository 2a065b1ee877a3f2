"""A request that a gateway forwards, and the state of its attempts."""

from __future__ import annotations

import dataclasses

from plumvane.errors import PlumvaneError
from plumvane.gateway.exchange import Exchange
from plumvane.serving.expectation import Expectation
from plumvane.serving.routes import Route
from plumvane.serving.teams import Team

__all__ = ["IncompleteResponseError", "RequestState"]


class IncompleteResponseError(Exception):
    """A response that has started cannot be completed."""


@dataclasses.dataclass(slots=True)
class RequestState:
    """A request and the state of its attempts.

    Attributes:
        exchange: The caller's exchange.
        route: Route of the request.
        service: Service that was drawn for the request.
        body: Request body.
        team: Team that sends it; None if callers need no keys.
        fingerprint: What repeats of the request have in common with it.
        target_at: Monotonic time in seconds by which its first event, or the
            response to a call, is in time.
        deadline: Monotonic time in seconds by which the response must be
            complete.
        permit_deadline: Monotonic time in seconds until which the request may
            wait for a permit.
        last_event_id: Id of the last event that the caller has received, or
            None.
        version: Software version that began the stream; None before its first
            event.
        expectation: What the last attempt was expected to meet; None if that
            is not estimated.
        attempt_events: Number of events that the last attempt has received;
            None before the head of its response.
        sent_at: Monotonic time in seconds at which the last attempt was sent.
        sent_ids: Upstreams that may have run the request.
        rejected_ids: Upstreams that have certainly not run the request.
        error: Failure of the last attempt.
    """

    exchange: Exchange
    route: Route
    service: str
    body: bytes
    team: Team | None
    fingerprint: str
    target_at: float
    deadline: float
    permit_deadline: float
    last_event_id: int | None
    version: str | None = None
    expectation: Expectation | None = None
    attempt_events: int | None = None
    sent_at: float = 0.0
    sent_ids: set[str] = dataclasses.field(default_factory=set)
    rejected_ids: set[str] = dataclasses.field(default_factory=set)
    error: PlumvaneError | None = None

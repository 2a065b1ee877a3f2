"""What calls show of upstreams, taken into the table and the log."""

from __future__ import annotations

from plumvane import clock, events
from plumvane.errors import (
    PlumvaneError,
    UpstreamLostError,
    UpstreamUnavailableError,
    WrongUpstreamError,
)
from plumvane.serving.upstreams import Upstream, UpstreamTable

__all__ = ["note_answer", "note_failure"]


def note_answer(upstream: Upstream) -> None:
    """Takes in that an upstream answered."""
    if upstream.record_success():
        events.log(events.Event.UPSTREAM_BACK, upstream=upstream.upstream_id)


def note_failure(
    table: UpstreamTable, upstream: Upstream, error: PlumvaneError
) -> None:
    """Takes in that an attempt failed.

    An upstream that another one replaced at its address is forgotten; one that
    was lost or not reached gets no new work for a while. A refusal says
    nothing of its health.

    Args:
        table: The upstreams.
        upstream: Where the attempt was sent.
        error: How it failed.
    """
    if isinstance(error, WrongUpstreamError):
        table.remove(upstream.upstream_id)
        events.log(
            events.Event.UPSTREAM_GONE,
            upstream=upstream.upstream_id,
            service=upstream.listed.service,
            reason="another upstream has its address",
        )
    elif isinstance(error, (UpstreamUnavailableError, UpstreamLostError)):
        now = clock.monotonic()
        until = upstream.record_failure(now)
        events.log(
            events.Event.UPSTREAM_EJECTED,
            upstream=upstream.upstream_id,
            for_s=round(until - now, 2),
            error=error.detail,
        )

"""Passive health checks: outcomes of calls update the upstream table."""

from __future__ import annotations

from plumvane import clock, events
from plumvane.errors import (
    PlumvaneError,
    UpstreamLostError,
    UpstreamUnavailableError,
    WrongUpstreamError,
)
from plumvane.serving.upstreams import Upstream, UpstreamTable

__all__ = ["record_failure", "record_success"]


def record_success(upstream: Upstream) -> None:
    """Records that an upstream responded, which ends its ejection."""
    upstream.record_response(clock.monotonic())
    if upstream.record_success():
        events.log(events.Event.UPSTREAM_BACK, upstream=upstream.upstream_id)


def record_failure(
    table: UpstreamTable, upstream: Upstream, error: PlumvaneError
) -> None:
    """Records that an attempt failed.

    An upstream whose address another one has taken over is removed from the
    table. One whose connection failed or could not be opened is ejected for a
    while. A rejected request does not change the upstream's health.

    Args:
        table: Table that lists the upstream.
        upstream: Upstream that the attempt was sent to.
        error: The failure.
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

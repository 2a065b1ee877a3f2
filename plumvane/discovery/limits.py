"""Rates that upstreams accept from all senders together."""

from __future__ import annotations

from plumvane import events
from plumvane.serving.upstreams import Upstream

__all__ = ["record_max_rate"]


def record_max_rate(
    upstream: Upstream, max_rate: float | None, read_at: float, source: str
) -> None:
    """Records the rate that an upstream names in an answer.

    Args:
        upstream: The upstream.
        max_rate: Requests per second; None if the answer names no limit.
        read_at: Monotonic time in seconds at which the answer was read.
        source: Kind of message that contained it.
    """
    before = upstream.max_rate
    if not upstream.update_max_rate(max_rate, read_at):
        return
    events.log(
        events.Event.UPSTREAM_LIMITED,
        upstream=upstream.upstream_id,
        service=upstream.listed.service,
        max_rate=max_rate,
        before=before,
        source=source,
    )

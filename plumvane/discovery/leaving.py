"""Announcements of upstreams that they are leaving."""

from __future__ import annotations

from plumvane import events
from plumvane.serving.upstreams import Upstream

__all__ = ["record_leaving"]


def record_leaving(upstream: Upstream, source: str, **fields: str) -> None:
    """Records that an upstream has announced its shutdown in an answer.

    Args:
        upstream: The upstream.
        source: Kind of message that contained the announcement.
        **fields: Identifiers of the message, for the log.
    """
    if not upstream.record_leaving():
        return
    events.log(
        events.Event.UPSTREAM_LEAVING,
        upstream=upstream.upstream_id,
        service=upstream.listed.service,
        address=f"{upstream.listed.host}:{upstream.listed.port}",
        started_ms=upstream.listed.started_ms,
        source=source,
        **fields,
    )

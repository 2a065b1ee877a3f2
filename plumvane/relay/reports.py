"""Reads load reports of model engines over HTTP."""

from __future__ import annotations

from collections.abc import Sequence

import anyio
import httpcore

from plumvane import clock, events
from plumvane.discovery.leaving import record_leaving
from plumvane.discovery.limits import record_max_rate
from plumvane.discovery.loads import apply_load
from plumvane.errors import ProtocolError
from plumvane.httppool import (
    KEEPALIVE_SOCKET_OPTIONS,
    NETWORK_ERRORS,
    BodyBudget,
    HttpPool,
    read_body,
)
from plumvane.platform import names
from plumvane.platform.listing import decode_report
from plumvane.platform.requests import decode_response
from plumvane.serving.upstreams import Load, Upstream

__all__ = ["ReportReader"]

# Time limit of one load report, in seconds; a slower one is skipped. A report
# takes no slot of the engine.
REPORT_TIMEOUT_S = 0.15
# Maximum size of a load report, in bytes; a larger one is malformed.
MAX_REPORT_BYTES = 65_536


class ReportReader:
    """Polls upstreams for their load."""

    def __init__(self) -> None:
        """Creates the reader with an empty connection pool."""
        self._pool = HttpPool(socket_options=KEEPALIVE_SOCKET_OPTIONS)

    async def read(self, upstreams: Sequence[Upstream]) -> None:
        """Reads the load of some upstreams concurrently.

        An upstream that does not respond in time keeps its last known load,
        whose age shows that it is stale.
        """
        async with anyio.create_task_group() as group:
            for upstream in upstreams:
                group.start_soon(self._read_one, upstream)

    async def _read_one(self, upstream: Upstream) -> None:
        url = httpcore.URL(
            scheme=b"http",
            host=upstream.listed.host.encode(),
            port=upstream.listed.port,
            target=names.REPORT_PATH.encode(),
        )
        host = f"{upstream.listed.host}:{upstream.listed.port}"
        with anyio.move_on_after(REPORT_TIMEOUT_S):
            try:
                async with self._pool.stream(
                    "GET", url, headers=[("host", host)]
                ) as response:
                    _record_announcements(upstream, response)
                    body = await read_body(
                        response, BodyBudget(MAX_REPORT_BYTES)
                    )
                load: Load | None = decode_report(body)
            except (ProtocolError, *NETWORK_ERRORS):
                # Counted as a missed report below.
                load = None
            except Exception as error:
                events.log(
                    events.Event.TASK_FAILED,
                    task=f"load report of {upstream.upstream_id}",
                    error=repr(error),
                )
                load = None
            if load is not None:
                apply_load(upstream, load, clock.monotonic())
                return
        if upstream.record_missed_report():
            events.log(
                events.Event.UPSTREAM_SILENT,
                upstream=upstream.upstream_id,
                load_age_s=round(upstream.load_age(clock.monotonic()), 2),
            )


def _record_announcements(
    upstream: Upstream, response: httpcore.Response
) -> None:
    """Records a shutdown or a limit that an upstream announces with its load.

    Requests for loads do not name the upstream that they expect; another one
    may have taken over its address.
    """
    head = decode_response(response.headers)
    if head.upstream_id not in ("", upstream.upstream_id):
        return
    record_max_rate(upstream, head.max_rate, clock.monotonic(), "report")
    if head.is_leaving:
        record_leaving(upstream, "report")

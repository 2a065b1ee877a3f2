"""Reads the reports of model engines."""

from __future__ import annotations

from collections.abc import Sequence

import anyio
import httpcore

from plumvane import clock, events
from plumvane.discovery.loads import take_load
from plumvane.errors import ProtocolError
from plumvane.httppool import (
    NETWORK_ERRORS,
    PROBED_SOCKET_OPTIONS,
    HttpPool,
)
from plumvane.platform import names
from plumvane.platform.listing import decode_report
from plumvane.serving.upstreams import Load, Upstream

__all__ = ["ReportReader"]

# A report that takes longer is left out, in seconds; it needs no slot.
TIMEOUT_S = 0.15


class ReportReader:
    """Asks upstreams for their load."""

    def __init__(self) -> None:
        """Creates the reader."""
        self._pool = HttpPool(socket_options=PROBED_SOCKET_OPTIONS)

    async def read(self, upstreams: Sequence[Upstream]) -> None:
        """Reads the load of some upstreams at once.

        An upstream that does not answer keeps the load that was known, whose
        age tells.
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
        with anyio.move_on_after(TIMEOUT_S):
            try:
                response = await self._pool.request(
                    "GET", url, headers=[("host", host)]
                )
                load: Load | None = decode_report(response.content)
            except (ProtocolError, *NETWORK_ERRORS):
                # Counted below; the load that is known grows old.
                load = None
            if load is not None:
                take_load(upstream, load, clock.monotonic())
                return
        if upstream.record_missed_report():
            events.log(
                events.Event.UPSTREAM_SILENT,
                upstream=upstream.upstream_id,
                load_age_s=round(upstream.load_age(clock.monotonic()), 2),
            )

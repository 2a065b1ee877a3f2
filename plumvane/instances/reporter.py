"""Heartbeats of a sidecar or bulk instance to a few entries."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from plumvane import clock, hashing
from plumvane.errors import PlumvaneError
from plumvane.fleet.current import CurrentDocument, fetch_from_peer
from plumvane.instances.directory import Directory
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import Report, ReportReply

__all__ = ["Reporter"]

# How many entries an instance reports to.
ENTRIES = 2
REPORT_S = 1.0
CALL_TIMEOUT_S = 1.5


class Reporter:
    """Reports to a few entries and learns owners and revisions from them."""

    def __init__(
        self,
        name: str,
        directory: Directory,
        links: LinkPool,
        current: CurrentDocument,
        make_report: Callable[[], Report],
    ) -> None:
        """Creates the reporter.

        Args:
            name: Name of this instance.
            directory: Where the entries are.
            links: Connections to them.
            current: Document in force here.
            make_report: Returns the report to send.
        """
        self._name = name
        self._directory = directory
        self._links = links
        self._current = current
        self._make_report = make_report
        self.owners: tuple[str, ...] = ()

    async def run(self) -> None:
        """Reports regularly; runs always."""
        while True:
            await self.report()
            await anyio.sleep(REPORT_S * random.uniform(0.8, 1.1))

    async def report(self) -> None:
        """Reports once to each chosen entry."""
        by_name = {i.name: i for i in self._directory.live("entry")}
        chosen = hashing.rank(self._name, by_name)[:ENTRIES]
        async with anyio.create_task_group() as group:
            for name in chosen:
                group.start_soon(self._report_to, by_name[name].address)

    async def _report_to(self, address: str) -> None:
        try:
            reply = await self._links.call(
                address,
                self._make_report(),
                deadline=clock.monotonic() + CALL_TIMEOUT_S,
            )
        except PlumvaneError:
            return
        if not isinstance(reply, ReportReply):
            return
        self.owners = reply.owners
        if reply.revision > self._current.revision:
            await fetch_from_peer(self._links, address, self._current)

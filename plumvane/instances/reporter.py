"""Heartbeats of a sidecar or bulk instance to a few entries."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from plumvane import clock, hashing
from plumvane.errors import PlumvaneError
from plumvane.fleet.current import CurrentDocument, fetch_from_peer
from plumvane.instances.directory import Directory, Instance
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import Report, ReportReply

__all__ = ["Reporter"]

# How many entries an instance reports to.
ENTRIES = 2
REPORT_S = 1.0
CALL_TIMEOUT_S = 1.0
# An entry that did not answer is passed over for this.
AVOID_S = 10.0


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
        self._avoid_until_by_address: dict[str, float] = {}

    async def run(self) -> None:
        """Reports regularly; runs always."""
        while True:
            await self.report()
            await anyio.sleep(REPORT_S * random.uniform(0.8, 1.1))

    async def report(self) -> None:
        """Reports once to each chosen entry."""
        by_name = {i.name: i for i in self._directory.live("entry")}
        chosen = self._choose(by_name)
        # The first document comes from the entry that has the newest, so
        # that an instance started again does not fall behind.
        first = self._current.revision == 0
        revisions: dict[str, int] = {}
        async with anyio.create_task_group() as group:
            for name in chosen:
                address = by_name[name].address
                group.start_soon(self._report_to, address, first, revisions)
        if first and revisions:
            newest = max(revisions, key=lambda address: revisions[address])
            await fetch_from_peer(self._links, newest, self._current)

    def _choose(self, by_name: dict[str, Instance]) -> list[str]:
        """Returns the preferred entries, those that answer first."""
        now = clock.monotonic()
        avoided = {
            address
            for address, until in self._avoid_until_by_address.items()
            if until > now
        }
        ranked = hashing.rank(self._name, by_name)
        ranked.sort(key=lambda name: by_name[name].address in avoided)
        return ranked[:ENTRIES]

    async def _report_to(
        self, address: str, first: bool, revisions: dict[str, int]
    ) -> None:
        try:
            reply = await self._links.call(
                address,
                self._make_report(),
                deadline=clock.monotonic() + CALL_TIMEOUT_S,
            )
        except PlumvaneError:
            avoid_until = clock.monotonic() + AVOID_S
            self._avoid_until_by_address[address] = avoid_until
            return
        self._avoid_until_by_address.pop(address, None)
        if not isinstance(reply, ReportReply):
            return
        self.owners = reply.owners
        revisions[address] = reply.revision
        if not first and reply.revision > self._current.revision:
            await fetch_from_peer(self._links, address, self._current)

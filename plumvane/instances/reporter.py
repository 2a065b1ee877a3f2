"""Heartbeats of a sidecar or bulk instance to entries."""

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

# Number of entries an instance reports to.
ENTRY_COUNT = 2
REPORT_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 1.0
# Time for which an entry that did not reply is avoided, in seconds.
AVOID_S = 10.0


class Reporter:
    """Sends reports to entries and reads owners and revisions from replies."""

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
            directory: Directory in which the entries are found.
            links: Connections to the entries.
            current: Fleet document in force at this instance.
            make_report: Creates the report to send.
        """
        self._name = name
        self._directory = directory
        self._links = links
        self._current = current
        self._make_report = make_report
        self.owners: tuple[str, ...] = ()
        self._avoid_until_by_address: dict[str, float] = {}

    async def run(self) -> None:
        """Sends reports periodically until cancelled."""
        while True:
            await self.report()
            await anyio.sleep(REPORT_INTERVAL_S * random.uniform(0.8, 1.1))

    async def report(self) -> None:
        """Sends one report to each selected entry."""
        by_name = {i.name: i for i in self._directory.live("entry")}
        selected = self._select(by_name)
        # The first document is fetched from the entry with the newest one, so
        # that a restarted instance does not go back to an older revision.
        is_first = self._current.revision == 0
        revisions: dict[str, int] = {}
        async with anyio.create_task_group() as group:
            for name in selected:
                address = by_name[name].address
                group.start_soon(self._report_to, address, is_first, revisions)
        if is_first and revisions:
            newest = max(revisions, key=lambda address: revisions[address])
            await fetch_from_peer(self._links, newest, self._current)

    def _select(self, by_name: dict[str, Instance]) -> list[str]:
        """Returns the entries to report to, preferring those that reply."""
        now = clock.monotonic()
        avoided = {
            address
            for address, until in self._avoid_until_by_address.items()
            if until > now
        }
        ranked = hashing.rank(self._name, by_name)
        ranked.sort(key=lambda name: by_name[name].address in avoided)
        return ranked[:ENTRY_COUNT]

    async def _report_to(
        self, address: str, is_first: bool, revisions: dict[str, int]
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
        if not is_first and reply.revision > self._current.revision:
            await fetch_from_peer(self._links, address, self._current)

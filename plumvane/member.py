"""Fleet membership shared by sidecars and bulk instances."""

from __future__ import annotations

from collections.abc import Callable

import anyio.abc

from plumvane.fleet.current import CurrentDocument
from plumvane.instances.directory import OTHER_POLL_S, Directory
from plumvane.instances.reporter import Reporter
from plumvane.metrics import Metric, observe
from plumvane.peers import keys
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import FetchDocument, Load, Message, Report
from plumvane.peers.server import Call, PeerServer
from plumvane.process import supervise
from plumvane.settings import CommonSettings

__all__ = ["Member"]


class Member:
    """Reports to entries, tracks the instances and holds the fleet document.

    Attributes:
        address: Peer address of this instance.
        current: Fleet document that this instance applies.
        links: Connections to other instances.
        directory: Known instances of the fleet.
        server: Server for peers; add handlers before `start`.
        reporter: Sends reports to a few entries.
        leaving: Whether this instance is draining and accepts no new work.
    """

    def __init__(
        self,
        settings: CommonSettings,
        role: str,
        *,
        serves: str = "",
        load: Callable[[], Load] | None = None,
    ) -> None:
        """Creates the member without starting it.

        Args:
            settings: Validated settings.
            role: `sidecar` or `bulk`.
            serves: Model or service of its upstream; empty if it has none.
            load: Returns the current load; None without an upstream.
        """
        process = settings.process
        peer_keys = keys.load(settings.keys)
        self._process = process
        self._role = role
        self._serves = serves
        self._get_load = load
        self.address = str(process.peer_address)
        self.current = CurrentDocument()
        self.links = LinkPool(process.name, peer_keys)
        self.directory = Directory(
            settings.platform.instances_url, OTHER_POLL_S
        )
        self.server = PeerServer(str(process.bind_address), peer_keys)
        self.server.handle(FetchDocument, self._handle_fetch_document)
        self.reporter = Reporter(
            process.name,
            self.directory,
            self.links,
            self.current,
            self._make_report,
        )
        self.leaving = False
        observe(Metric.DOCUMENT_REVISION, lambda: self.current.revision)

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Starts the peer server and the background tasks.

        Args:
            group: Task group that runs them.
        """
        await group.start(self.server.run)
        for task in (self.links.run, self.directory.run, self.reporter.run):
            group.start_soon(supervise, task)

    async def leave(self) -> None:
        """Stops accepting new work and reports this to the entries."""
        self.leaving = True
        await self.reporter.report()

    def _make_report(self) -> Report:
        return Report(
            self._process.name,
            self._role,
            self.address,
            self._process.data_centre,
            self._serves,
            self.current.revision,
            self.leaving,
            self._get_load() if self._get_load is not None else None,
        )

    async def _handle_fetch_document(
        self, call: Call, message: FetchDocument
    ) -> Message:
        return self.current.answer(message)

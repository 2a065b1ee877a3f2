"""What sidecars and bulk instances have in common as members of the fleet."""

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
    """Reports to entries, knows the instances and keeps the fleet document.

    Attributes:
        address: Peer address of this instance.
        current: Fleet document in force here.
        links: Connections to other instances.
        directory: Instances of the fleet.
        server: Serves the peers; add handlers before `start`.
        reporter: Reports to a few entries.
        leaving: Whether this instance takes no new work.
    """

    def __init__(
        self,
        settings: CommonSettings,
        role: str,
        *,
        serves: str = "",
        load: Callable[[], Load] | None = None,
    ) -> None:
        """Builds the parts.

        Args:
            settings: Checked settings.
            role: `sidecar` or `bulk`.
            serves: Model or service behind it.
            load: Returns its load, if it has an upstream.
        """
        process = settings.process
        peer_keys = keys.load(settings.keys)
        self._process = process
        self._role = role
        self._serves = serves
        self._load = load
        self.address = str(process.peer_address)
        self.current = CurrentDocument()
        self.links = LinkPool(process.name, peer_keys)
        self.directory = Directory(
            settings.platform.instances_url, OTHER_POLL_S
        )
        self.server = PeerServer(str(process.bind_address), peer_keys)
        self.server.handle(FetchDocument, self._send_document)
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
        """Starts serving and reporting.

        Args:
            group: Task group of the background tasks.
        """
        await group.start(self.server.run)
        for task in (self.links.run, self.directory.run, self.reporter.run):
            group.start_soon(supervise, task)

    async def leave(self) -> None:
        """Tells the entries that this instance takes no new work."""
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
            self._load() if self._load is not None else None,
        )

    async def _send_document(
        self, call: Call, message: FetchDocument
    ) -> Message:
        return self.current.answer(message)

"""The fleet document in force in this process."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from plumvane import clock, events
from plumvane.errors import (
    ConfigurationError,
    HistoryLostError,
    PlumvaneError,
    StoreUnavailableError,
)
from plumvane.fleet import revisions
from plumvane.fleet.document import FleetDocument
from plumvane.fleet.revisions import Revision
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import DocumentData, FetchDocument
from plumvane.store.base import Store

__all__ = ["CurrentDocument", "PeerWatch", "fetch_from_peer", "watch_store"]

WATCH_S = 20.0
FETCH_TIMEOUT_S = 2.0
RETRY_MIN_S = 0.2
RETRY_MAX_S = 1.5
# An entry asks one of its peers for a newer revision this often.
ASK_S = 1.0
ASK_TIMEOUT_S = 0.8


class CurrentDocument:
    """Holds the newest document seen; its revision never falls.

    Attributes:
        revision: Revision in force; 0 if none is known.
        document: The document in force.
        data: The document's JSON.
        loaded: Set once the store or a peer has said what is in force.
    """

    def __init__(self) -> None:
        """Starts with the empty document of revision 0."""
        self.revision = 0
        self.document = FleetDocument()
        self.data = b"{}"
        self.loaded = anyio.Event()
        self._changed = anyio.Event()
        self._unreadable = 0

    def offer(self, revision: Revision) -> bool:
        """Puts a document in force if its revision is higher.

        A document that this version does not understand is logged and left.

        Returns:
            Whether it is in force now.
        """
        if revision.number <= self.revision:
            return False
        try:
            parsed = revision.parsed()
        except ConfigurationError as error:
            if revision.number != self._unreadable:
                self._unreadable = revision.number
                events.log(
                    events.Event.CONFIGURATION_UNREADABLE,
                    revision=revision.number,
                    error=str(error),
                )
            return False
        self.document = parsed
        self.data = revision.document
        self.revision = revision.number
        self.loaded.set()
        self._changed.set()
        self._changed = anyio.Event()
        events.log(
            events.Event.CONFIGURATION_IN_FORCE, revision=revision.number
        )
        return True

    def answer(self, message: FetchDocument) -> DocumentData:
        """Returns what a peer asked for."""
        newer = self.revision > message.newer_than
        return DocumentData(self.revision, self.data if newer else b"")

    async def changed(self) -> None:
        """Waits for the next revision."""
        await self._changed.wait()


async def watch_store(store: Store, current: CurrentDocument) -> None:
    """Keeps the document up to date from the store; runs always."""
    after = 0
    retry_s = RETRY_MIN_S
    while True:
        try:
            if after == 0:
                result = await store.list(revisions.DOCUMENT_KEY)
            else:
                result = await store.watch(
                    revisions.DOCUMENT_KEY,
                    after,
                    deadline=clock.monotonic() + WATCH_S,
                )
        except HistoryLostError:
            after = 0
            continue
        except StoreUnavailableError:
            await anyio.sleep(retry_s * random.uniform(0.5, 1.0))
            retry_s = min(2 * retry_s, RETRY_MAX_S)
            continue
        retry_s = RETRY_MIN_S
        for record in result.records:
            if not record.deleted:
                current.offer(revisions.decode_revision(record.value))
        current.loaded.set()
        after = result.revision


class PeerWatch:
    """Learns newer documents from peers, also while the store is down."""

    def __init__(
        self,
        links: LinkPool,
        current: CurrentDocument,
        addresses: Callable[[], list[str]],
    ) -> None:
        """Creates the watch.

        Args:
            links: Connections to the peers.
            current: Document in force here.
            addresses: Returns the peers to ask in turn.
        """
        self._links = links
        self._current = current
        self._addresses = addresses
        self._turn = 0
        self._hints: set[str] = set()
        self._hinted = anyio.Event()

    def hint(self, address: str, revision: int) -> None:
        """Takes in which revision a peer has; a newer one is fetched."""
        if revision > self._current.revision:
            self._hints.add(address)
            self._hinted.set()

    async def run(self) -> None:
        """Asks one peer after another; runs always."""
        while True:
            with anyio.move_on_after(ASK_S * random.uniform(0.7, 1.0)):
                await self._hinted.wait()
            self._hinted = anyio.Event()
            hints, self._hints = self._hints, set()
            async with anyio.create_task_group() as group:
                for address in hints or self._next():
                    group.start_soon(self._ask, address)

    def _next(self) -> list[str]:
        addresses = self._addresses()
        if not addresses:
            return []
        self._turn += 1
        return [addresses[self._turn % len(addresses)]]

    async def _ask(self, address: str) -> None:
        await fetch_from_peer(
            self._links, address, self._current, timeout_s=ASK_TIMEOUT_S
        )


async def fetch_from_peer(
    links: LinkPool,
    address: str,
    current: CurrentDocument,
    *,
    timeout_s: float = FETCH_TIMEOUT_S,
) -> None:
    """Takes the document of a peer if it is newer."""
    try:
        reply = await links.call(
            address,
            FetchDocument(current.revision),
            deadline=clock.monotonic() + timeout_s,
        )
    except PlumvaneError:
        return
    if isinstance(reply, DocumentData) and reply.document:
        current.offer(Revision(reply.revision, reply.document))

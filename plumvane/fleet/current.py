"""The fleet document that this process currently applies."""

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

WATCH_TIMEOUT_S = 20.0
FETCH_TIMEOUT_S = 2.0
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.5
# Interval at which an entry polls one of its peers for a newer revision.
POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 0.8


class CurrentDocument:
    """Holds the newest known document; its revision never decreases.

    Attributes:
        revision: Revision of the current document; 0 if none is known.
        document: The current document.
        data: JSON of the current document.
        loaded: Set once the store or a peer has reported the current document.
    """

    def __init__(self) -> None:
        """Creates the holder with the empty document, revision 0."""
        self.revision = 0
        self.document = FleetDocument()
        self.data = b"{}"
        self.loaded = anyio.Event()
        self._changed = anyio.Event()
        self._unreadable_revision = 0

    def offer(self, revision: Revision) -> bool:
        """Replaces the current document if the given revision is higher.

        A document that this version cannot parse is logged and ignored.

        Returns:
            Whether the document was replaced.
        """
        if revision.number <= self.revision:
            return False
        try:
            parsed = revision.parsed()
        except ConfigurationError as error:
            if revision.number != self._unreadable_revision:
                self._unreadable_revision = revision.number
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
        """Returns the reply to a peer; it has no document if none is newer."""
        is_newer = self.revision > message.newer_than
        return DocumentData(self.revision, self.data if is_newer else b"")

    async def changed(self) -> None:
        """Waits until the document is replaced."""
        await self._changed.wait()


async def watch_store(store: Store, current: CurrentDocument) -> None:
    """Keeps the document up to date from the store; never returns."""
    after_revision = 0
    retry_delay_s = MIN_RETRY_DELAY_S
    while True:
        try:
            if after_revision == 0:
                result = await store.list(revisions.DOCUMENT_KEY)
            else:
                result = await store.watch(
                    revisions.DOCUMENT_KEY,
                    after_revision,
                    deadline=clock.monotonic() + WATCH_TIMEOUT_S,
                )
        except HistoryLostError:
            after_revision = 0
            continue
        except StoreUnavailableError:
            await anyio.sleep(retry_delay_s * random.uniform(0.5, 1.0))
            retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
            continue
        retry_delay_s = MIN_RETRY_DELAY_S
        for record in result.records:
            if not record.deleted:
                current.offer(revisions.decode_revision(record.value))
        current.loaded.set()
        after_revision = result.revision


class PeerWatch:
    """Fetches newer documents from peers, also while the store is down."""

    def __init__(
        self,
        links: LinkPool,
        current: CurrentDocument,
        addresses: Callable[[], list[str]],
    ) -> None:
        """Creates the watch.

        Args:
            links: Connections to the peers.
            current: Document of this process.
            addresses: Returns the addresses of the peers, which are polled in
                turn.
        """
        self._links = links
        self._current = current
        self._addresses = addresses
        self._poll_count = 0
        self._hinted_addresses: set[str] = set()
        self._hint_received = anyio.Event()

    def hint(self, address: str, revision: int) -> None:
        """Records the revision of a peer; `run` fetches it if it is newer."""
        if revision > self._current.revision:
            self._hinted_addresses.add(address)
            self._hint_received.set()

    async def run(self) -> None:
        """Polls the peers in turn, hinted ones at once; never returns."""
        while True:
            with anyio.move_on_after(
                POLL_INTERVAL_S * random.uniform(0.7, 1.0)
            ):
                await self._hint_received.wait()
            self._hint_received = anyio.Event()
            hinted_addresses, self._hinted_addresses = (
                self._hinted_addresses,
                set(),
            )
            async with anyio.create_task_group() as group:
                for address in hinted_addresses or self._next_address():
                    group.start_soon(self._poll, address)

    def _next_address(self) -> list[str]:
        addresses = self._addresses()
        if not addresses:
            return []
        self._poll_count += 1
        return [addresses[self._poll_count % len(addresses)]]

    async def _poll(self, address: str) -> None:
        await fetch_from_peer(
            self._links, address, self._current, timeout_s=POLL_TIMEOUT_S
        )


async def fetch_from_peer(
    links: LinkPool,
    address: str,
    current: CurrentDocument,
    *,
    timeout_s: float = FETCH_TIMEOUT_S,
) -> None:
    """Fetches the document of a peer and applies it if it is newer.

    Failures of the call are ignored.
    """
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

"""The fleet document in force in this process."""

from __future__ import annotations

import random

import anyio

from plumvane import clock, events
from plumvane.errors import (
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

__all__ = ["CurrentDocument", "fetch_from_peer", "watch_store"]

WATCH_S = 20.0
FETCH_TIMEOUT_S = 2.0


class CurrentDocument:
    """Holds the newest document seen; its revision never falls.

    Attributes:
        revision: Revision in force.
        document: The document in force.
        data: The document's JSON.
    """

    def __init__(self) -> None:
        """Starts with the empty document of revision 0."""
        self.revision = 0
        self.document = FleetDocument()
        self.data = b"{}"
        self._changed = anyio.Event()

    def offer(self, revision: Revision) -> bool:
        """Puts a document in force if its revision is higher.

        Returns:
            Whether it is in force now.
        """
        if revision.number <= self.revision:
            return False
        self.document = revision.parsed()
        self.data = revision.document
        self.revision = revision.number
        self._changed.set()
        self._changed = anyio.Event()
        events.log(
            events.Event.CONFIGURATION_IN_FORCE, revision=revision.number
        )
        return True

    async def changed(self) -> None:
        """Waits for the next revision."""
        await self._changed.wait()


async def watch_store(store: Store, current: CurrentDocument) -> None:
    """Keeps the document up to date from the store; runs always."""
    after = 0
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
            await anyio.sleep(random.uniform(0.2, 1.0))
            continue
        for record in result.records:
            if not record.deleted:
                current.offer(revisions.decode_revision(record.value))
        after = result.revision


async def fetch_from_peer(
    links: LinkPool, address: str, current: CurrentDocument
) -> None:
    """Takes the document of a peer if it is newer."""
    try:
        reply = await links.call(
            address,
            FetchDocument(),
            deadline=clock.monotonic() + FETCH_TIMEOUT_S,
        )
    except PlumvaneError:
        return
    if isinstance(reply, DocumentData):
        current.offer(Revision(reply.revision, reply.document))

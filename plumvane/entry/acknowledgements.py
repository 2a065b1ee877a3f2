"""Acknowledgements of stored answers, joined for each sidecar."""

from __future__ import annotations

import anyio
import anyio.abc

from plumvane import clock
from plumvane.errors import PlumvaneError
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import Acknowledge

__all__ = ["AcknowledgementBatcher"]

# Acknowledgements to one sidecar are joined for this.
JOIN_S = 0.1
CALL_TIMEOUT_S = 2.0


class AcknowledgementBatcher:
    """Lets sidecars forget answers that the store holds.

    A lost acknowledgement is not repeated: the sidecar forgets the answer
    some time after its deadline.
    """

    def __init__(self, links: LinkPool, group: anyio.abc.TaskGroup) -> None:
        """Creates an empty joiner.

        Args:
            links: Connections to the sidecars.
            group: Task group of the calls.
        """
        self._links = links
        self._group = group
        self._ids_by_address: dict[str, list[str]] = {}

    def add(self, address: str, request_id: str) -> None:
        """Acknowledges a run's answer soon.

        Args:
            address: Peer address of the sidecar.
            request_id: Identifier of the run.
        """
        ids = self._ids_by_address.get(address)
        if ids is None:
            self._ids_by_address[address] = [request_id]
            self._group.start_soon(self._send, address)
        else:
            ids.append(request_id)

    async def _send(self, address: str) -> None:
        await anyio.sleep(JOIN_S)
        ids = self._ids_by_address.pop(address)
        try:
            await self._links.call(
                address,
                Acknowledge(tuple(ids)),
                deadline=clock.monotonic() + CALL_TIMEOUT_S,
            )
        except PlumvaneError:
            return

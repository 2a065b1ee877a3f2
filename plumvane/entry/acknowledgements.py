"""Acknowledgements of stored outcomes, sent in batches to each sidecar."""

from __future__ import annotations

import anyio
import anyio.abc

from plumvane import clock
from plumvane.errors import PlumvaneError
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import Acknowledge

__all__ = ["AcknowledgementBatcher"]

# Acknowledgements to one sidecar are collected for this time, in seconds.
BATCH_DELAY_S = 0.1
CALL_TIMEOUT_S = 2.0


class AcknowledgementBatcher:
    """Tells sidecars which outcomes are stored, so that they discard them.

    A lost acknowledgement is not sent again: the sidecar discards the outcome
    some time after the request's deadline.
    """

    def __init__(self, links: LinkPool, group: anyio.abc.TaskGroup) -> None:
        """Creates a batcher without pending acknowledgements.

        Args:
            links: Connections to the sidecars.
            group: Task group in which the batches are sent.
        """
        self._links = links
        self._group = group
        self._ids_by_address: dict[str, list[str]] = {}

    def add(self, address: str, request_id: str) -> None:
        """Adds a run to the next batch for a sidecar.

        Args:
            address: Peer address of the sidecar.
            request_id: Identifier of the run.
        """
        ids = self._ids_by_address.get(address)
        if ids is None:
            self._ids_by_address[address] = [request_id]
            self._group.start_soon(self._send_batch, address)
        else:
            ids.append(request_id)

    async def _send_batch(self, address: str) -> None:
        await anyio.sleep(BATCH_DELAY_S)
        ids = self._ids_by_address.pop(address)
        try:
            await self._links.call(
                address,
                Acknowledge(tuple(ids)),
                deadline=clock.monotonic() + CALL_TIMEOUT_S,
            )
        except PlumvaneError:
            return

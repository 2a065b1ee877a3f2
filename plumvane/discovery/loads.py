"""Loads of upstreams that other instances read."""

from __future__ import annotations

import anyio
import anyio.abc

from plumvane import clock, events
from plumvane.discovery.relayed import RelayedStore
from plumvane.errors import PlumvaneError
from plumvane.peers.messages import Message
from plumvane.peers.messages.loads import FollowLoads, UpstreamLoads
from plumvane.serving.upstreams import Load, Upstream, UpstreamTable

__all__ = ["WORKER_ROLE", "LoadFollower", "take_load"]

# Role under which the instances that read loads list themselves.
WORKER_ROLE = "worker"
# Pause between two looks for new workers, and before a lost one is called
# again, in seconds.
RETRY_S = 1.0


class LoadFollower:
    """Keeps one call open to each worker and takes in the loads it sends."""

    def __init__(
        self, name: str, peers: RelayedStore, upstreams: UpstreamTable
    ) -> None:
        """Creates the follower.

        Args:
            name: Name of this instance, which does not follow itself.
            peers: Finds and calls workers.
            upstreams: Takes the loads.
        """
        self._name = name
        self._peers = peers
        self._upstreams = upstreams
        self._followed_addresses: set[str] = set()

    async def run(self) -> None:
        """Follows the workers that are listed until it is cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                for address in self._new_addresses():
                    self._followed_addresses.add(address)
                    group.start_soon(self._follow, address)
                await anyio.sleep(RETRY_S)

    def _new_addresses(self) -> list[str]:
        return [
            entry.address
            for name, entry in self._peers.peers_by_name.items()
            if entry.role == WORKER_ROLE
            and name != self._name
            and entry.address not in self._followed_addresses
        ]

    async def _follow(self, address: str) -> None:
        """Takes the loads of one worker in until it is lost."""
        try:
            link = self._peers.links.link(address)
            async with link.open_call(FollowLoads(), self._take) as pending:
                await pending.reply()
        except PlumvaneError as error:
            events.log(
                events.Event.LOADS_LOST, peer=address, error=error.detail
            )
        await anyio.sleep(RETRY_S)
        self._followed_addresses.discard(address)

    def _take(self, part: Message) -> None:
        if not isinstance(part, UpstreamLoads):
            return
        now = clock.monotonic()
        for row in part.loads:
            upstream = self._upstreams.upstreams_by_id.get(row.upstream_id)
            if upstream is not None:
                load = Load(row.running, row.waiting)
                take_load(upstream, load, now - row.age_s)


def take_load(upstream: Upstream, load: Load, read_at: float) -> None:
    """Takes a load in; an upstream that was silent is used again.

    Args:
        upstream: The upstream.
        load: Its load.
        read_at: Monotonic time in seconds at which it was read.
    """
    was_silent = upstream.is_silent()
    upstream.update_load(load, read_at)
    if was_silent and not upstream.is_silent():
        events.log(events.Event.UPSTREAM_BACK, upstream=upstream.upstream_id)

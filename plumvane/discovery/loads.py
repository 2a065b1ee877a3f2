"""Subscriptions to the upstream loads that workers read."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc

from plumvane import clock, events
from plumvane.discovery.leaving import record_leaving
from plumvane.discovery.limits import record_max_rate
from plumvane.discovery.relayed import RelayedStore
from plumvane.errors import PlumvaneError
from plumvane.peers.messages import Message
from plumvane.peers.messages.loads import (
    FollowLoads,
    SilentUpstreams,
    UpstreamLoads,
)
from plumvane.serving.upstreams import Load, Upstream, UpstreamTable

__all__ = ["WORKER_ROLE", "LoadFollower", "apply_load"]

# Registered role of the instances that read the loads of upstreams.
WORKER_ROLE = "worker"
# Interval of the search for new workers, and delay before a reconnection, in
# seconds.
RETRY_S = 1.0


class LoadFollower:
    """Applies the upstream loads that each worker streams over an open call."""

    def __init__(
        self,
        name: str,
        peers: RelayedStore,
        upstreams: UpstreamTable,
        on_message: Callable[[Message], None],
        *,
        is_worker: bool = False,
        on_configuration: Callable[[int], None] = lambda revision: None,
    ) -> None:
        """Creates the follower.

        Args:
            name: Name of this instance, which is skipped as a worker.
            peers: Registered peers and the links to them.
            upstreams: Table to which the loads are applied.
            on_message: Called with the messages that workers send beside the
                loads.
            is_worker: Whether this instance is a worker, which also gets the
                items that other workers run.
            on_configuration: Called with the store's revision of the newest
                configuration that a worker knows.
        """
        self._name = name
        self._is_worker = is_worker
        self._peers = peers
        self._upstreams = upstreams
        self._on_message = on_message
        self._on_configuration = on_configuration
        self._followed_addresses: set[str] = set()

    async def run(self) -> None:
        """Follows all registered workers until cancelled."""
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
        """Applies the loads of one worker until the link to it fails."""
        try:
            link = self._peers.links.link(address)
            async with link.open_call(
                FollowLoads(self._is_worker), self._apply_part
            ) as pending:
                await pending.reply()
        except PlumvaneError as error:
            events.log(
                events.Event.LOADS_LOST, peer=address, error=error.detail
            )
        await anyio.sleep(RETRY_S)
        self._followed_addresses.discard(address)

    def _apply_part(self, part: Message) -> None:
        if isinstance(part, SilentUpstreams):
            self._apply_silence(part)
            return
        if not isinstance(part, UpstreamLoads):
            self._on_message(part)
            return
        if part.configuration_revision:
            self._on_configuration(part.configuration_revision)
        now = clock.monotonic()
        for row in part.loads:
            upstream = self._upstreams.upstreams_by_id.get(row.upstream_id)
            if upstream is not None:
                if row.started_ms == upstream.listed.started_ms:
                    record_max_rate(
                        upstream, row.max_rate, now - row.age_s, "peer"
                    )
                    if row.is_leaving:
                        record_leaving(upstream, "peer")
                    upstream.record_preemptible_items(row.items, now)
                    if row.pace is not None:
                        upstream.record_told_pace(row.pace, now)
                load = Load(row.running, row.waiting)
                apply_load(upstream, load, now - row.age_s)

    def _apply_silence(self, message: SilentUpstreams) -> None:
        """Spares the upstreams that are silent to the worker that reads them.

        Their last loads, which grow old, would make them look idle.
        """
        now = clock.monotonic()
        for row in message.upstreams:
            upstream = self._upstreams.upstreams_by_id.get(row.upstream_id)
            if (
                upstream is not None
                and row.started_ms == upstream.listed.started_ms
                and upstream.record_reported_silence(now)
            ):
                events.log(
                    events.Event.UPSTREAM_SILENT,
                    upstream=row.upstream_id,
                    load_age_s=round(min(upstream.load_age(now), 99.0), 2),
                    source="peer",
                )


def apply_load(upstream: Upstream, load: Load, read_at: float) -> None:
    """Updates the load of an upstream; a silent one becomes usable again.

    Args:
        upstream: The upstream.
        load: Load reported for it.
        read_at: Monotonic time in seconds at which the load was read.
    """
    was_silent = upstream.is_silent()
    upstream.update_load(load, read_at)
    if was_silent and not upstream.is_silent():
        events.log(events.Event.UPSTREAM_BACK, upstream=upstream.upstream_id)

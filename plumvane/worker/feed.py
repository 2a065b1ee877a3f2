"""Streams upstream loads that a worker reads to subscribed instances."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

import anyio

from plumvane import clock
from plumvane.peers.messages import Message
from plumvane.peers.messages.loads import (
    FollowLoads,
    RunningItems,
    SilentUpstream,
    SilentUpstreams,
    UpstreamLoad,
    UpstreamLoads,
)
from plumvane.peers.server import Call, PeerServer
from plumvane.serving.pace import ToldPace, has_changed
from plumvane.serving.upstreams import Upstream

__all__ = ["LoadFeed"]

# Samples from which a pace is told, and time in seconds after which it is told
# again, so that it does not age and new subscribers learn of it.
MIN_TOLD_SAMPLES = 3.0
TELLING_INTERVAL_S = 1.0


class LoadFeed:
    """Subscriptions of other instances to the loads that this worker reads.

    Attributes:
        snapshot: Returns the messages that a new subscriber gets first.
    """

    def __init__(self) -> None:
        """Creates a feed without subscribers."""
        self.snapshot: Callable[[], Iterable[Message]] = tuple
        self._configuration_revision = 0
        self._calls: set[Call] = set()
        self._worker_calls: set[Call] = set()
        # Paces that were told last, by upstream that this worker reads.
        self._told_by_id: dict[str, ToldPace] = {}

    def serve(self, server: PeerServer) -> None:
        """Registers the handler of subscriptions."""
        server.handle(FollowLoads, self._follow)

    def send(self, upstreams: Collection[Upstream], since: float) -> None:
        """Sends the loads that were read since a time to all subscribers.

        Args:
            upstreams: Upstreams whose loads this worker reads.
            since: Monotonic time in seconds; older loads were sent before.
        """
        now = clock.monotonic()
        for upstream_id in self._told_by_id.keys() - {
            upstream.upstream_id for upstream in upstreams
        }:
            del self._told_by_id[upstream_id]
        new_loads = []
        for upstream in upstreams:
            load = upstream.load
            age_s = upstream.load_age(now)
            if load is not None and age_s < now - since:
                new_loads.append(
                    UpstreamLoad(
                        upstream.upstream_id,
                        load.running,
                        load.waiting,
                        age_s,
                        upstream.is_leaving,
                        upstream.listed.started_ms,
                        upstream.max_rate,
                        upstream.preemptible_items(now),
                        self.pace_to_tell(upstream, now),
                    )
                )
        if new_loads:
            self.publish(UpstreamLoads(tuple(new_loads)))

    def pace_to_tell(self, upstream: Upstream, now: float) -> float | None:
        """Returns an upstream's pace if it is to be told, rounded."""
        estimate = upstream.pace_estimate
        if estimate is None or estimate.own_samples < MIN_TOLD_SAMPLES:
            return None
        told = self._told_by_id.get(upstream.upstream_id)
        if (
            told is not None
            and not has_changed(estimate.own_pace, told.pace)
            and now - told.told_at < TELLING_INTERVAL_S
        ):
            return None
        pace = round(estimate.own_pace, 2)
        self._told_by_id[upstream.upstream_id] = ToldPace(pace, now)
        return pace

    def send_silent(self, upstreams: Collection[Upstream]) -> None:
        """Sends which of the upstreams that this worker reads are silent.

        If half of them are, it is rather this worker that is cut off.

        Args:
            upstreams: Upstreams whose loads this worker reads.
        """
        silent = [upstream for upstream in upstreams if upstream.is_silent()]
        if silent and 2 * len(silent) < len(upstreams):
            rows = [
                SilentUpstream(u.upstream_id, u.listed.started_ms)
                for u in silent
            ]
            self.publish(SilentUpstreams(tuple(rows)))

    def send_configuration(self, revision: int) -> None:
        """Tells all subscribers which configuration this worker knows.

        Args:
            revision: The store's revision of the configuration.
        """
        self._configuration_revision = revision
        self.publish(UpstreamLoads((), revision))

    def publish(self, message: Message) -> None:
        """Sends a message to all subscribers."""
        for call in self._calls:
            call.send_part(message)

    def send_items(self, items: RunningItems) -> None:
        """Sends the items that this worker runs to the other workers."""
        for call in self._worker_calls:
            call.send_part(items)

    async def _follow(self, call: Call, message: FollowLoads) -> Message:
        call.send_part(UpstreamLoads((), self._configuration_revision))
        for first in self.snapshot():
            call.send_part(first)
        self._calls.add(call)
        if message.is_worker:
            self._worker_calls.add(call)
        try:
            await anyio.sleep_forever()
        finally:
            self._calls.discard(call)
            self._worker_calls.discard(call)
        raise AssertionError("A subscription ends only by cancellation.")

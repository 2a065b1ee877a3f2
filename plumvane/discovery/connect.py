"""Creates the store client and the fleet view of a process."""

from __future__ import annotations

import random

from plumvane.discovery.loads import WORKER_ROLE
from plumvane.discovery.mirror import WATCH_S
from plumvane.discovery.relayed import RelayedStore
from plumvane.discovery.view import FleetView
from plumvane.hashing import top_ranked
from plumvane.platform import names
from plumvane.platform.store import PlatformStore
from plumvane.serving.data_centres import Crossing
from plumvane.settings import DataCentresSection, WorkerSettings

__all__ = ["connect"]

# Delay between two reads of changes: a share of the time within which they must
# take effect, and at most so long, in seconds. Each process reads the changes,
# so that a release of many upstreams, or many configurations in quick
# succession, cost the store the more calls the shorter the delay is.
UPSTREAM_PAUSE_SHARE = 0.25
MAX_UPSTREAM_PAUSE_S = 1.0
OPERATOR_PAUSE_SHARE = 0.125
MAX_OPERATOR_PAUSE_S = 0.5
# Longest wait of a watch of the operators' keys, as a multiple of the time in
# which changes must take effect. Its response may be lost without a sign. A few
# workers watch for a shorter time, so that they notice that before the change
# must take effect, and tell all instances.
OPERATOR_WATCH_FACTOR = 5.0
SHORT_WATCH_FACTOR = 0.5
SHORT_WATCHERS = 2


def connect(
    settings: WorkerSettings,
    rng: random.Random,
    role: str,
    operator_watch_s: float = WATCH_S,
) -> tuple[RelayedStore, FleetView]:
    """Creates the store client, which can relay through peers, and the view.

    The caller must start the `run` method of both.

    Args:
        settings: Validated settings of the process.
        rng: Random source for the choice of peers and upstreams.
        role: Role of the process, published to its peers.
        operator_watch_s: Longest wait of a watch of the operators' keys, in
            seconds; it may be shorter.
    """
    process = settings.process
    apply_s = settings.routes.apply_ms / 1000
    store = RelayedStore(
        PlatformStore(settings.store.url),
        process.name,
        str(settings.peers.address),
        rng,
        role,
        listen_address=str(settings.peers.bind_address),
    )

    def longest_operator_watch_s() -> float:
        factor = OPERATOR_WATCH_FACTOR
        if role == WORKER_ROLE and process.name in _short_watchers(store):
            factor = SHORT_WATCH_FACTOR
        return min(operator_watch_s, factor * apply_s)

    view = FleetView(
        store,
        process.data_centre,
        rng,
        upstream_pause_s=min(
            UPSTREAM_PAUSE_SHARE * settings.upstreams.drain_ms / 1000,
            MAX_UPSTREAM_PAUSE_S,
        ),
        operator_pause_s=min(
            OPERATOR_PAUSE_SHARE * apply_s,
            MAX_OPERATOR_PAUSE_S,
        ),
        operator_watch_s=longest_operator_watch_s,
        outage_ended_at=store.outage_ended_at,
        crossing=_crossing(settings.data_centres),
        through_peers=store.through_peers,
    )
    return store, view


def _short_watchers(store: RelayedStore) -> list[str]:
    """Returns the workers that watch the operators' keys for a shorter time."""
    workers = [
        name
        for name, peer in store.peers_by_name.items()
        if peer.role == WORKER_ROLE
    ]
    return top_ranked(names.OPERATOR_PREFIX, workers, SHORT_WATCHERS)


def _crossing(section: DataCentresSection) -> Crossing | None:
    if section.leave != "when_it_pays":
        return None
    return Crossing(section.way_ms / 1000, section.crossing_cost_ms / 1000)

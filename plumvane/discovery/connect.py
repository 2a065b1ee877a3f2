"""Creates the store client and the fleet view of a process."""

from __future__ import annotations

import random

from plumvane.discovery.relayed import RelayedStore
from plumvane.discovery.view import FleetView
from plumvane.platform.store import PlatformStore
from plumvane.settings import WorkerSettings

__all__ = ["connect"]

# Delay between two reads of changed upstream entries: a share of the time in
# which an upstream that leaves must get no new request, and at most so long, in
# seconds. Each process reads the changes, so that a release of many upstreams
# costs the store the more calls the shorter the delay is.
UPSTREAM_PAUSE_SHARE = 0.25
MAX_UPSTREAM_PAUSE_S = 1.0


def connect(
    settings: WorkerSettings, rng: random.Random, role: str
) -> tuple[RelayedStore, FleetView]:
    """Creates the store client, which can relay through peers, and the view.

    The caller must start the `run` method of both.

    Args:
        settings: Validated settings of the process.
        rng: Random source for the choice of peers and upstreams.
        role: Role of the process, published to its peers.
    """
    process = settings.process
    store = RelayedStore(
        PlatformStore(settings.store.url),
        process.name,
        str(settings.peers.address),
        rng,
        role,
        listen_address=str(settings.peers.bind_address),
    )
    pause_s = min(
        UPSTREAM_PAUSE_SHARE * settings.upstreams.drain_ms / 1000,
        MAX_UPSTREAM_PAUSE_S,
    )
    view = FleetView(store, process.data_centre, rng, upstream_pause_s=pause_s)
    return store, view

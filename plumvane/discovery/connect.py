"""Creates the store client and the fleet view of a process."""

from __future__ import annotations

import random

from plumvane.discovery.relayed import RelayedStore
from plumvane.discovery.view import FleetView
from plumvane.platform.store import PlatformStore
from plumvane.settings import WorkerSettings

__all__ = ["connect"]


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
    return store, FleetView(store, process.data_centre, rng)

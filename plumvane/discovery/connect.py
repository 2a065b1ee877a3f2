"""The store and the view that every program on the platform starts with."""

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
    """Returns the store, through peers if need be, and the fleet's view.

    Both have a `run` that the caller starts.

    Args:
        settings: Checked settings of the program.
        rng: Chooses peers and upstreams.
        role: What the program does, for its peers.
    """
    process = settings.process
    store = RelayedStore(
        PlatformStore(settings.store.url),
        process.name,
        str(settings.peers.address),
        rng,
        role,
    )
    return store, FleetView(store, process.data_centre, rng)

"""Routes and upstreams in force, as this process knows them."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from plumvane import clock, events
from plumvane.discovery.mirror import Mirror
from plumvane.errors import ConfigurationError, ProtocolError
from plumvane.platform import names
from plumvane.platform.configuration import decode_configuration
from plumvane.platform.listing import decode_upstream
from plumvane.serving.routes import RouteTable
from plumvane.serving.upstreams import UpstreamTable
from plumvane.store.base import Record, Store

__all__ = ["FleetView"]

# Pause between two readings of the upstreams' entries, in seconds; a drain
# must be known within 2 s.
UPSTREAM_PAUSE_S = 0.5
# How long after an outage of the store an entry that lapsed in it may take to
# come back, in seconds: about two,
# as the platform documents.
RETURN_S = 2.3
# Pause between two looks for entries whose time to come back has passed, in
# seconds.
CHECK_S = 0.25


class FleetView:
    """Follows the operators' keys and the upstreams' entries."""

    def __init__(
        self, store: Store, data_centre: str, rng: random.Random
    ) -> None:
        """Creates an empty view.

        Args:
            store: The platform's store.
            data_centre: Data centre of this process.
            rng: Breaks ties.
        """
        self.routes: RouteTable | None = None
        self.upstreams = UpstreamTable(data_centre, rng)
        # Told each change of the operators' keys beside the configuration.
        self.on_operator_change: Callable[[Record], None] = _ignore
        self.operator_keys = Mirror(
            store, names.OPERATOR_PREFIX, self._take_operator_key
        )
        self._entries = Mirror(
            store,
            names.UPSTREAM_PREFIX,
            self._take_entry,
            pause_s=UPSTREAM_PAUSE_S,
        )
        self._unreadable_ids: set[str] = set()

    def is_loaded(self) -> bool:
        """Returns whether routes and upstreams have been read once."""
        return self.routes is not None and self._entries.loaded.is_set()

    async def run(self) -> None:
        """Follows the store until it is cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.operator_keys.run)
            group.start_soon(self._entries.run)
            group.start_soon(self._forget_missing)

    async def _forget_missing(self) -> None:
        while True:
            await anyio.sleep(CHECK_S)
            if self._entries.is_failing:
                continue
            for upstream in self.upstreams.remove_missing(clock.monotonic()):
                events.log(
                    events.Event.UPSTREAM_GONE,
                    upstream=upstream.upstream_id,
                    service=upstream.listed.service,
                    reason="not listed again",
                )

    def _take_operator_key(self, record: Record) -> None:
        if record.key == names.CONFIGURATION_KEY:
            self._take_configuration(record)
        else:
            self.on_operator_change(record)

    def _take_configuration(self, record: Record) -> None:
        if record.deleted:
            return
        try:
            found = decode_configuration(record.value)
        except ConfigurationError as error:
            events.log(
                events.Event.CONFIGURATION_UNREADABLE,
                revision=record.revision,
                error=error.detail,
            )
            return
        known = self.routes
        if known is not None and found.version <= known.version:
            return
        self.routes = found
        events.log(
            events.Event.CONFIGURATION_IN_FORCE,
            version=found.version,
            before=known.version if known else None,
            revision=record.revision,
        )

    def _take_entry(self, record: Record) -> None:
        upstream_id = record.key.removeprefix(names.UPSTREAM_PREFIX)
        if record.deleted:
            self._unreadable_ids.discard(upstream_id)
            self._take_removal(upstream_id)
            return
        try:
            listed = decode_upstream(upstream_id, record.value)
        except ProtocolError as error:
            if upstream_id not in self._unreadable_ids:
                self._unreadable_ids.add(upstream_id)
                events.log(
                    events.Event.UPSTREAM_UNREADABLE,
                    upstream=upstream_id,
                    revision=record.revision,
                    error=error.detail,
                )
            self._take_removal(upstream_id)
            return
        self._unreadable_ids.discard(upstream_id)
        if self.upstreams.put(listed):
            events.log(
                events.Event.UPSTREAM_LISTED,
                upstream=upstream_id,
                service=listed.service,
                address=f"{listed.host}:{listed.port}",
                draining=listed.is_draining,
                started_ms=listed.started_ms,
                revision=record.revision,
            )

    def _take_removal(self, upstream_id: str) -> None:
        now = clock.monotonic()
        return_deadline = self._entries.returned_at + RETURN_S
        if now < return_deadline:
            self.upstreams.keep_until(upstream_id, return_deadline)
            return
        gone = self.upstreams.remove(upstream_id)
        if gone is not None:
            events.log(
                events.Event.UPSTREAM_GONE,
                upstream=upstream_id,
                service=gone.listed.service,
                reason="entry removed",
            )


def _ignore(record: Record) -> None:
    """Takes a change that this process has no use for."""

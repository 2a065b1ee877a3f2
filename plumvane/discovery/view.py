"""Routes in force and registered upstreams, followed in the store."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import anyio

from plumvane import clock, events
from plumvane.discovery.mirror import WATCH_S, Mirror
from plumvane.errors import (
    ConfigurationError,
    PlumvaneError,
    ProtocolError,
)
from plumvane.platform import names
from plumvane.platform.configuration import decode_configuration
from plumvane.platform.listing import decode_upstream
from plumvane.serving.data_centres import Crossing
from plumvane.serving.routes import RouteTable
from plumvane.serving.upstreams import ListedUpstream, UpstreamTable
from plumvane.serving.versions import VersionHistory
from plumvane.store.base import Record, Store

__all__ = ["FleetView"]

# Delay between two reads of changed upstream entries, in seconds: a quarter of
# the shortest time in which the state `draining` has to take effect.
UPSTREAM_PAUSE_S = 0.5
# Longest wait of a watch of the upstreams' entries, in seconds. The first of a
# few heartbeats ends it. A response that is lost is noticed before an upstream
# that is draining must get no more requests.
UPSTREAM_WATCH_S = 1.5
# Time after an outage of the store in which an entry that expired during it may
# be registered again, in seconds. The platform documents about two seconds.
REREGISTRATION_TIMEOUT_S = 2.3
# Time after which a configuration that a worker has told is read if its watch
# has not reported it, in seconds, besides the delay between two reads; delay
# after a failed read.
TOLD_MARGIN_S = 0.1
TOLD_RETRY_S = 0.25
# Interval of the check for upstreams that were not registered again in time,
# in seconds.
CHECK_INTERVAL_S = 0.25


class FleetView:
    """Follows the operators' keys and the entries of upstreams."""

    def __init__(
        self,
        store: Store,
        data_centre: str,
        rng: random.Random,
        *,
        upstream_pause_s: float = UPSTREAM_PAUSE_S,
        operator_pause_s: float = 0.0,
        operator_watch_s: Callable[[], float] = lambda: WATCH_S,
        outage_ended_at: Callable[[], float] = lambda: float("-inf"),
        crossing: Crossing | None = None,
        through_peers: Store | None = None,
    ) -> None:
        """Creates an empty view.

        Args:
            store: The platform's store.
            data_centre: Data centre of this process.
            rng: Random source that breaks ties between upstreams.
            upstream_pause_s: Delay between two reads of changed upstream
                entries, in seconds.
            operator_pause_s: The same for the operators' keys.
            operator_watch_s: Returns the longest wait of the next watch of the
                operators' keys, in seconds.
            outage_ended_at: Returns the monotonic time in seconds at which the
                last outage of the store ended, infinite while it lasts.
            crossing: What it costs to leave the data centre; None if that is
                only left between equals.
            through_peers: The store as peers reach it; None if there are none.
        """
        self._store = store
        self._through_peers = through_peers
        self._outage_ended_at = outage_ended_at
        self._configuration_read_at = float("-inf")
        # The store's revisions of the newest configuration that was received,
        # and of the newest that a worker has told.
        self._received_revision = 0
        self._told_revision = 0
        self._told = anyio.Event()
        self._told_delay_s = operator_pause_s + TOLD_MARGIN_S
        self.routes: RouteTable | None = None
        self.upstreams = UpstreamTable(data_centre, rng, crossing)
        self.versions = VersionHistory()
        # Called when the listed versions of a service change.
        self.on_versions_change: Callable[[], None] = lambda: None
        # Called with the store's revision of each configuration received.
        self.on_configuration: Callable[[int], None] = lambda revision: None
        # Called with each change of an operators' key other than the
        # configuration.
        self.on_operator_change: Callable[[Record], None] = _ignore
        self.operator_keys = Mirror(
            store,
            names.OPERATOR_PREFIX,
            self._apply_operator_key,
            pause_s=operator_pause_s,
            watch_s=operator_watch_s,
        )
        self._entries = Mirror(
            store,
            names.UPSTREAM_PREFIX,
            self._apply_entry,
            pause_s=upstream_pause_s,
            watch_s=lambda: UPSTREAM_WATCH_S,
        )
        self._unreadable_ids: set[str] = set()

    def is_loaded(self) -> bool:
        """Returns whether the routes and the upstreams have been loaded."""
        return self.routes is not None and self._entries.loaded.is_set()

    def follows_upstreams(self) -> bool:
        """Returns whether the listing of upstreams is being followed."""
        return not self._entries.is_failing

    def upstreams_current_at(self) -> float:
        """Returns up to when the listing of upstreams has all changes.

        The time is a monotonic one in seconds.
        """
        return self._entries.current_at

    async def confirm_upstreams(self) -> None:
        """Makes sure that the listing of upstreams has all changes until now.

        Raises:
            PlumvaneError: Neither the store nor a peer responds.
        """
        await self._entries.confirm()

    def configuration_current_at(self) -> float:
        """Returns up to when the configuration in force has all changes.

        The time is a monotonic one in seconds.
        """
        return max(self.operator_keys.current_at, self._configuration_read_at)

    def describe_configuration(self) -> dict[str, object]:
        """Returns fields for the log of decisions by the configuration.

        `age_s` is the time since it was known to have all changes, and
        `wait_s` the time for which the watch for changes has waited, in
        seconds; None if it does not apply.
        """
        now = clock.monotonic()
        waiting_since = self.operator_keys.waiting_since
        return {
            "version": self.routes.version if self.routes else None,
            "revision": self.operator_keys.revision,
            "age_s": _age_s(self.configuration_current_at(), now),
            "wait_s": _age_s(waiting_since, now),
        }

    async def read_configuration(self, store: Store | None = None) -> None:
        """Reads the configuration once, without waiting for its watch.

        Args:
            store: Where to read it; by default the store, or a peer if the
                store does not respond.

        Raises:
            PlumvaneError: Neither the store nor a peer responds.
        """
        sent_at = clock.monotonic()
        record = await (store or self._store).get(names.CONFIGURATION_KEY)
        if record is not None:
            if record.revision > self._received_revision:
                self.operator_keys.end_wait()
            self._apply_configuration(record)
        self._configuration_read_at = sent_at

    def record_told_configuration(self, revision: int) -> None:
        """Records that a worker knows a configuration.

        It is read if the watch for it does not report it soon.

        Args:
            revision: The store's revision of the configuration.
        """
        if revision > max(self._told_revision, self._received_revision):
            self._told_revision = revision
            self._told.set()

    async def _read_told(self) -> None:
        while True:
            await self._told.wait()
            self._told = anyio.Event()
            await anyio.sleep(self._told_delay_s)
            # A worker that has it reaches the store; this process may not.
            store = self._through_peers
            while self._received_revision < self._told_revision:
                events.log(
                    events.Event.CONFIGURATION_BEHIND,
                    told=self._told_revision,
                    received=self._received_revision,
                    **self.describe_configuration(),
                )
                try:
                    await self.read_configuration(store)
                    self._told_revision = self._received_revision
                except PlumvaneError as error:
                    events.log(
                        events.Event.CONFIGURATION_UNCONFIRMED, error=str(error)
                    )
                    store = None
                    await anyio.sleep(TOLD_RETRY_S)

    async def run(self) -> None:
        """Follows the store until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.operator_keys.run)
            group.start_soon(self._entries.run)
            group.start_soon(self._remove_missing)
            group.start_soon(self._read_told)

    async def _remove_missing(self) -> None:
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._entries.is_failing:
                continue
            if self._outage_ended_at() == math.inf:
                self.upstreams.extend_missing(
                    clock.monotonic() + REREGISTRATION_TIMEOUT_S
                )
                continue
            for upstream in self.upstreams.remove_missing(clock.monotonic()):
                events.log(
                    events.Event.UPSTREAM_GONE,
                    upstream=upstream.upstream_id,
                    service=upstream.listed.service,
                    reason="not listed again",
                )
                self._update_versions(upstream.listed.service)

    def _apply_operator_key(self, record: Record) -> None:
        if record.key == names.CONFIGURATION_KEY:
            self._apply_configuration(record)
        else:
            self.on_operator_change(record)

    def _apply_configuration(self, record: Record) -> None:
        if record.deleted or record.revision <= self._received_revision:
            return
        self._received_revision = record.revision
        self.on_configuration(record.revision)
        try:
            routes = decode_configuration(record.value)
        except ConfigurationError as error:
            events.log(
                events.Event.CONFIGURATION_UNREADABLE,
                revision=record.revision,
                error=error.detail,
            )
            return
        current_routes = self.routes
        if (
            current_routes is not None
            and routes.version <= current_routes.version
        ):
            return
        self.routes = routes
        events.log(
            events.Event.CONFIGURATION_IN_FORCE,
            version=routes.version,
            before=current_routes.version if current_routes else None,
            revision=record.revision,
            before_age_s=_age_s(
                self.configuration_current_at(), clock.monotonic()
            ),
        )

    def _apply_entry(self, record: Record) -> None:
        upstream_id = record.key.removeprefix(names.UPSTREAM_PREFIX)
        if record.deleted:
            self._unreadable_ids.discard(upstream_id)
            self._apply_removal(upstream_id)
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
            self._apply_removal(upstream_id)
            return
        self._unreadable_ids.discard(upstream_id)
        self.add_upstream(listed, record.revision)

    def add_upstream(self, listed: ListedUpstream, revision: int = 0) -> None:
        """Adds or updates a listed upstream.

        Args:
            listed: The upstream.
            revision: Revision of its entry.
        """
        if self.upstreams.put(listed):
            events.log(
                events.Event.UPSTREAM_LISTED,
                upstream=listed.upstream_id,
                service=listed.service,
                address=f"{listed.host}:{listed.port}",
                draining=listed.is_draining,
                version=listed.version,
                started_ms=listed.started_ms,
                revision=revision,
            )
        self._update_versions(listed.service)

    def _update_versions(self, service: str) -> None:
        versions = self.upstreams.versions(service)
        if self.versions.update(service, versions, clock.monotonic()):
            self.on_versions_change()

    def _apply_removal(self, upstream_id: str) -> None:
        now = clock.monotonic()
        # A watch that waits through an outage does not fail, and still reports
        # the entries that expired in it.
        ended_at = max(self._entries.recovered_at, self._outage_ended_at())
        reregistration_deadline = min(ended_at, now) + REREGISTRATION_TIMEOUT_S
        if now < reregistration_deadline:
            self.upstreams.keep_until(upstream_id, reregistration_deadline)
            return
        removed = self.upstreams.remove(upstream_id)
        if removed is not None:
            self._update_versions(removed.listed.service)
            events.log(
                events.Event.UPSTREAM_GONE,
                upstream=upstream_id,
                service=removed.listed.service,
                reason="entry removed",
            )


def _age_s(time: float | None, now: float) -> float | None:
    """Returns the seconds since a monotonic time, or None if there is none."""
    if time is None or math.isinf(time):
        return None
    return round(now - time, 2)


def _ignore(record: Record) -> None:
    """Ignores a change of an operators' key."""

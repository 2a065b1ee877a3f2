"""Upstreams of services: what the platform lists and what calls show."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

__all__ = ["ListedUpstream", "Load", "Upstream", "UpstreamTable"]

# Time for which an upstream gets no new work after a failed connection, in
# seconds; doubled by each further failure up to the maximum. A crashed
# upstream stays listed for three heartbeats.
EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Reports in a row that a silent upstream leaves out; a single one may be lost
# with its connection.
SILENT_REPORTS = 3
# A reported load older than this says nothing, in seconds; requests last
# about a second.
LOAD_FRESH_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream as the platform lists it.

    Attributes:
        upstream_id: Identifier; may come back after a restart.
        service: Name of its service.
        host: IP number.
        port: TCP port.
        data_centre: Data centre that it stands in.
        slots: Requests that it runs at once.
        is_draining: Whether it has announced that it leaves.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
        report_number: Number of the heartbeat; starts anew with the process.
    """

    upstream_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_draining: bool
    started_ms: int
    report_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that an upstream reported.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it can run at once; 0 if it did not tell.
    """

    running: int
    waiting: int
    slots: int = 0


class Upstream:
    """One incarnation of an upstream and the load that is known of it."""

    def __init__(self, listed: ListedUpstream) -> None:
        """Creates an idle upstream.

        Args:
            listed: How the platform lists it.
        """
        self.listed = listed
        self.in_flight = 0
        self.batch_in_flight = 0
        self.missing_deadline: float | None = None
        self._load: Load | None = None
        # Slots that it reported; 0 before.
        self._slots = 0
        self._load_at = 0.0
        self._in_flight_at_load = 0
        self._failures = 0
        self._ejected_until = 0.0
        self._missed_reports = 0

    @property
    def upstream_id(self) -> str:
        """Identifier of the upstream."""
        return self.listed.upstream_id

    @property
    def slots(self) -> int:
        """Requests that it runs at once."""
        return self._slots or max(1, self.listed.slots)

    @property
    def load(self) -> Load | None:
        """The newest load that it reported."""
        return self._load

    def update_load(self, load: Load, read_at: float) -> None:
        """Takes a reported load in, unless a newer one is known.

        Args:
            load: The load; without its slots, the known ones stay.
            read_at: Monotonic time in seconds at which it was read.
        """
        if read_at < self._load_at:
            return
        self._missed_reports = 0
        self._load = load
        self._load_at = read_at
        self._in_flight_at_load = self.in_flight
        if load.slots:
            self._slots = load.slots

    def record_missed_report(self) -> bool:
        """Takes in that it did not answer when it was asked for its load.

        Returns:
            Whether it counts as silent from now on.
        """
        self._missed_reports += 1
        return self._missed_reports == SILENT_REPORTS

    def is_silent(self) -> bool:
        """Returns whether it has left several reports in a row out."""
        return self._missed_reports >= SILENT_REPORTS

    def load_age(self, now: float) -> float:
        """Returns the age of the reported load in seconds."""
        return now - self._load_at if self._load is not None else float("inf")

    def estimated_load(self, now: float) -> int:
        """Returns the requests that it is likely to hold, of all callers."""
        if self._load is None or self.load_age(now) > LOAD_FRESH_S:
            return self.in_flight
        reported = self._load.running + self._load.waiting
        since = self.in_flight - self._in_flight_at_load
        return max(self.in_flight, reported + since)

    def waiting(self, now: float) -> int:
        """Returns the requests in its queue by its last fresh report."""
        if self._load is None or self.load_age(now) > LOAD_FRESH_S:
            return 0
        return self._load.waiting

    def record_failure(self, now: float) -> float:
        """Ejects it after a failure.

        Returns:
            Monotonic time in seconds at which it is tried again.
        """
        span = min(EJECTION_S * 2**self._failures, MAX_EJECTION_S)
        self._failures += 1
        self._ejected_until = now + span
        return self._ejected_until

    def record_success(self) -> bool:
        """Takes in that it answered.

        Returns:
            Whether it had failed before.
        """
        had_failed = self._failures > 0
        self._failures = 0
        self._ejected_until = 0.0
        return had_failed

    def is_ejected(self, now: float) -> bool:
        """Returns whether it gets no new work because it failed."""
        return now < self._ejected_until or self.is_silent()


class UpstreamTable:
    """Upstreams by identifier, and the choice among those of a service."""

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        """Creates an empty table.

        Args:
            data_centre: Data centre of this process.
            rng: Breaks ties.
        """
        self.upstreams_by_id: dict[str, Upstream] = {}
        self._data_centre = data_centre
        self._rng = rng

    def put(self, listed: ListedUpstream) -> bool:
        """Takes in how the platform lists an upstream.

        Returns:
            Whether anything but the number of its heartbeat changed.
        """
        known = self.upstreams_by_id.get(listed.upstream_id)
        if known is None or self._is_restart(known.listed, listed):
            self.upstreams_by_id[listed.upstream_id] = Upstream(listed)
            return True
        before = dataclasses.replace(known.listed, report_number=0)
        changed = before != dataclasses.replace(listed, report_number=0)
        changed = changed or known.missing_deadline is not None
        known.listed = listed
        known.missing_deadline = None
        return changed

    def remove(self, upstream_id: str) -> Upstream | None:
        """Forgets an upstream.

        Returns:
            The upstream, or None if it was not known.
        """
        return self.upstreams_by_id.pop(upstream_id, None)

    def keep_until(self, upstream_id: str, deadline: float) -> None:
        """Keeps an upstream whose entry is gone for some time.

        Args:
            upstream_id: Its identifier.
            deadline: Monotonic time in seconds after which it is gone.
        """
        known = self.upstreams_by_id.get(upstream_id)
        if known is not None and known.missing_deadline is None:
            known.missing_deadline = deadline

    def remove_missing(self, now: float) -> list[Upstream]:
        """Forgets the upstreams whose time to come back has passed."""
        gone = [
            upstream
            for upstream in self.upstreams_by_id.values()
            if upstream.missing_deadline is not None
            and upstream.missing_deadline <= now
        ]
        for upstream in gone:
            del self.upstreams_by_id[upstream.upstream_id]
        return gone

    def ready(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service that are not draining."""
        return [
            upstream
            for upstream in self.upstreams_by_id.values()
            if upstream.listed.service == service
            and not upstream.listed.is_draining
        ]

    def choose(
        self, service: str, now: float, excluded_ids: Iterable[str] = ()
    ) -> Upstream | None:
        """Returns the upstream of a service that has the next request soonest.

        Each instance spreads its own requests evenly and avoids queues. All
        see the same loads some tenths of a second late, so if each took the
        least loaded upstream they would all send to it until the next reading.

        Args:
            service: Name of the service.
            now: Monotonic time in seconds.
            excluded_ids: Upstreams that must not be taken.

        Returns:
            The upstream; one that was ejected only if no other is left.
        """
        excluded = frozenset(excluded_ids)
        found = [
            u for u in self.ready(service) if u.upstream_id not in excluded
        ]
        sound = [u for u in found if not u.is_ejected(now)]
        candidates = sound or found
        if not candidates:
            return None
        return min(candidates, key=lambda u: self._rank(u, now))

    def _rank(self, upstream: Upstream, now: float) -> tuple[int, bool, float]:
        expected = upstream.in_flight + upstream.waiting(now)
        is_remote = upstream.listed.data_centre != self._data_centre
        return expected, is_remote, self._rng.random()

    @staticmethod
    def _is_restart(known: ListedUpstream, listed: ListedUpstream) -> bool:
        if listed.started_ms != known.started_ms:
            return listed.started_ms > known.started_ms
        return (listed.host, listed.port, listed.service) != (
            known.host,
            known.port,
            known.service,
        )

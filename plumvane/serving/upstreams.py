"""Upstreams of services: their listing, load, health and selection."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

from plumvane import clock
from plumvane.serving.data_centres import Crossing, Leaving, Place
from plumvane.serving.pace import (
    PaceEstimate,
    PaceSamples,
    ToldPace,
    estimate_paces,
)
from plumvane.serving.selection import (
    Viewpoint,
    expected_completion,
    least_outstanding,
    select,
    taken_slots,
)

__all__ = [
    "MAX_LOAD_AGE_S",
    "ListedUpstream",
    "Load",
    "Upstream",
    "UpstreamTable",
]

# Time for which an upstream is ejected after a failed connection, in seconds;
# doubled by each further failure up to the maximum. Ejection is needed since a
# crashed upstream stays listed for three heartbeats.
EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Consecutive load reports that must be missed before an upstream counts as
# silent; a single one may be lost with its connection.
SILENT_REPORTS = 3
# Time for which a report counts that an upstream is silent, in seconds; it is
# repeated while that is so. A response within the shorter time refutes it.
SILENCE_REPORT_S = 1.0
RESPONSE_REFUTES_S = 0.3
# Age in seconds from which a reported load is ignored; requests last about a
# second.
MAX_LOAD_AGE_S = 1.0
# Interval in which the paces of a service are estimated, in seconds.
PACE_INTERVAL_S = 0.4
# Interval in which the share that leaves the data centre is found, in seconds:
# that of the load reports.
SHARE_INTERVAL_S = 0.1
# Number of removed upstreams whose state is kept in case they are listed again.
MAX_REMOVED = 256


@dataclasses.dataclass(frozen=True, slots=True)
class ListedUpstream:
    """Record of an upstream in the platform's listing.

    Attributes:
        upstream_id: Identifier; may be reused after a restart.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        data_centre: Data centre in which it runs.
        slots: Number of requests that it runs concurrently.
        is_draining: Whether it has announced its shutdown.
        version: Version of its software; versions have no order.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
        report_number: Sequence number of the heartbeat; restarts with the
            process.
    """

    upstream_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_draining: bool
    version: str
    started_ms: int
    report_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load reported by an upstream.

    Attributes:
        running: Number of requests that it runs.
        waiting: Number of requests in its queue.
        slots: Number of requests that it can run concurrently; 0 if not
            reported.
        pace: How many times as long as usual work takes there at this moment,
            which changes many times a second; None if not reported.
    """

    running: int
    waiting: int
    slots: int = 0
    pace: float | None = None


class Upstream:
    """State of one incarnation of an upstream: load, failures and ejection."""

    def __init__(self, listed: ListedUpstream) -> None:
        """Creates an idle upstream.

        Args:
            listed: Its record in the platform's listing.
        """
        self.listed = listed
        self.in_flight = 0
        # How many times as long as usual for its service work takes there.
        self.pace = 1.0
        self.pace_samples = PaceSamples()
        # The last estimate; None before the first.
        self.pace_estimate: PaceEstimate | None = None
        # Whether it has reported its pace, or a worker has told it.
        self.reports_pace = False
        # Batch items there that workers preempt for waiting requests, and the
        # monotonic time in seconds at which that was told.
        self._preemptible_items = 0
        self._preemptible_at = float("-inf")
        self.batch_in_flight = 0
        self.missing_deadline: float | None = None
        # Monotonic time in seconds at which its entry was removed.
        self.removed_at: float | None = None
        # Whether it has announced its shutdown in an answer. Unlike the listed
        # state, this is never revoked.
        self.is_leaving = False
        # Requests per second that it accepts from all senders together.
        self.max_rate: float | None = None
        # Monotonic time in seconds until which there is no permit for it.
        self.held_until = 0.0
        self._max_rate_at = 0.0
        self._load: Load | None = None
        # Slots that it last reported; 0 before the first report.
        self._slots = 0
        self._load_at = 0.0
        self._in_flight_at_load = 0
        self._failures = 0
        self._ejected_until = 0.0
        self._missed_reports = 0
        self._reported_silent_until = 0.0
        self._answered_at = float("-inf")

    @property
    def upstream_id(self) -> str:
        """Identifier of the upstream."""
        return self.listed.upstream_id

    @property
    def slots(self) -> int:
        """Number of requests that it runs concurrently."""
        return self._slots or max(1, self.listed.slots)

    @property
    def load(self) -> Load | None:
        """The newest reported load."""
        return self._load

    def update_load(self, load: Load, read_at: float) -> None:
        """Records a reported load unless a newer one is known.

        Args:
            load: The load; if it has no slots, the known number is kept.
            read_at: Monotonic time in seconds at which it was read.
        """
        if read_at < self._load_at:
            return
        self._missed_reports = 0
        self._reported_silent_until = 0.0
        self._load = load
        self._load_at = read_at
        self._in_flight_at_load = self.in_flight
        if load.slots:
            self._slots = load.slots
        if load.pace is not None:
            self.reports_pace = True
            self.pace_samples.record_figure(load.pace, read_at)

    def record_preemptible_items(self, items: int, now: float) -> None:
        """Records the batch items that workers preempt for requests.

        Args:
            items: Number of the items that run there.
            now: Monotonic time in seconds.
        """
        self._preemptible_items = items
        self._preemptible_at = now

    def preemptible_items(self, now: float) -> int:
        """Returns the batch items that workers preempt for requests.

        Answers the loss of the worker that tells them, while answers still tell
        the load: without fresh news there are none.
        """
        if now - self._preemptible_at > MAX_LOAD_AGE_S:
            return 0
        return self._preemptible_items

    def record_told_pace(self, pace: float, now: float) -> None:
        """Records its pace as a worker has measured it.

        Args:
            pace: The pace.
            now: Monotonic time in seconds.
        """
        self.reports_pace = True
        self.pace_samples.told = ToldPace(pace, now)

    def record_leaving(self) -> bool:
        """Records that it has announced its shutdown in an answer.

        Returns:
            Whether it had not done so before.
        """
        is_new = not self.is_leaving
        self.is_leaving = True
        return is_new

    def update_max_rate(self, max_rate: float | None, read_at: float) -> bool:
        """Records the rate that it accepts unless a newer one is known.

        Args:
            max_rate: Requests per second from all senders; None for no limit.
            read_at: Monotonic time in seconds at which it was read.

        Returns:
            Whether the rate changed.
        """
        if read_at < self._max_rate_at:
            return False
        self._max_rate_at = read_at
        has_changed = max_rate != self.max_rate
        self.max_rate = max_rate
        if max_rate is None:
            self.held_until = 0.0
        return has_changed

    def is_held(self, now: float) -> bool:
        """Returns whether it gets no request, to keep to its limit."""
        return now < self.held_until

    def record_missed_report(self) -> bool:
        """Records that it did not answer a request for its load.

        Returns:
            Whether it counts as silent from now on.
        """
        self._missed_reports += 1
        return self._missed_reports == SILENT_REPORTS

    def is_silent(self) -> bool:
        """Returns whether it has missed several load reports in a row."""
        return self._missed_reports >= SILENT_REPORTS

    def record_reported_silence(self, now: float) -> bool:
        """Records that the worker that reads its load gets no answer.

        Returns:
            Whether it counts as silent from now on.
        """
        if now - self._answered_at < RESPONSE_REFUTES_S:
            return False
        is_new = now >= self._reported_silent_until
        self._reported_silent_until = now + SILENCE_REPORT_S
        return is_new

    def load_age(self, now: float) -> float:
        """Returns the age of the reported load, infinite without one."""
        return now - self._load_at if self._load is not None else float("inf")

    def estimated_load(self, now: float) -> int:
        """Estimates the number of requests that it runs or queues.

        The report is corrected by this process's requests since then. Without a
        fresh report, only this process's requests are counted.
        """
        if self._load is None or self.load_age(now) > MAX_LOAD_AGE_S:
            return self.in_flight
        reported = self._load.running + self._load.waiting
        since = self.in_flight - self._in_flight_at_load
        return max(self.in_flight, reported + since)

    def waiting(self, now: float) -> int:
        """Returns its queue length at the last report; 0 if that is stale."""
        if self._load is None or self.load_age(now) > MAX_LOAD_AGE_S:
            return 0
        return self._load.waiting

    def record_failure(self, now: float) -> float:
        """Records a failure and ejects it.

        Returns:
            Monotonic time in seconds at which the ejection ends.
        """
        duration = min(EJECTION_S * 2**self._failures, MAX_EJECTION_S)
        self._failures += 1
        self._ejected_until = now + duration
        return self._ejected_until

    def record_response(self, now: float) -> None:
        """Records a response, which refutes that it is silent."""
        self._answered_at = now
        self._reported_silent_until = 0.0

    def record_success(self) -> bool:
        """Records an answer, which ends an ejection after failures.

        Returns:
            Whether it had failed before.
        """
        had_failed = self._failures > 0
        self._failures = 0
        self._ejected_until = 0.0
        return had_failed

    def is_ejected(self, now: float) -> bool:
        """Returns whether it gets no new work after failures or silence."""
        return (
            now < self._ejected_until
            or now < self._reported_silent_until
            or self.is_silent()
        )


class UpstreamTable:
    """Upstreams by identifier, with selection among those of a service."""

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        crossing: Crossing | None = None,
    ) -> None:
        """Creates an empty table.

        Args:
            data_centre: Data centre of this process.
            rng: Random source that breaks ties.
            crossing: What it costs to leave the data centre, for services whose
                upstreams report their pace; None if that is only left between
                equals.
        """
        self.upstreams_by_id: dict[str, Upstream] = {}
        self._data_centre = data_centre
        self._rng = rng
        self._crossing = crossing
        self._leaving_by_service: dict[str, Leaving] = {}
        # Times in seconds at which they are due, and the shares that leave.
        self._shares_by_service: dict[str, tuple[float, float]] = {}
        # Removed upstreams in the order of their removal.
        self._removed_by_id: dict[str, Upstream] = {}
        # Times in seconds at which the paces are due, and whether the service
        # reports them.
        self._paces_by_service: dict[str, tuple[float, bool]] = {}

    def put(self, listed: ListedUpstream) -> bool:
        """Adds or updates an upstream from the platform's listing.

        An upstream that is listed again after its removal keeps its state,
        unless it was restarted.

        Returns:
            Whether anything but the heartbeat number changed.
        """
        upstream_id = listed.upstream_id
        removed = self._removed_by_id.pop(upstream_id, None)
        known = self.upstreams_by_id.get(upstream_id, removed)
        if known is None or self._is_restart(known.listed, listed):
            self.upstreams_by_id[upstream_id] = Upstream(listed)
            return True
        self.upstreams_by_id[upstream_id] = known
        before = dataclasses.replace(known.listed, report_number=0)
        changed = before != dataclasses.replace(listed, report_number=0)
        changed = changed or removed is not None
        changed = changed or known.missing_deadline is not None
        known.listed = listed
        known.missing_deadline = None
        known.removed_at = None
        return changed

    def remove(self, upstream_id: str) -> Upstream | None:
        """Removes an upstream.

        Returns:
            The upstream, or None if it was not in the table.
        """
        removed = self.upstreams_by_id.pop(upstream_id, None)
        if removed is not None:
            removed.removed_at = clock.monotonic()
            self._removed_by_id[upstream_id] = removed
            while len(self._removed_by_id) > MAX_REMOVED:
                del self._removed_by_id[next(iter(self._removed_by_id))]
        return removed

    def find(self, upstream_id: str) -> Upstream | None:
        """Returns an upstream, also one that was removed lately."""
        return self.upstreams_by_id.get(
            upstream_id, self._removed_by_id.get(upstream_id)
        )

    def keep_until(self, upstream_id: str, deadline: float) -> None:
        """Keeps an upstream that is missing from the listing for some time.

        Args:
            upstream_id: Identifier of the upstream.
            deadline: Monotonic time in seconds at which it is removed unless
                it is listed again.
        """
        known = self.upstreams_by_id.get(upstream_id)
        if known is not None and known.missing_deadline is None:
            known.missing_deadline = deadline

    def extend_missing(self, deadline: float) -> None:
        """Keeps all upstreams that are missing until a later deadline."""
        for upstream in self.upstreams_by_id.values():
            if upstream.missing_deadline is not None:
                upstream.missing_deadline = max(
                    upstream.missing_deadline, deadline
                )

    def remove_missing(self, now: float) -> list[Upstream]:
        """Removes and returns the upstreams missing beyond their deadline."""
        expired = [
            upstream
            for upstream in self.upstreams_by_id.values()
            if upstream.missing_deadline is not None
            and upstream.missing_deadline <= now
        ]
        for upstream in expired:
            self.remove(upstream.upstream_id)
        return expired

    def ready(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service that accept new requests.

        Neither their listed state nor an answer has announced a shutdown.
        """
        return [
            upstream
            for upstream in self.upstreams_by_id.values()
            if upstream.listed.service == service
            and not upstream.listed.is_draining
            and not upstream.is_leaving
        ]

    def versions(self, service: str) -> frozenset[str]:
        """Returns the versions of a service's upstreams, draining ones too."""
        return frozenset(
            upstream.listed.version
            for upstream in self.upstreams_by_id.values()
            if upstream.listed.service == service
        )

    def choose(
        self,
        service: str,
        now: float,
        excluded_ids: Iterable[str] = (),
        version: str | None = None,
    ) -> Upstream | None:
        """Selects the upstream of a service for the next request.

        Args:
            service: Name of the service.
            now: Monotonic time in seconds.
            excluded_ids: Identifiers of upstreams that must not be selected.
            version: The only version that may be selected; None for any.

        Returns:
            The upstream, or None if there is none that is not held; an ejected
            one only if no other is eligible.
        """
        candidates = [
            u
            for u in self._candidates(service, now, excluded_ids, version)
            if not u.is_held(now)
        ]
        viewpoint = Viewpoint(now, self._data_centre, self._rng)
        if self.update_paces(service, now):
            return select(
                self._choose_data_centre(service, candidates, now),
                viewpoint,
                expected_completion,
            )
        return select(candidates, viewpoint, least_outstanding)

    def _choose_data_centre(
        self, service: str, candidates: list[Upstream], now: float
    ) -> list[Upstream]:
        """Returns the candidates in the data centre that a request goes to.

        Args:
            service: Name of the service.
            candidates: Upstreams that may run the request.
            now: Monotonic time in seconds.
        """
        if self._crossing is None:
            return candidates
        here, there = self._by_data_centre(candidates)
        if not here or not there:
            return candidates
        due, share = self._shares_by_service.get(service, (0.0, 0.0))
        if now >= due:
            leaving = self._leaving_by_service.setdefault(
                service, Leaving(self._crossing)
            )
            # The share counts for other requests too, so what this one may not
            # use makes no difference.
            all_here, all_there = self._by_data_centre(
                u
                for u in self.ready(service)
                if not u.is_ejected(now) and not u.is_held(now)
            )
            share = leaving.share(
                [_place(upstream, now) for upstream in all_here],
                [_place(upstream, now) for upstream in all_there],
            )
            self._shares_by_service[service] = now + SHARE_INTERVAL_S, share
        return there if self._rng.random() < share else here

    def _by_data_centre(
        self, upstreams: Iterable[Upstream]
    ) -> tuple[list[Upstream], list[Upstream]]:
        """Returns the upstreams in the own data centre and in the others."""
        here: list[Upstream] = []
        there: list[Upstream] = []
        for upstream in upstreams:
            is_here = upstream.listed.data_centre == self._data_centre
            (here if is_here else there).append(upstream)
        return here, there

    def update_paces(self, service: str, now: float) -> bool:
        """Estimates the paces of a service's upstreams where they are due.

        Args:
            service: Name of the service.
            now: Monotonic time in seconds.

        Returns:
            Whether the service's upstreams report their pace.
        """
        due, reports_pace = self._paces_by_service.get(service, (0.0, False))
        if now < due:
            return reports_pace
        upstreams = self.ready(service)
        reports_pace = any(upstream.reports_pace for upstream in upstreams)
        self._paces_by_service[service] = now + PACE_INTERVAL_S, reports_pace
        if reports_pace:
            estimates_by_id = estimate_paces(
                {u.upstream_id: u.pace_samples for u in upstreams}, now
            )
            for upstream in upstreams:
                estimate = estimates_by_id[upstream.upstream_id]
                upstream.pace = estimate.pace
                upstream.pace_estimate = estimate
        return reports_pace

    def next_permit_at(
        self,
        service: str,
        now: float,
        excluded_ids: Iterable[str] = (),
        version: str | None = None,
    ) -> float | None:
        """Returns when there may be a permit for an upstream that is held now.

        See `choose` for the arguments.

        Returns:
            Monotonic time in seconds, or None if no upstream is held.
        """
        return min(
            (
                u.held_until
                for u in self._candidates(service, now, excluded_ids, version)
                if u.is_held(now)
            ),
            default=None,
        )

    def _candidates(
        self,
        service: str,
        now: float,
        excluded_ids: Iterable[str],
        version: str | None,
    ) -> list[Upstream]:
        excluded = frozenset(excluded_ids)
        eligible = [
            u
            for u in self.ready(service)
            if u.upstream_id not in excluded
            and version in (None, u.listed.version)
        ]
        return [u for u in eligible if not u.is_ejected(now)] or eligible

    @staticmethod
    def _is_restart(known: ListedUpstream, listed: ListedUpstream) -> bool:
        if listed.started_ms != known.started_ms:
            return listed.started_ms > known.started_ms
        return (listed.host, listed.port, listed.service) != (
            known.host,
            known.port,
            known.service,
        )


def _place(upstream: Upstream, now: float) -> Place:
    return Place(upstream.slots, taken_slots(upstream, now), upstream.pace)

"""Confirms that upstreams at which requests broke off have crashed."""

from __future__ import annotations

import anyio

from plumvane import clock
from plumvane.discovery.view import FleetView
from plumvane.relay.liveness import Liveness, check_liveness
from plumvane.serving.upstreams import Upstream

__all__ = ["CONFIRMATION_S", "CrashConfirmation", "Incarnation"]

# Time within which an upstream must turn out to have crashed after a request
# broke off there, in seconds.
CONFIRMATION_S = 2.0
# Interval between two checks of an upstream, in seconds, and checks in a row
# that must find it gone; an upstream may reset a single connection under load.
CHECK_INTERVAL_S = 0.1
MIN_CHECKS = 2
# Least time between the end of an upstream and the expiry of its entry, in
# seconds. One that leaves unannounced ends its entry first, and serves on.
MIN_EXPIRY_S = 1.0
# Most upstreams that are checked at a time.
MAX_CHECKED = 64

# Identifier of an upstream and Unix time of its start in milliseconds.
Incarnation = tuple[str, int]


class CrashConfirmation:
    """Finds out whether an upstream has crashed.

    It has if it ended without having announced it: engines then miss their load
    reports, plain services accept no connection, and both are listed with a
    newer start later.
    """

    def __init__(self, view: FleetView) -> None:
        """Creates a confirmation that checks nothing.

        Args:
            view: Listed upstreams.
        """
        self._view = view
        self._confirmed_until_by_id: dict[Incarnation, float] = {}
        # Upstreams that are checked, and numbers of checks in a row that found
        # them gone.
        self._checked_until_by_id: dict[Incarnation, float] = {}
        self._gone_counts_by_id: dict[Incarnation, int] = {}
        # Results: upstreams that are gone, and times at which others were not.
        self._gone_until_by_id: dict[Incarnation, float] = {}
        self._refused_until_by_id: dict[Incarnation, float] = {}
        self._alive_at_by_id: dict[Incarnation, float] = {}

    def request(self, incarnation: Incarnation) -> None:
        """Has an upstream checked at which a request broke off."""
        upstream = self._upstream(incarnation)
        has_room = len(self._checked_until_by_id) < MAX_CHECKED
        if upstream is not None and has_room and not self._is_engine(upstream):
            until = clock.monotonic() + CONFIRMATION_S
            self._checked_until_by_id[incarnation] = until

    async def run(self) -> None:
        """Checks the requested upstreams until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = clock.monotonic()
            self._checked_until_by_id = _unexpired(
                self._checked_until_by_id, now
            )
            self._gone_until_by_id = _unexpired(self._gone_until_by_id, now)
            self._refused_until_by_id = _unexpired(
                self._refused_until_by_id, now
            )
            self._alive_at_by_id = _unexpired(
                self._alive_at_by_id, now - CONFIRMATION_S
            )
            async with anyio.create_task_group() as group:
                for incarnation in self._checked_until_by_id:
                    group.start_soon(self._check, incarnation)

    async def _check(self, incarnation: Incarnation) -> None:
        upstream = self._upstream(incarnation)
        started_at = clock.monotonic()
        liveness = Liveness.UNKNOWN
        if upstream is not None:
            listed = upstream.listed
            liveness = await check_liveness(listed.host, listed.port)
        gone_count = 0
        if liveness in (Liveness.REFUSED, Liveness.CLOSED):
            gone_count = self._gone_counts_by_id.get(incarnation, 0) + 1
        self._gone_counts_by_id[incarnation] = gone_count
        if gone_count >= MIN_CHECKS:
            until = clock.monotonic() + CONFIRMATION_S
            self._gone_until_by_id[incarnation] = until
            if liveness is Liveness.REFUSED:
                self._refused_until_by_id[incarnation] = until
        elif liveness is Liveness.ALIVE:
            self._alive_at_by_id[incarnation] = started_at
        else:
            return
        del self._gone_counts_by_id[incarnation]
        del self._checked_until_by_id[incarnation]

    def is_alive_after(self, incarnation: Incarnation, at: float) -> bool:
        """Returns whether an upstream was found alive after a time.

        Args:
            incarnation: The upstream.
            at: Monotonic time in seconds.
        """
        return self._alive_at_by_id.get(incarnation, float("-inf")) > at

    def refuses_connections(self, incarnation: Incarnation) -> bool:
        """Returns whether an upstream that is gone refuses connections.

        One that broke off a request then lived when it accepted it. Otherwise a
        proxy before it may have accepted the request after its end.
        """
        return incarnation in self._refused_until_by_id

    def has_crashed(
        self, incarnation: Incarnation, lost_at: float, now: float
    ) -> bool:
        """Returns whether an upstream ended without having announced it.

        Args:
            incarnation: The upstream.
            lost_at: Monotonic time in seconds at which a request broke off
                there.
            now: Monotonic time in seconds.
        """
        if self._confirmed_until_by_id.get(incarnation, 0.0) > now:
            return True
        upstream_id, started_ms = incarnation
        upstream = self._view.upstreams.find(upstream_id)
        if upstream is None:
            return False
        is_leaving = upstream.is_leaving or upstream.listed.is_draining
        removed_at = upstream.removed_at
        is_lost = (
            removed_at is not None and lost_at < removed_at - MIN_EXPIRY_S
        ) or (
            upstream.is_silent()
            or self._gone_until_by_id.get(incarnation, 0.0) > now
            or self._is_replaced(upstream)
        )
        has_restarted = upstream.listed.started_ms > started_ms
        if not has_restarted and (is_leaving or not is_lost):
            return False
        self._confirmed_until_by_id = _unexpired(
            self._confirmed_until_by_id, now
        )
        self._confirmed_until_by_id[incarnation] = now + CONFIRMATION_S
        return True

    def _upstream(self, incarnation: Incarnation) -> Upstream | None:
        upstream_id, started_ms = incarnation
        upstream = self._view.upstreams.upstreams_by_id.get(upstream_id)
        if upstream is None or upstream.listed.started_ms != started_ms:
            return None
        return upstream

    def _is_engine(self, upstream: Upstream) -> bool:
        routes = self._view.routes
        if routes is None:
            return False
        service = routes.services_by_name.get(upstream.listed.service)
        return service is not None and service.is_engine

    def _is_replaced(self, upstream: Upstream) -> bool:
        """Returns whether a newer upstream is listed at the same address."""
        listed = upstream.listed
        return any(
            (other.listed.host, other.listed.port) == (listed.host, listed.port)
            and other.listed.started_ms > listed.started_ms
            for other in self._view.upstreams.upstreams_by_id.values()
        )


def _unexpired(
    until_by_id: dict[Incarnation, float], now: float
) -> dict[Incarnation, float]:
    return {known: until for known, until in until_by_id.items() if until > now}

"""What a worker expects of the online demand of a service."""

from __future__ import annotations

import collections
import math

from plumvane import events
from plumvane.serving.forecast import BIN_S, DemandForecast
from plumvane.serving.pacing import (
    AHEAD_S,
    Outlook,
    ServiceItems,
    make_outlook,
    with_deviations,
)
from plumvane.serving.settling import Settling

__all__ = ["ServiceOutlook"]

# Time by which the loads that upstreams report lag behind, in seconds.
REPORT_LAG_S = 0.2
# Share of the slots that must be left for items to count on; below it, online
# requests leave none.
LEFT_SHARE = 0.125
# Share of the slots that is kept free after a start, before a wave has come.
UNKNOWN_SHARE = 0.5


class ServiceOutlook:
    """Forecast and state after a start of one service.

    Attributes:
        reserved: Slots that are kept for online requests; 0 if nothing is
            forecast.
    """

    def __init__(self, service: str) -> None:
        """Creates an outlook without demand.

        Args:
            service: Name of the service.
        """
        self.reserved = 0
        self._service = service
        self._forecast = DemandForecast()
        self._settling = Settling()
        self._is_holding_back = False
        self._is_known = False
        # Times, and numbers of items that ran then.
        self._items: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def hold_back(self) -> None:
        """Has online requests go first, as the start interrupted items."""
        self._settling.begin()

    def record(
        self,
        requests: float,
        items: float,
        waiting: int,
        slots: int,
        now: float,
    ) -> None:
        """Records the loads that were read.

        Args:
            requests: Requests and items that run or wait at upstreams.
            items: Items that run there.
            waiting: Number of requests that wait at upstreams.
            slots: Slots of the service.
            now: Monotonic time in seconds.
        """
        self._is_known = True
        self._items.append((now, items))
        while len(self._items) > 1 and self._items[1][0] <= now - REPORT_LAG_S:
            self._items.popleft()
        demand = max(0.0, requests - self._items[0][1])
        self._settling.record(demand, waiting, slots, now)
        if self._forecast.record(demand, now):
            period_s = self._forecast.period_s
            events.log(
                events.Event.DEMAND_PERIOD_LOST
                if period_s is None
                else events.Event.DEMAND_PERIOD_FOUND,
                service=self._service,
                period_s=round(period_s or 0.0, 1),
                certainty=round(self._forecast.certainty, 2),
            )

    def busy_s(self, slots: int, now: float) -> float | None:
        """Returns the longest time of a period without slots for items.

        Args:
            slots: Slots of the service.
            now: Monotonic time in seconds.

        Returns:
            Time in seconds, or None without a period.
        """
        if self._forecast.period_s is None:
            return None
        longest = length = 0
        ahead = self._forecast.ahead(now, self._forecast.period_s)
        for demand in ahead + ahead:
            is_busy = slots - with_deviations(demand) < LEFT_SHARE * slots
            length = length + 1 if is_busy else 0
            longest = max(longest, length)
        return min(longest, len(ahead)) * BIN_S

    def outlook(
        self,
        slots: int,
        upstreams: int,
        items: ServiceItems,
        workers: int,
        now: float,
    ) -> Outlook | None:
        """Returns what online requests leave to items.

        Args:
            slots: Slots of the service.
            upstreams: Number of its upstreams.
            items: Items that run there.
            workers: Number of workers that share the upstreams.
            now: Monotonic time in seconds.

        Returns:
            The outlook, or None if nothing can be forecast.
        """
        demand_ahead = self._demand_ahead(slots, now)
        if demand_ahead is None:
            self.reserved = 0
            self._log_holding_back(False, None)
            return None
        # Before a wave was seen, items that are due take what is free now.
        current = self._forecast.current(now)
        outlook = make_outlook(
            slots,
            upstreams,
            items,
            max(1, workers),
            demand_ahead,
            BIN_S,
            current if self._forecast.period_s is None else None,
        )
        self.reserved = outlook.reserved
        is_holding_back = outlook.reserved > (1 - LEFT_SHARE) * slots
        self._log_holding_back(is_holding_back, outlook)
        return outlook

    def _demand_ahead(self, slots: int, now: float) -> list[float] | None:
        if not self._settling.is_over and self._forecast.period_s is None:
            current = self._forecast.current(now)
            kept = max(current, UNKNOWN_SHARE * slots)
            if self._settling.expects_wave:
                kept = max(kept, self._settling.peak)
            return [
                current if now + i * BIN_S < self._settling.calm_until else kept
                for i in range(math.ceil(AHEAD_S / BIN_S))
            ]
        if self._forecast.period_s is None or not self._is_known:
            return None
        # Demand is read late, so that a wave begins before it was seen to.
        ahead = self._forecast.ahead(now + REPORT_LAG_S, AHEAD_S)
        # What is there goes before what was forecast, and stays for a moment.
        return [self._forecast.current(now), *ahead[1:]]

    def _log_holding_back(
        self, is_holding_back: bool, outlook: Outlook | None
    ) -> None:
        if is_holding_back == self._is_holding_back:
            return
        self._is_holding_back = is_holding_back
        events.log(
            events.Event.BATCH_HELD_BACK
            if is_holding_back
            else events.Event.BATCH_RESUMED,
            service=self._service,
            reserved=self.reserved,
            stops=outlook.stops if outlook else 0,
            is_settling=not self._settling.is_over,
        )

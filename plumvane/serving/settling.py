"""Holds batch back after a start until waves of requests passed in time."""

from __future__ import annotations

__all__ = ["Settling"]

# Longest time after the first request for which items are held back, in
# seconds: by then a wave has come, or there are none.
MAX_SETTLING_S = 12.0
# Share of the slots that counts as a wave when online requests take them, and
# below which it has passed.
WAVE_SHARE = 0.5
# Share of the slots that may be waited for in a wave that passes in time.
IN_TIME_SHARE = 0.05
# Waves that must pass in time: from two on the next one can be forecast.
IN_TIME_WAVES = 2
# Time by which the calm after a wave may be shorter than that before, in
# seconds: the one before is known from the first request on.
CALM_MARGIN_S = 1.0


class Settling:
    """Whether online requests still go first after a start.

    After all processes were lost, callers come back together while neither
    demand nor progress is known, and the items that were broken off with them
    are due at about the same time. Started at once, they would take the slots
    of the first waves.

    Attributes:
        peak: Largest online demand since the start, in slots.
        is_over: Whether waves have passed in time, or the time is over.
        calm_until: Monotonic time in seconds until which the calm after a wave
            lasts, if it is as long as the one before.
    """

    def __init__(self) -> None:
        """Creates the state at a start at which nothing was interrupted."""
        self.peak = 0.0
        self.is_over = True
        self._deadline: float | None = None
        self.calm_until = float("-inf")
        self._calm_since = 0.0
        self._calm_s = 0.0
        self._waves_in_time = 0
        self._is_wave = False
        self._is_late = False

    def begin(self) -> None:
        """Holds items back, because the start interrupted some."""
        self.is_over = False

    @property
    def expects_wave(self) -> bool:
        """Whether a wave is there, or came after a calm and may come again."""
        return self._is_wave or self._calm_s > CALM_MARGIN_S

    def record(
        self, demand: float, waiting: int, slots: int, now: float
    ) -> None:
        """Records the demand that was read.

        Args:
            demand: Slots that online requests take or wait for.
            waiting: Number of requests that wait at upstreams.
            slots: Slots of the service.
            now: Monotonic time in seconds.
        """
        if demand <= 0 and self._deadline is None:
            return
        if self._deadline is None:
            self._deadline = now + MAX_SETTLING_S
            self._calm_since = now
        self.peak = max(self.peak, demand)
        is_wave = demand > WAVE_SHARE * slots
        if is_wave:
            self._is_late |= waiting > IN_TIME_SHARE * slots
        elif self._is_wave and not self._is_late:
            self._waves_in_time += 1
            self.is_over |= self._waves_in_time >= IN_TIME_WAVES
        if is_wave and not self._is_wave:
            self._calm_s = now - self._calm_since
        if self._is_wave and not is_wave:
            self._calm_since = now
            self.calm_until = now + self._calm_s - CALM_MARGIN_S
        if not is_wave:
            self._is_late = False
        self._is_wave = is_wave
        self.is_over |= now >= self._deadline

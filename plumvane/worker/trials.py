"""Trials of batch items whose prompt has a part in quarantine."""

from __future__ import annotations

import dataclasses

from plumvane.discovery.quarantine import MAX_QUARANTINED, Quarantined

__all__ = ["ItemTrials"]

# Delay of the first trial after a part was quarantined, in seconds: answers to
# requests that were under way may release the part before. It is doubled by
# each further trial up to the maximum.
FIRST_DELAY_S = 2.0
MAX_DELAY_S = 60.0


@dataclasses.dataclass(slots=True)
class _Trials:
    """Trials of one part.

    Attributes:
        since: Monotonic time in seconds at which it was quarantined.
        next_at: Monotonic time in seconds of the next trial.
        delay_s: Delay before that trial, in seconds.
    """

    since: float
    next_at: float
    delay_s: float


class ItemTrials:
    """Decides when an item with a quarantined part is run all the same.

    Items do not crash upstreams by themselves and are owed to their callers,
    while a request can be refused. An item that is answered releases the part
    everywhere; if the part does crash an upstream, few items find out.
    """

    def __init__(self) -> None:
        """Creates a record without trials."""
        self._trials_by_part: dict[str, _Trials] = {}

    def is_due(self, quarantined: Quarantined, now: float) -> bool:
        """Returns whether an item with a part may run.

        Args:
            quarantined: The part.
            now: Monotonic time in seconds.
        """
        return now >= self._trials(quarantined).next_at

    def record_start(self, quarantined: Quarantined, now: float) -> None:
        """Records that an item with a part runs.

        Args:
            quarantined: The part.
            now: Monotonic time in seconds.
        """
        trials = self._trials(quarantined)
        trials.delay_s = min(2 * trials.delay_s, MAX_DELAY_S)
        trials.next_at = now + trials.delay_s

    def _trials(self, quarantined: Quarantined) -> _Trials:
        known = self._trials_by_part.get(quarantined.part)
        if known is None or quarantined.since > known.since + MAX_DELAY_S:
            first_at = quarantined.since + FIRST_DELAY_S
            known = _Trials(quarantined.since, first_at, FIRST_DELAY_S)
            self._trials_by_part[quarantined.part] = known
            if len(self._trials_by_part) > MAX_QUARANTINED:
                del self._trials_by_part[next(iter(self._trials_by_part))]
        return known

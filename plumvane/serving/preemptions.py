"""Division of preemptions among the workers whose items share an upstream."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from plumvane.hashing import rank

__all__ = ["PreemptibleItems", "PreemptionShares", "preemption_share"]

# Age from which the counts of another worker are ignored, in seconds: it is
# lost or has no items. Counts are sent ten times a second.
MAX_COUNT_AGE_S = 0.5
# Time by which the load that an upstream reports lags behind its queue, in
# seconds. A preemption within it is not yet part of the load.
REPORT_LAG_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptibleItems:
    """Items of one worker at an upstream that may be preempted.

    Attributes:
        normal: Number of items that are not urgent.
        urgent: Number of urgent items.
        protected: Number of urgent items that may not be preempted.
    """

    normal: int
    urgent: int
    protected: int = 0

    @property
    def total(self) -> int:
        """Number of items that run there."""
        return self.normal + self.urgent + self.protected


def preemption_share(
    upstream_id: str,
    waiting: int,
    worker: str,
    items_by_worker: Mapping[str, PreemptibleItems],
) -> int:
    """Returns how many of its items a worker preempts at an upstream.

    The workers together preempt one item for each waiting request: they take
    turns in an order that all of them know, urgent items last.

    Args:
        upstream_id: Identifier of the upstream.
        waiting: Number of requests in its queue.
        worker: Name of the worker.
        items_by_worker: Preemptible items there, by worker.
    """
    order = rank(upstream_id, items_by_worker)
    share = 0
    for is_urgent in (False, True):
        left_by_worker = {
            name: items.urgent if is_urgent else items.normal
            for name, items in items_by_worker.items()
        }
        while waiting and any(left_by_worker.values()):
            for name in order:
                if waiting and left_by_worker[name]:
                    left_by_worker[name] -= 1
                    waiting -= 1
                    share += name == worker
    return share


class PreemptionShares:
    """One worker's view of what all workers may preempt, and its own share."""

    def __init__(self, worker: str) -> None:
        """Creates a view without items.

        Args:
            worker: Name of this worker.
        """
        self._worker = worker
        self._items_by_upstream_by_worker: dict[
            str, Mapping[str, PreemptibleItems]
        ] = {}
        self._received_at_by_worker: dict[str, float] = {}
        self._preempted_at_by_upstream: dict[str, list[float]] = {}

    def update(
        self,
        worker: str,
        items_by_upstream: Mapping[str, PreemptibleItems],
        now: float,
    ) -> None:
        """Replaces what is known of another worker's items.

        Args:
            worker: Name of the worker.
            items_by_upstream: Its preemptible items, by upstream.
            now: Monotonic time in seconds.
        """
        self._items_by_upstream_by_worker[worker] = items_by_upstream
        self._received_at_by_worker[worker] = now

    def items_of_others(self, upstream_id: str, now: float) -> PreemptibleItems:
        """Returns the items of all other workers at an upstream.

        Args:
            upstream_id: Identifier of the upstream.
            now: Monotonic time in seconds.
        """
        found = self._items_by_other_worker(upstream_id, now).values()
        return PreemptibleItems(
            sum(items.normal for items in found),
            sum(items.urgent for items in found),
            sum(items.protected for items in found),
        )

    def share(
        self,
        upstream_id: str,
        waiting: int,
        own_items: PreemptibleItems,
        load_read_at: float,
        now: float,
    ) -> int:
        """Returns how many items this worker preempts at an upstream now.

        Args:
            upstream_id: Identifier of the upstream.
            waiting: Number of requests in its queue at the last report.
            own_items: Items of this worker there that may be preempted.
            load_read_at: Monotonic time in seconds of that report.
            now: Monotonic time in seconds.
        """
        if not waiting:
            return 0
        items_by_worker = self._items_by_other_worker(upstream_id, now)
        # Items that were preempted since the report still counted there.
        preempted = self._preempted_since(
            upstream_id, load_read_at - REPORT_LAG_S
        )
        items_by_worker[self._worker] = dataclasses.replace(
            own_items, normal=own_items.normal + preempted
        )
        share = preemption_share(
            upstream_id, waiting, self._worker, items_by_worker
        )
        return max(0, share - preempted)

    def _items_by_other_worker(
        self, upstream_id: str, now: float
    ) -> dict[str, PreemptibleItems]:
        return {
            worker: items_by_upstream[upstream_id]
            for worker, items_by_upstream in (
                self._items_by_upstream_by_worker.items()
            )
            if upstream_id in items_by_upstream
            and now - self._received_at_by_worker[worker] < MAX_COUNT_AGE_S
        }

    def record_preemptions(
        self, upstream_id: str, count: int, now: float
    ) -> None:
        """Records that this worker preempts items at an upstream."""
        if count:
            times = self._preempted_at_by_upstream.setdefault(upstream_id, [])
            times += [now] * count

    def _preempted_since(self, upstream_id: str, since: float) -> int:
        times = [
            at
            for at in self._preempted_at_by_upstream.pop(upstream_id, [])
            if at > since
        ]
        if times:
            self._preempted_at_by_upstream[upstream_id] = times
        return len(times)

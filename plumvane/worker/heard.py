"""Workers that are heard directly, whatever their registration says.

A registration may go while its worker is well: the store expires leases in an
outage, or refuses the renewals of some instances. Such a worker keeps its jobs.
"""

from __future__ import annotations

__all__ = ["HeardWorkers"]

# Time after its last message for which a worker counts as alive, in seconds;
# messages are sent ten times a second.
HEARD_S = 1.0
# Time after the loss of its registration for which a worker that is heard keeps
# its jobs, in seconds. One that cannot register again in it cannot commit
# results either.
MAX_UNREGISTERED_S = 6.0


class HeardWorkers:
    """Workers without a registration from which messages still come."""

    def __init__(self) -> None:
        """Creates the set without workers."""
        self._heard_by_name: dict[str, tuple[str, float]] = {}
        self._removed_at_by_name: dict[str, float] = {}

    def record(self, name: str, incarnation: str, now: float) -> None:
        """Records a message of a worker.

        Args:
            name: Name of the worker.
            incarnation: Its incarnation; empty if it leaves.
            now: Monotonic time in seconds.
        """
        if incarnation:
            self._heard_by_name[name] = (incarnation, now)
        else:
            self._heard_by_name.pop(name, None)

    def record_removal(self, name: str, now: float) -> None:
        """Records that the registration of a worker is gone."""
        self._removed_at_by_name[name] = now

    def incarnations_by_name(self, now: float) -> dict[str, str]:
        """Returns the workers that are alive without a registration."""
        self._removed_at_by_name = {
            name: removed_at
            for name, removed_at in self._removed_at_by_name.items()
            if now - removed_at < MAX_UNREGISTERED_S
        }
        return {
            name: incarnation
            for name, (incarnation, heard_at) in self._heard_by_name.items()
            if name in self._removed_at_by_name and now - heard_at < HEARD_S
        }

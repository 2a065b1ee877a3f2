"""Software versions that each service's upstreams have had."""

from __future__ import annotations

__all__ = ["VersionHistory"]


class VersionHistory:
    """Versions that are listed for each service, and when they changed."""

    def __init__(self) -> None:
        """Creates an empty history."""
        self._versions_by_service: dict[str, frozenset[str]] = {}
        self._changed_at_by_service: dict[str, float] = {}

    def update(
        self, service: str, versions: frozenset[str], now: float
    ) -> bool:
        """Records the versions that are listed for a service.

        A service without listed upstreams keeps its versions: its upstreams
        may only have lost their registrations.

        Args:
            service: Name of the service.
            versions: Versions of its listed upstreams.
            now: Monotonic time in seconds.

        Returns:
            Whether the versions changed.
        """
        if not versions or versions == self._versions_by_service.get(service):
            return False
        self._versions_by_service[service] = versions
        self._changed_at_by_service[service] = now
        return True

    def listed_since(self, service: str) -> tuple[frozenset[str], float]:
        """Returns the listed versions, and since when they are the same.

        Args:
            service: Name of the service.

        Returns:
            The versions, and a monotonic time in seconds.
        """
        return (
            self._versions_by_service.get(service, frozenset()),
            self._changed_at_by_service.get(service, float("inf")),
        )

    def only_version(self, service: str, since: float) -> str | None:
        """Returns the only version listed since a time, or None.

        Args:
            service: Name of the service.
            since: Monotonic time in seconds.
        """
        versions = self._versions_by_service.get(service, frozenset())
        if len(versions) != 1 or self._changed_at_by_service[service] > since:
            return None
        return next(iter(versions))

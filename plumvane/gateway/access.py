"""Decides which team sends a request, and whether it may."""

from __future__ import annotations

import hashlib
import math
import secrets

from plumvane import clock, events, metrics
from plumvane.discovery.confirmation import ConfigurationCheck
from plumvane.discovery.view import FleetView
from plumvane.errors import StoreUnavailableError, UnauthorizedError
from plumvane.metrics import Metric
from plumvane.platform.requests import CallerRequest
from plumvane.serving.routes import Route
from plumvane.serving.teams import Team

__all__ = ["Access"]

# Retry-After of requests whose key cannot be judged, in seconds; another
# instance may know it at once.
RETRY_AFTER_S = 0.5
# Size of what stands for a key in the log, in bytes.
LOGGED_BYTES = 4


class Access:
    """Identifies the teams of callers by the configuration in force.

    A key may be used as soon as the store has the configuration that adds it,
    so an instance looks there once more before it calls a key unknown.
    """

    def __init__(
        self,
        view: FleetView,
        max_age_s: float = math.inf,
        check: ConfigurationCheck | None = None,
    ) -> None:
        """Creates the access check.

        Args:
            view: Current routes and teams.
            max_age_s: Greatest age in seconds of a configuration whose keys are
                accepted; infinite if the last one known stays in force.
            check: Reads the configuration when that is needed; a new one by
                default.
        """
        self._view = view
        self._check = check or ConfigurationCheck(view)
        self._max_age_s = max_age_s
        # Makes the logged hashes of keys useless outside this process.
        self._log_secret = secrets.token_bytes(16)

    async def identify(
        self, request: CallerRequest, route: Route | None
    ) -> Team | None:
        """Returns the team of a caller.

        Args:
            request: The caller's request.
            route: Its route; None for a call on an accepted batch job.

        Returns:
            The team, or None if the request needs no key and has none.

        Raises:
            UnauthorizedError: The key is unknown.
            StoreUnavailableError: The key is unknown, and the configuration
                may be out of date; or it is too old to accept any.
        """
        routes = self._view.routes
        if routes is None or routes.teams is None:
            return None
        team = routes.teams.find(request.key)
        if route is not None and route.is_public:
            return team
        now = clock.monotonic()
        if team is None:
            # Also without a key: a newer configuration may need none.
            await self._confirm_since(request, now)
        elif now - self._view.configuration_current_at() > self._max_age_s:
            await self._confirm_since(request, now - self._max_age_s)
        else:
            return team
        return self._judge(request)

    def _judge(self, request: CallerRequest) -> Team | None:
        """Returns the team of a caller by a configuration that is current."""
        routes = self._view.routes
        if routes is None or routes.teams is None:
            return None
        team = routes.teams.find(request.key)
        if team is not None:
            metrics.add(Metric.ACCESS, outcome="confirmed")
            return team
        outcome = "unknown" if request.key else "missing"
        self._log_refusal(request, outcome)
        raise UnauthorizedError(
            f"The key is {outcome}.",
            remedy="Send a key that the configuration in force holds.",
        )

    async def _confirm_since(
        self, request: CallerRequest, since: float
    ) -> None:
        """Makes sure that the configuration has all changes up to a time.

        Args:
            request: The request that depends on it.
            since: The monotonic time in seconds.

        Raises:
            StoreUnavailableError: Whether it has them is not known.
        """
        if await self._check.confirm_since(since):
            return
        self._log_refusal(request, "unconfirmed")
        raise StoreUnavailableError(
            "The key cannot be judged, since the configuration may be out of "
            "date.",
            not_run=True,
            retry_after_s=RETRY_AFTER_S,
        )

    def _log_refusal(self, request: CallerRequest, outcome: str) -> None:
        metrics.add(Metric.ACCESS, outcome=outcome)
        routes = self._view.routes
        events.log(
            events.Event.ACCESS_REFUSED,
            request=request.request_id,
            path=request.path,
            reason=outcome,
            key=self._logged(request.key),
            version=routes.version if routes is not None else None,
            age_s=round(
                clock.monotonic() - self._view.configuration_current_at(), 2
            ),
        )

    def _logged(self, key: bytes) -> str | None:
        """Returns what stands for a key in the log of this process."""
        if not key:
            return None
        return hashlib.blake2b(
            key, digest_size=LOGGED_BYTES, key=self._log_secret
        ).hexdigest()

"""Chooses the upstreams that a request is sent to."""

from __future__ import annotations

import random

import anyio

from plumvane import clock
from plumvane.discovery.permits import Permits
from plumvane.discovery.view import FleetView
from plumvane.errors import OverloadedError, UpstreamLostError
from plumvane.gateway.admission import Admission
from plumvane.gateway.requests import IncompleteResponseError, RequestState
from plumvane.serving.upstreams import Upstream

__all__ = ["UpstreamSelector"]

# Rejections by upstreams after which a request is rejected to its caller.
MAX_REJECTIONS = 4
# Retry-After of a rejected request, in seconds: about the time in which a busy
# service frees some slots. The jitter keeps callers from returning together.
RETRY_AFTER_S = 0.15
RETRY_AFTER_JITTER_S = 0.3


class UpstreamSelector:
    """Chooses upstreams with permits, or rejects the request."""

    def __init__(
        self,
        view: FleetView,
        permits: Permits,
        admission: Admission,
        rng: random.Random,
    ) -> None:
        """Creates the selector.

        Args:
            view: Current upstreams.
            permits: Permits for upstreams that limit their rate.
            admission: Knows at which upstreams a request would be late.
            rng: Draws the jitter of Retry-After.
        """
        self._view = view
        self._permits = permits
        self._admission = admission
        self._rng = rng

    async def take(self, state: RequestState) -> Upstream:
        """Returns the upstream for the next attempt, with a permit for it.

        If all upstreams are at their limits, the request waits for a short
        time. See `_choose` for the errors.
        """
        request_id = state.exchange.request.request_id
        while True:
            now = clock.monotonic()
            permit_at = self._view.upstreams.next_permit_at(
                state.service,
                now,
                state.sent_ids | state.rejected_ids,
                state.version,
            )
            upstream = self._choose(state, permit_at)
            if upstream is None:
                await anyio.sleep((permit_at or now) - now)
            elif await self._permits.acquire(upstream, request_id):
                return upstream

    def _choose(
        self, state: RequestState, permit_at: float | None
    ) -> Upstream | None:
        """Returns the upstream for the next attempt.

        Args:
            state: The request.
            permit_at: Monotonic time in seconds at which there may be a permit
                for an upstream that is at its limit; None if none is.

        Returns:
            The upstream, or None if the request has to wait until then.

        Raises:
            IncompleteResponseError: No upstream is left, and the response has
                started.
            OverloadedError: No upstream is left, and none has run the request.
            UpstreamLostError: No upstream is left, and one may have run the
                request.
        """
        is_exhausted = (
            len(state.rejected_ids) >= MAX_REJECTIONS
            or len(state.sent_ids) >= state.route.max_attempts
        )
        upstream = None
        if not is_exhausted:
            tried_ids = state.sent_ids | state.rejected_ids
            late_ids = self._admission.avoided_ids(state)
            if late_ids:
                upstream = self._choose_except(state, tried_ids | late_ids)
            if upstream is None:
                upstream = self._choose_except(state, tried_ids)
        if upstream is not None:
            return upstream
        if is_exhausted:
            permit_at = None
        if permit_at is not None and permit_at <= state.permit_deadline:
            return None
        if state.exchange.has_started:
            raise IncompleteResponseError(
                f"no upstream resumes the stream: {state.error}"
            )
        if not state.sent_ids:
            if permit_at is not None:
                raise self.rejection(
                    f"All upstreams of {state.service} that accept the request "
                    "are at their limits.",
                    clock.remaining(permit_at),
                )
            raise self.rejection(
                f"No upstream of {state.service} accepts the request: "
                f"{state.error or 'none is ready'}"
            )
        raise UpstreamLostError(
            f"An upstream may have run the request, but its response was lost "
            f"and no other upstream responded: {state.error}"
        )

    def rejection(self, detail: str, wait_s: float = 0.0) -> OverloadedError:
        """Returns the error of a request that has not run.

        Args:
            detail: Description of the error.
            wait_s: Seconds until a repeat may be accepted.
        """
        retry_after_s = max(0.0, wait_s) + self.retry_after_s()
        return OverloadedError(
            detail, not_run=True, retry_after_s=retry_after_s
        )

    def retry_after_s(self) -> float:
        """Returns the seconds after which a rejected caller may come back."""
        return RETRY_AFTER_S + self._rng.random() * RETRY_AFTER_JITTER_S

    def _choose_except(
        self, state: RequestState, excluded_ids: set[str]
    ) -> Upstream | None:
        return self._view.upstreams.choose(
            state.service, clock.monotonic(), excluded_ids, state.version
        )

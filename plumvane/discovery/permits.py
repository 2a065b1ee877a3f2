"""Permits for requests to upstreams that limit the rate of all senders.

One worker grants the permits of an upstream, so that the senders share its
limit by their demand. While it cannot be reached another one grants a part of
the limit, and without any worker each instance sends an equal share.
"""

from __future__ import annotations

from plumvane import clock, events
from plumvane.discovery.grantors import Grantors
from plumvane.discovery.relayed import RelayedStore
from plumvane.peers.messages import Message
from plumvane.peers.messages.permits import Permit, TakePermit
from plumvane.peers.server import Call, PeerServer
from plumvane.serving.rates import RateLimiter
from plumvane.serving.upstreams import Upstream, UpstreamTable

__all__ = ["Permits"]

# Time for which a worker that did not reply is not asked, in seconds.
SILENCE_S = 2.0
# Workers that grant the permits of an upstream: the first of the ranking, and
# one that stands in for it.
WORKERS_ASKED = 2
# Share of the limit that the deputy grants: the first worker may still grant
# all of it to others.
DEPUTY_SHARE = 0.25


class Permits:
    """Takes permits for this instance, and grants them if it is a worker."""

    def __init__(
        self, name: str, peers: RelayedStore | None, upstreams: UpstreamTable
    ) -> None:
        """Creates the permits of an instance.

        Args:
            name: Name of this instance.
            peers: Finds and calls workers; None if there are none.
            upstreams: Upstreams with the limits that they name.
        """
        self._name = name
        self._peers = peers
        self._upstreams = upstreams
        self._granted = RateLimiter()
        self._own_share = RateLimiter()
        self._grantors = Grantors(
            peers,
            events.Event.PERMITS_SILENT,
            silence_s=SILENCE_S,
            asked=WORKERS_ASKED,
        )

    def serve(self, server: PeerServer) -> None:
        """Registers the handler with which a worker grants permits."""
        server.handle(TakePermit, self._handle_take)

    async def acquire(
        self, upstream: Upstream, request_id: str, *, is_urgent: bool = True
    ) -> bool:
        """Takes a permit for a request to an upstream.

        Without one the upstream is held until there will be a permit.

        Args:
            upstream: The upstream.
            request_id: Identifier of the request, for the log.
            is_urgent: Whether the request may take the last permits.

        Returns:
            Whether the request may be sent.
        """
        max_rate = upstream.max_rate
        if max_rate is None:
            return True
        wait_s, source = await self._take(upstream, max_rate, is_urgent)
        if not wait_s:
            return True
        upstream.held_until = clock.monotonic() + wait_s
        events.log(
            events.Event.PERMIT_DENIED,
            request=request_id,
            upstream=upstream.upstream_id,
            max_rate=max_rate,
            wait_s=round(wait_s, 3),
            source=source,
        )
        return False

    async def _take(
        self, upstream: Upstream, max_rate: float, is_urgent: bool
    ) -> tuple[float, str]:
        """Returns the seconds until a permit, 0 for one, and who says so."""
        for rank, name in enumerate(
            self._grantors.ranked(upstream.upstream_id)
        ):
            message = TakePermit(
                upstream.upstream_id,
                upstream.listed.started_ms,
                max_rate,
                is_urgent,
                rank > 0,
            )
            if name == self._name:
                return self._grant(message), name
            if self._grantors.is_silent(name):
                continue
            permit = await self._grantors.ask(name, message, Permit)
            if permit is not None:
                return permit.wait_s, name
        senders = len(self._peers.peers_by_name) if self._peers else 1
        wait_s = self._own_share.take(
            _incarnation(upstream),
            max_rate,
            clock.monotonic(),
            is_urgent=is_urgent,
            share=1 / max(1, senders),
        )
        return wait_s, "own share"

    async def _handle_take(self, call: Call, message: TakePermit) -> Message:
        return Permit(self._grant(message))

    def _grant(self, message: TakePermit) -> float:
        rate = message.max_rate
        known = self._upstreams.upstreams_by_id.get(message.upstream_id)
        if known is not None and known.max_rate is not None:
            rate = min(rate, known.max_rate)
        return self._granted.take(
            (message.upstream_id, message.started_ms),
            rate,
            clock.monotonic(),
            is_urgent=message.is_urgent,
            share=DEPUTY_SHARE if message.is_deputy else 1.0,
        )


def _incarnation(upstream: Upstream) -> tuple[str, int]:
    return upstream.upstream_id, upstream.listed.started_ms

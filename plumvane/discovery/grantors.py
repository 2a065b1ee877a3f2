"""Workers that grant permits, with deputies that stand in for them."""

from __future__ import annotations

from typing import TypeVar

from plumvane import clock, events
from plumvane.discovery.loads import WORKER_ROLE
from plumvane.discovery.relayed import RelayedStore
from plumvane.errors import PlumvaneError
from plumvane.hashing import top_ranked
from plumvane.peers.messages import Message

__all__ = ["Grantors"]

# Timeout of a worker's reply, in seconds; the round trip takes a few
# milliseconds.
REPLY_TIMEOUT_S = 0.1

R = TypeVar("R", bound=Message)


class Grantors:
    """Ranks the workers for an item and asks those that answer."""

    def __init__(
        self,
        peers: RelayedStore | None,
        silent_event: events.Event,
        *,
        silence_s: float,
        asked: int,
    ) -> None:
        """Creates the view of the workers.

        Args:
            peers: Finds and calls workers; None if there are none.
            silent_event: Logged when a worker does not answer.
            silence_s: Time for which such a worker is not asked, in seconds.
            asked: Workers that are asked about an item: the first of the
                ranking, and those that stand in for it.
        """
        self._peers = peers
        self._silent_event = silent_event
        self._silence_s = silence_s
        self._asked = asked
        self._silent_until_by_name: dict[str, float] = {}

    def names(self) -> list[str]:
        """Returns the names of all workers."""
        if self._peers is None:
            return []
        return [
            name
            for name, entry in self._peers.peers_by_name.items()
            if entry.role == WORKER_ROLE
        ]

    def ranked(self, item: str) -> list[str]:
        """Returns the workers for an item, those that stand in last."""
        return top_ranked(item, self.names(), self._asked)

    def is_silent(self, name: str) -> bool:
        """Returns whether a worker has just failed to answer."""
        return self._silent_until_by_name.get(name, 0.0) > clock.monotonic()

    async def ask(
        self, name: str, message: Message, reply_type: type[R]
    ) -> R | None:
        """Asks a worker; returns None if it does not answer.

        Args:
            name: Name of the worker.
            message: What to ask.
            reply_type: Type of its answer.
        """
        if self._peers is None or name not in self._peers.peers_by_name:
            return None
        address = self._peers.peers_by_name[name].address
        deadline = clock.monotonic() + REPLY_TIMEOUT_S
        try:
            reply = await self._peers.links.call(
                address, message, deadline=deadline
            )
        except PlumvaneError as error:
            events.log(self._silent_event, peer=name, error=error.detail)
            self._silent_until_by_name[name] = (
                clock.monotonic() + self._silence_s
            )
            return None
        return reply if isinstance(reply, reply_type) else None

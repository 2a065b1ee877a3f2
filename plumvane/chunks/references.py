"""When chunks that nobody refers to any more may be removed."""

from __future__ import annotations

from plumvane import clock

__all__ = ["UNREFERENCED_S", "References"]

# A chunk goes once no owner has asked for it, and nobody written it, for this.
UNREFERENCED_S = 7 * 86_400.0
# Owners that ask at all have asked for all that they refer to within this.
SETTLED_S = 3600.0
# A longer silence of all owners starts that time anew.
SILENCE_S = 600.0


class References:
    """Whether the owners' questions tell what is still referred to.

    Each owner asks all bulk instances for its chunks over and over, to find
    missing copies. An instance that hears no owner, after a start or while
    it is cut off, knows nothing of what is referred to.
    """

    def __init__(self) -> None:
        """Creates the state of an instance that has heard no owner."""
        self._asked = float("-inf")
        self._asked_since = float("-inf")

    def note_asked(self) -> None:
        """Takes in that an owner has asked for chunks."""
        now = clock.monotonic()
        if now - self._asked > SILENCE_S:
            self._asked_since = now
        self._asked = now

    def unreferenced_before(self) -> float | None:
        """Returns up to when a chunk must have been unreferenced to go.

        Returns:
            Seconds since the Unix epoch; None if none may go now.
        """
        now = clock.monotonic()
        is_heard = now - self._asked <= SILENCE_S
        if not is_heard or now - self._asked_since < SETTLED_S:
            return None
        return clock.wall() - UNREFERENCED_S

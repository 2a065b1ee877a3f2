"""Data of the events that a stand-in server streams."""

from __future__ import annotations

import dataclasses

__all__ = ["ServerEvent"]

_SEPARATOR = "-"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEvent:
    """One event of a run; two runs of a request differ in every event.

    Attributes:
        request_id: Identifier of the request that was run.
        number: Number of the event, starting with 1; 0 in a plain response.
        run: Tag of the run that made the event.
        version: Version of the server's software.
    """

    request_id: str
    number: int
    run: str
    version: str

    def encode(self) -> str:
        """Returns the data of the event."""
        return _SEPARATOR.join(
            (self.request_id, str(self.number), self.run, self.version)
        )

    @classmethod
    def decode(cls, data: str) -> ServerEvent:
        """Decodes the data of an event.

        Raises:
            ValueError: The data is not that of one whole event.
        """
        request_id, number, run, version = data.split(_SEPARATOR)
        return cls(request_id, int(number), run, version)

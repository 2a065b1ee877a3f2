"""Checks by a connection whether anything accepts requests at an address."""

from __future__ import annotations

import enum

import anyio

__all__ = ["Liveness", "check_liveness"]

# Time limit of the connection, in seconds; the round trip to the farthest
# upstream is a few milliseconds.
CONNECT_TIMEOUT_S = 0.2
# Time for which the connection must stay open, in seconds. A proxy accepts it
# and closes it when the server refuses.
OPEN_S = 0.1
# Errors by which the host itself says that nothing listens.
REFUSALS = (ConnectionRefusedError, ConnectionResetError)


class Liveness(enum.Enum):
    """What a check has found."""

    ALIVE = "alive"
    #: Connections are refused.
    REFUSED = "refused"
    #: Connections are closed at once, by the server or by a proxy before it.
    CLOSED = "closed"
    #: There was no reply in time.
    UNKNOWN = "unknown"


async def check_liveness(host: str, port: int) -> Liveness:
    """Opens a connection and closes it after a short time.

    No request is sent, so that a server that answers slowly, or nonsense, is
    alive.

    Args:
        host: IP address.
        port: TCP port.
    """
    stream = None
    with anyio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            stream = await anyio.connect_tcp(host, port)
        except OSError as error:
            is_refused = isinstance(error.__cause__ or error, REFUSALS)
            return Liveness.REFUSED if is_refused else Liveness.UNKNOWN
    if stream is None:
        return Liveness.UNKNOWN
    async with stream:
        with anyio.move_on_after(OPEN_S):
            try:
                await stream.receive(1)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return Liveness.CLOSED
    return Liveness.ALIVE

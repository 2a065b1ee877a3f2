"""Header of the frames between plumvane's own processes."""

from __future__ import annotations

import enum
import struct

__all__ = ["PROTOCOL_VERSION", "Header", "Kind", "pack", "unpack"]

PROTOCOL_VERSION = 1

_HEADER = struct.Struct("!BQI")


class Kind(enum.IntEnum):
    """What a frame is for."""

    HELLO = 1
    WELCOME = 2
    REFUSED = 3
    UNKNOWN_SESSION = 4
    CALL = 5
    PART = 6
    REPLY = 7
    ERROR = 8
    CANCEL = 9
    PING = 10
    PONG = 11


class Header:
    """Kind, call and sequence number of a frame.

    Attributes:
        kind: What the frame is for.
        call_id: Number of the call, unique in the session.
        sequence: Number of the part in its call.
    """

    __slots__ = ("call_id", "kind", "sequence")

    def __init__(self, kind: int, call_id: int, sequence: int) -> None:
        self.kind = kind
        self.call_id = call_id
        self.sequence = sequence


def pack(kind: Kind, call_id: int = 0, sequence: int = 0) -> bytes:
    """Returns a header's bytes."""
    return _HEADER.pack(kind, call_id, sequence)


def unpack(data: bytes) -> Header:
    """Reads a header.

    Raises:
        struct.error: The bytes are not a header.
    """
    return Header(*_HEADER.unpack(data))

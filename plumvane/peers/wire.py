"""Header of the frames exchanged between plumvane processes."""

from __future__ import annotations

import enum
import struct
from collections.abc import Sequence

from plumvane.errors import ProtocolError

__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "Header",
    "Kind",
    "pack",
    "split",
    "unpack",
]

PROTOCOL_VERSION = 1
# Maximum size of a frame, in bytes. The largest carry listings of the store.
MAX_FRAME_BYTES = 33_554_432

_HEADER = struct.Struct("!BQI")


class Kind(enum.IntEnum):
    """Type of a frame."""

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
    """Header of a frame.

    Attributes:
        kind: Type of the frame, a value of `Kind`.
        call_id: Number of the call, unique within the session.
        sequence: Number of the part within its call.
    """

    __slots__ = ("call_id", "kind", "sequence")

    def __init__(self, kind: int, call_id: int, sequence: int) -> None:
        self.kind = kind
        self.call_id = call_id
        self.sequence = sequence


def pack(kind: Kind, call_id: int = 0, sequence: int = 0) -> bytes:
    """Encodes a header."""
    return _HEADER.pack(kind, call_id, sequence)


def unpack(data: bytes) -> Header:
    """Decodes a header.

    Raises:
        struct.error: The data does not have the length of a header.
    """
    return Header(*_HEADER.unpack(data))


def split(frames: Sequence[bytes]) -> list[tuple[Header, bytes]]:
    """Decodes the frames of a message: headers, each followed by a body.

    Raises:
        ProtocolError: A frame is missing or is not a header.
    """
    if not frames or len(frames) % 2:
        raise ProtocolError(f"A message has {len(frames)} frames.")
    try:
        return [
            (unpack(frames[index]), frames[index + 1])
            for index in range(0, len(frames), 2)
        ]
    except struct.error as error:
        raise ProtocolError(f"A frame is not a header: {error}.") from error

"""Encoding and decoding of all messages."""

from __future__ import annotations

import functools
import operator
from typing import Any

import msgspec

from plumvane.peers.messages import (
    chunks,
    instances,
    jobs,
    loads,
    orders,
    partitions,
    reads,
    requests,
    runs,
    stores,
)
from plumvane.peers.messages.base import Message

__all__ = ["decode", "encode"]

# Each module registers its messages as subclasses when it is imported.
MODULES = (
    chunks,
    instances,
    jobs,
    loads,
    orders,
    partitions,
    reads,
    requests,
    runs,
    stores,
)

_Union: Any = functools.reduce(operator.or_, Message.__subclasses__())
_decoder = msgspec.msgpack.Decoder(_Union)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Returns a message's bytes."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Reads a message.

    Raises:
        msgspec.DecodeError: The bytes are not a known message.
    """
    return _decoder.decode(data)  # type: ignore[no-any-return]

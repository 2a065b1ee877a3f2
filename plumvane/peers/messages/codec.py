"""Encoding and decoding of all messages."""

from __future__ import annotations

import functools
import operator
from typing import Any

import msgspec

from plumvane import decoding
from plumvane.peers.messages import (
    chunks,
    instances,
    jobs,
    loads,
    orders,
    partitions,
    permits,
    prompts,
    quotas,
    reads,
    requests,
    runs,
    stores,
    streams,
)
from plumvane.peers.messages.base import Message

__all__ = ["decode", "encode"]

# Importing a module defines its messages as subclasses of `Message`, from which
# the decoder is built.
MESSAGE_MODULES = (
    chunks,
    instances,
    jobs,
    loads,
    orders,
    partitions,
    permits,
    prompts,
    quotas,
    reads,
    requests,
    runs,
    stores,
    streams,
)

_AnyMessage: Any = functools.reduce(operator.or_, Message.__subclasses__())
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(
    _AnyMessage
)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Encodes a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decodes a message.

    Raises:
        msgspec.DecodeError: The data is not a message of a known type.
    """
    return decoding.decode(_decoder, data)

"""Decoding of data that other processes have written."""

from __future__ import annotations

from typing import TypeVar

import msgspec

__all__ = ["decode"]

T = TypeVar("T")


def decode(
    decoder: msgspec.json.Decoder[T] | msgspec.msgpack.Decoder[T], data: bytes
) -> T:
    """Decodes data of any content.

    Unlike the decoder's own method, this raises the same error for values that
    are nested too deeply as for other malformed data.

    Args:
        decoder: Decoder of the expected type.
        data: The encoded value.

    Raises:
        msgspec.DecodeError: The data cannot be decoded to the expected type.
    """
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("The data is nested too deeply.") from error

"""Decoding of upstreams' registrations and load reports."""

from __future__ import annotations

import ipaddress
import math
import re
from typing import Annotated, Literal

import msgspec

from plumvane.decoding import decode
from plumvane.errors import ProtocolError
from plumvane.serving.upstreams import ListedUpstream, Load

__all__ = ["decode_load", "decode_report", "decode_upstream"]


# Loads and slots are counts; a negative load, or slots without end, would
# attract all requests.
MAX_COUNT = 1_000_000
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
# Largest integer that peer messages and logs can hold.
MAX_INTEGER = 2**63 - 1
_Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
MAX_PORT = 65_535
# Characters of an upstream's identifier, which its requests carry in a header.
_ID_PATTERN = re.compile(r"[!-~]+")


class _Registration(msgspec.Struct, rename="kebab"):
    """Registration that an upstream writes to the store.

    Attributes:
        service: Name of its service.
        address: IP address and port.
        zone: Its data centre.
        version: Version of its software.
        slots: Number of requests that it runs concurrently.
        state: Whether it accepts new requests.
        sequence: Sequence number of the heartbeat.
        born: Unix time of its start, in milliseconds.
    """

    service: str
    address: str
    zone: str
    slots: _Count
    state: Literal["ready", "draining"]
    sequence: _Integer
    version: str = ""
    born: _Integer = 0


class _Report(msgspec.Struct, rename="kebab"):
    """Load report of a model engine.

    Attributes:
        queue_depth: Number of queued requests.
        active_requests: Number of running requests.
    """

    queue_depth: _Count
    active_requests: _Count


_registration_decoder = msgspec.json.Decoder(_Registration)
_report_decoder = msgspec.json.Decoder(_Report)


def decode_upstream(upstream_id: str, value: bytes) -> ListedUpstream:
    """Decodes an upstream's registration.

    Args:
        upstream_id: Identifier of the upstream, which only the key contains.
        value: Value of the key.

    Raises:
        ProtocolError: The registration cannot be decoded, or a field is missing
            or invalid; the upstream cannot be used.
    """
    try:
        registration = decode(_registration_decoder, value)
        if not _ID_PATTERN.fullmatch(upstream_id):
            raise ValueError("no header can carry its identifier")
        host, port = _decode_address(registration.address)
        return ListedUpstream(
            upstream_id=upstream_id,
            service=registration.service,
            host=host,
            port=port,
            data_centre=registration.zone,
            slots=registration.slots,
            is_draining=registration.state == "draining",
            version=registration.version,
            started_ms=registration.born,
            report_number=registration.sequence,
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise ProtocolError(
            f"The registration of upstream {upstream_id} cannot be decoded: "
            f"{error}."
        ) from error


def _decode_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Raises:
        ValueError: Nothing can be reached there.
    """
    host, _, port = address.rpartition(":")
    if ipaddress.ip_address(host).is_unspecified:
        raise ValueError(f"{host} is no address of a host")
    is_decimal = port.isascii() and port.isdecimal()
    if not is_decimal or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{port} is not a port")
    return host, int(port)


def decode_load(text: bytes) -> Load | None:
    """Decodes the load header of a response; returns None if it is invalid.

    The fourth figure, in hundredths of the usual time, is the pace; an invalid
    one is not reported, and further figures are ignored.
    """
    figures = text.split(b",")
    try:
        running, waiting, slots = (int(figure) for figure in figures[:3])
    except ValueError:
        return None
    if not all(0 <= count <= MAX_COUNT for count in (running, waiting, slots)):
        return None
    pace = _decode_pace(figures[3]) if len(figures) > 3 else None
    return Load(running, waiting, slots, pace)


def _decode_pace(figure: bytes) -> float | None:
    try:
        hundredths = float(figure)
    except ValueError:
        return None
    return hundredths / 100 if 0 < hundredths < math.inf else None


def decode_report(body: bytes) -> Load:
    """Decodes an engine's load report, which does not include its slots.

    Raises:
        ProtocolError: The report cannot be decoded.
    """
    try:
        report = decode(_report_decoder, body)
    except msgspec.MsgspecError as error:
        raise ProtocolError(
            f"The load report cannot be decoded: {error}."
        ) from error
    return Load(report.active_requests, report.queue_depth, 0)

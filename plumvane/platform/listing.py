"""Upstreams as the platform's store lists them, and their reports."""

from __future__ import annotations

import ipaddress
from typing import Literal

import msgspec

from plumvane.errors import ProtocolError
from plumvane.serving.upstreams import ListedUpstream, Load

__all__ = ["decode_load", "decode_report", "decode_upstream"]


class _Entry(msgspec.Struct, rename="kebab"):
    """An entry that an upstream writes about itself.

    Attributes:
        service: Name of its service.
        address: IP number and port.
        zone: Data centre that it stands in.
        slots: Requests that it runs at once.
        state: Whether it takes new work.
        sequence: Number of the heartbeat.
        born: Unix time of its start in milliseconds.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    sequence: int
    born: int = 0


class _Report(msgspec.Struct, rename="kebab"):
    """A model engine's report.

    Attributes:
        queue_depth: Requests in its queue.
        active_requests: Requests that it runs.
    """

    queue_depth: int
    active_requests: int


_entry_decoder = msgspec.json.Decoder(_Entry)
_report_decoder = msgspec.json.Decoder(_Report)


def decode_upstream(upstream_id: str, value: bytes) -> ListedUpstream:
    """Reads an upstream's entry.

    Args:
        upstream_id: Its identifier, which stands in the key alone.
        value: Value of the key.

    Raises:
        ProtocolError: The entry cannot be read, lacks a field or has one of
            another type; it names no upstream to use.
    """
    try:
        entry = _entry_decoder.decode(value)
        host, _, port = entry.address.rpartition(":")
        ipaddress.ip_address(host)
        return ListedUpstream(
            upstream_id=upstream_id,
            service=entry.service,
            host=host,
            port=int(port),
            data_centre=entry.zone,
            slots=entry.slots,
            is_draining=entry.state == "draining",
            started_ms=entry.born,
            report_number=entry.sequence,
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise ProtocolError(
            f"The entry of upstream {upstream_id} is not understood: {error}."
        ) from error


def decode_load(text: bytes) -> Load | None:
    """Reads the load in an answer's header; None if it is not one."""
    parts = text.split(b",")
    try:
        running, waiting, slots = (int(part) for part in parts)
    except ValueError:
        return None
    return Load(running, waiting, slots)


def decode_report(body: bytes) -> Load:
    """Reads an engine's report; it does not tell the slots.

    Raises:
        ProtocolError: The report cannot be read.
    """
    try:
        report = _report_decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise ProtocolError(
            f"The report is not understood: {error}."
        ) from error
    return Load(report.active_requests, report.queue_depth, 0)

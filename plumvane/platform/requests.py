"""Callers' requests and upstreams' answers in HTTP."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from plumvane.platform import names
from plumvane.platform.listing import decode_load
from plumvane.serving.upstreams import Load

__all__ = [
    "AnswerHead",
    "CallerRequest",
    "answer_headers",
    "decode_answer",
    "decode_request",
    "item_headers",
    "milliseconds",
    "sent_headers",
]

HeaderList = list[tuple[bytes, bytes]]

# Headers that concern one connection (RFC 9110, section 7.6.1) or the length,
# which is set anew.
_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_OWN_HEADERS = frozenset(
    {names.DEADLINE_HEADER, names.EXPECTED_UPSTREAM_HEADER}
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request, read from its head.

    Attributes:
        request_id: Identifier of this attempt of the caller.
        method: HTTP method.
        target: Path and query, as bytes of the request line.
        path: Path without the query.
        host: Host header.
        headers: Headers that go on to the upstream.
        patience_s: Seconds that the caller waits from the start of its
            request, or None if it does not say.
        last_event_id: Event after which a stream goes on, or None.
    """

    request_id: str
    method: str
    target: bytes
    path: str
    host: str
    headers: HeaderList
    patience_s: float | None
    last_event_id: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an upstream's answer.

    Attributes:
        request_id: Identifier of the request that it answers.
        is_signed: Whether the upstream signed it.
        is_not_run: Whether the upstream says that it did not run the request.
        is_encoded: Whether its body is encoded, which no caller asked for.
        upstream_id: Upstream that answered, if it says so.
        load: Its load, if it says so.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    is_encoded: bool
    upstream_id: str
    load: Load | None


def decode_request(
    method: str, raw_path: bytes, query: bytes, headers: HeaderList
) -> CallerRequest:
    """Reads the head of a caller's request.

    Args:
        method: HTTP method.
        raw_path: Path as sent.
        query: Query as sent, without the question mark.
        headers: Headers, their names in lower case.
    """
    found = dict(headers)
    return CallerRequest(
        request_id=found.get(names.REQUEST_ID_HEADER, b"").decode("latin-1"),
        method=method,
        target=raw_path + b"?" + query if query else raw_path,
        path=raw_path.decode("latin-1"),
        host=found.get(b"host", b"").decode("latin-1"),
        headers=_end_to_end(headers, _OWN_HEADERS),
        patience_s=milliseconds(found.get(names.DEADLINE_HEADER)),
        last_event_id=_integer(found.get(names.LAST_EVENT_HEADER)),
    )


def sent_headers(
    headers: Iterable[tuple[bytes, bytes]],
    *,
    body_bytes: int | None,
    upstream_id: str,
    remaining_s: float | None,
    last_event_id: int | None,
) -> HeaderList:
    """Returns the headers of a request to an upstream.

    Args:
        headers: Headers of the caller or the item.
        body_bytes: Length of the body; None if there is none.
        upstream_id: The only upstream that may run it.
        remaining_s: Seconds that the sender still waits; None for no limit.
        last_event_id: Event after which the stream goes on, or None.
    """
    sent = [
        (name, value)
        for name, value in headers
        if name != names.LAST_EVENT_HEADER
    ]
    sent.append((names.EXPECTED_UPSTREAM_HEADER, upstream_id.encode()))
    if body_bytes is not None:
        sent.append((b"content-length", str(body_bytes).encode()))
    if remaining_s is not None:
        ms = max(1, int(remaining_s * 1000))
        sent.append((names.DEADLINE_HEADER, str(ms).encode()))
    if last_event_id is not None:
        sent.append((names.LAST_EVENT_HEADER, str(last_event_id).encode()))
    return sent


def item_headers(
    host: str, item_id: str, headers: dict[str, str]
) -> HeaderList:
    """Returns the headers of a batch item's request, without its deadline.

    Args:
        host: Host of the job's route.
        item_id: Identifier of the item, which is that of its request.
        headers: Headers that the item brings.
    """
    kept = [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
    ]
    taken = _OWN_HEADERS | {b"host", names.REQUEST_ID_HEADER}
    return [
        (b"host", host.encode("latin-1")),
        (names.REQUEST_ID_HEADER, item_id.encode("latin-1")),
        *_end_to_end(kept, taken),
    ]


def decode_answer(headers: HeaderList) -> AnswerHead:
    """Reads the head of an upstream's answer.

    Args:
        headers: Its headers, in any case.
    """
    found = {name.lower(): value for name, value in headers}
    load = found.get(names.LOAD_HEADER)
    return AnswerHead(
        request_id=found.get(names.REQUEST_ID_HEADER, b"").decode("latin-1"),
        is_signed=names.SIGNATURE_HEADER in found,
        is_not_run=names.NOT_RUN_HEADER in found,
        is_encoded=b"content-encoding" in found,
        upstream_id=found.get(names.UPSTREAM_ID_HEADER, b"").decode("latin-1"),
        load=decode_load(load) if load is not None else None,
    )


def answer_headers(headers: HeaderList) -> HeaderList:
    """Returns the headers of an upstream's answer that go to the caller."""
    return _end_to_end([(n.lower(), v) for n, v in headers], frozenset())


def _end_to_end(headers: HeaderList, also: frozenset[bytes]) -> HeaderList:
    """Returns the headers that do not concern one connection only."""
    dropped = set(_CONNECTION_HEADERS | also)
    for name, value in headers:
        if name == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    return [(name, value) for name, value in headers if name not in dropped]


def milliseconds(text: bytes | None) -> float | None:
    """Returns a header's milliseconds in seconds; None if it has no number."""
    try:
        return float(text) / 1000 if text else None
    except ValueError:
        return None


def _integer(text: bytes | None) -> int | None:
    try:
        return int(text) if text else None
    except ValueError:
        return None

"""Conversion of the heads of HTTP requests and responses."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from plumvane.hashing import request_fingerprint
from plumvane.platform import names
from plumvane.platform.listing import decode_load
from plumvane.serving.upstreams import Load

__all__ = [
    "CallerRequest",
    "ResponseHead",
    "body_length",
    "decode_request",
    "decode_response",
    "item_headers",
    "item_prompt",
    "milliseconds",
    "request_headers",
    "response_headers",
    "without_keys",
]

HeaderList = list[tuple[bytes, bytes]]

# Hop-by-hop headers (RFC 9110, section 7.6.1), and the content length, which is
# set again.
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
# Headers that tell where a body ends (RFC 9112, section 6.3).
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Headers that are set anew for each attempt; the sender's values are dropped.
_PER_ATTEMPT_HEADERS = frozenset(
    {names.DEADLINE_HEADER, names.EXPECTED_UPSTREAM_HEADER}
)
# Headers that only an instance may set or read where callers have keys.
_TEAM_HEADERS = frozenset({names.KEY_HEADER, names.TEAM_HEADER})


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """Head of a caller's request.

    Attributes:
        request_id: Identifier of this attempt of the caller.
        method: HTTP method.
        target: Path and query, as in the request line.
        path: Path without the query.
        host: Host header.
        headers: Headers that are forwarded to the upstream.
        timeout_s: Timeout of the caller in seconds from the start of its
            request, or None if it sets none.
        last_event_id: Event after which a stream is resumed, or None.
        resumed_id: Identifier of the caller's attempt that received the first
            event of the resumed stream; empty if it names none.
        prompt: Identifiers of the parts of its prompt, in order. Requests
            share parts, except the last, which belongs to the request or its
            session. Empty if it has no prompt.
        credentials: Credentials that the upstream gets; empty if there are
            none.
        key: Key of the caller; empty if it sends none.
    """

    request_id: str
    method: str
    target: bytes
    path: str
    host: str
    headers: HeaderList = dataclasses.field(repr=False)
    timeout_s: float | None
    last_event_id: int | None
    resumed_id: str
    prompt: tuple[str, ...] = ()
    credentials: bytes = dataclasses.field(default=b"", repr=False)
    key: bytes = dataclasses.field(default=b"", repr=False)

    def of_team(self, team: str | None) -> CallerRequest:
        """Returns the request as it may leave an instance that checks keys.

        Its headers name the team and nothing else that the caller sent about
        itself; its key is gone.

        Args:
            team: Name of the caller's team; None if it has none.
        """
        return dataclasses.replace(
            self, headers=_team_headers(self.headers, team or ""), key=b""
        )

    def fingerprint(self, body: bytes) -> str:
        """Returns what a repeat has in common with the request.

        The attempts of a caller, and later repeats, differ in their request
        ids, deadlines and the event after which they resume a stream. Keys of
        teams are left out: what an upstream runs does not depend on them.

        Args:
            body: Body of the request.
        """
        return request_fingerprint(
            self.method.encode(),
            self.host.encode("latin-1"),
            self.target,
            self.credentials,
            body,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of an upstream's response.

    Attributes:
        request_id: Identifier of the request that the response belongs to.
        is_signed: Whether the response has a signature.
        is_not_run: Whether the upstream reports that it did not run the
            request.
        is_encoded: Whether the body has a content encoding, which no caller
            requested.
        upstream_id: Upstream that sent the response; empty if not given.
        load: Load of the upstream, if given.
        is_leaving: Whether the upstream announces its shutdown.
        max_rate: Requests per second that the upstream accepts from all
            senders together, or None for no limit.
        ends_with_connection: Whether the body has neither a length nor chunks,
            so that it ends with the connection.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    is_encoded: bool
    upstream_id: str
    load: Load | None
    is_leaving: bool = False
    max_rate: float | None = None
    ends_with_connection: bool = False


def decode_request(
    method: str, raw_path: bytes, query: bytes, headers: HeaderList
) -> CallerRequest:
    """Decodes the head of a caller's request.

    Args:
        method: HTTP method.
        raw_path: Path as sent, still percent-encoded.
        query: Query as sent, without the question mark.
        headers: Headers with names in lower case.
    """
    found = dict(headers)
    return CallerRequest(
        request_id=found.get(names.REQUEST_ID_HEADER, b"").decode("latin-1"),
        method=method,
        target=raw_path + b"?" + query if query else raw_path,
        path=raw_path.decode("latin-1"),
        host=found.get(b"host", b"").decode("latin-1"),
        headers=_end_to_end_headers(headers, _PER_ATTEMPT_HEADERS),
        timeout_s=milliseconds(found.get(names.DEADLINE_HEADER)),
        last_event_id=_parse_integer(found.get(names.LAST_EVENT_HEADER)),
        resumed_id=found.get(names.RESUMES_HEADER, b"").decode("latin-1"),
        prompt=_decode_prompt(found.get(names.PROMPT_HEADER, b"")),
        credentials=found.get(names.CREDENTIALS_HEADER, b""),
        key=found.get(names.KEY_HEADER, b""),
    )


def _team_headers(headers: HeaderList, team: str) -> HeaderList:
    """Returns the headers with the name of a team and without any key.

    Args:
        headers: Headers with names in lower case.
        team: Name of the team; empty for none.
    """
    kept = [row for row in headers if row[0] not in _TEAM_HEADERS]
    if team:
        kept.append((names.TEAM_HEADER, team.encode()))
    return kept


def request_headers(
    headers: Iterable[tuple[bytes, bytes]],
    *,
    body_bytes: int | None,
    upstream_id: str,
    remaining_s: float | None,
    last_event_id: int | None,
) -> HeaderList:
    """Returns the headers of a request to an upstream.

    Args:
        headers: Headers of the caller or the batch item.
        body_bytes: Length of the body; None if there is none.
        upstream_id: The only upstream that may run the request.
        remaining_s: Time until the deadline in seconds; None for no deadline.
        last_event_id: Event after which the stream is resumed, or None.
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


def without_keys(headers: dict[str, str]) -> dict[str, str]:
    """Returns a batch item's headers without keys and names of teams.

    Args:
        headers: Headers of the item, with names in any case.
    """
    return {
        name: value
        for name, value in headers.items()
        if name.lower().encode("latin-1") not in _TEAM_HEADERS
    }


def item_headers(
    host: str, item_id: str, headers: dict[str, str], team: str | None = None
) -> HeaderList:
    """Returns the headers of a batch item's request, without its deadline.

    Args:
        host: Host of the job's route.
        item_id: Identifier of the item, which is also the request's identifier.
        headers: Headers of the item.
        team: Team of the job, empty if it has none; None if callers need no
            keys.
    """
    encoded = [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
    ]
    excluded = _PER_ATTEMPT_HEADERS | {b"host", names.REQUEST_ID_HEADER}
    sent = [
        (b"host", host.encode("latin-1")),
        (names.REQUEST_ID_HEADER, item_id.encode("latin-1")),
        *_end_to_end_headers(encoded, excluded),
    ]
    return sent if team is None else _team_headers(sent, team)


def item_prompt(headers: dict[str, str]) -> tuple[str, ...]:
    """Returns the parts of a batch item's prompt; see `CallerRequest.prompt`.

    Args:
        headers: Headers of the item, with names in any case.
    """
    for name, value in headers.items():
        if name.lower().encode("latin-1") == names.PROMPT_HEADER:
            return _decode_prompt(value.encode("latin-1"))
    return ()


def body_length(headers: HeaderList) -> int:
    """Returns the length of a body that its head announces; 0 if it does not.

    Args:
        headers: Headers with names in lower case.
    """
    return max(0, _parse_integer(dict(headers).get(b"content-length")) or 0)


def _decode_prompt(value: bytes) -> tuple[str, ...]:
    entries = value.decode("latin-1").split(",")
    ids = [entry.partition(":")[0].strip() for entry in entries]
    return tuple(part_id for part_id in ids if part_id)


def decode_response(headers: HeaderList) -> ResponseHead:
    """Decodes the head of an upstream's response.

    Args:
        headers: Headers with names in any case.
    """
    found = {name.lower(): value for name, value in headers}
    load = found.get(names.LOAD_HEADER)
    return ResponseHead(
        request_id=found.get(names.REQUEST_ID_HEADER, b"").decode("latin-1"),
        is_signed=names.SIGNATURE_HEADER in found,
        is_not_run=names.NOT_RUN_HEADER in found,
        is_encoded=b"content-encoding" in found,
        upstream_id=found.get(names.UPSTREAM_ID_HEADER, b"").decode("latin-1"),
        load=decode_load(load) if load is not None else None,
        is_leaving=names.LEAVING_HEADER in found,
        max_rate=_parse_rate(found.get(names.LIMIT_HEADER)),
        ends_with_connection=_FRAMING_HEADERS.isdisjoint(found),
    )


def response_headers(headers: HeaderList) -> HeaderList:
    """Returns the headers of a response that are forwarded to the caller."""
    return _end_to_end_headers(
        [(n.lower(), v) for n, v in headers], frozenset()
    )


def _end_to_end_headers(
    headers: HeaderList, excluded: frozenset[bytes]
) -> HeaderList:
    """Returns the headers except hop-by-hop headers and those in `excluded`."""
    dropped = set(_CONNECTION_HEADERS | excluded)
    for name, value in headers:
        if name == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    return [(name, value) for name, value in headers if name not in dropped]


def milliseconds(text: bytes | None) -> float | None:
    """Converts a header's milliseconds to seconds; returns None if invalid."""
    try:
        return float(text) / 1000 if text else None
    except ValueError:
        return None


def _parse_rate(text: bytes | None) -> float | None:
    """Returns a rate that is finite and not negative, or None.

    Figures after the first are ignored.
    """
    try:
        rate = float(text.partition(b",")[0]) if text else None
    except ValueError:
        return None
    return rate if rate is not None and 0 <= rate < math.inf else None


def _parse_integer(text: bytes | None) -> int | None:
    try:
        return int(text) if text else None
    except ValueError:
        return None

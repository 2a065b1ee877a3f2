"""Client of the platform's store."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TypeVar
from urllib.parse import quote

import msgspec

from plumvane import clock
from plumvane.decoding import decode
from plumvane.errors import (
    BodyTooLargeError,
    ConflictError,
    HistoryLostError,
    NotFoundError,
    ProtocolError,
    StoreUnavailableError,
)
from plumvane.httppool import KEEPALIVE_SOCKET_OPTIONS, HttpPool
from plumvane.store.base import (
    MAX_TRANSACTION_ENTRIES,
    Lease,
    Record,
    TransactionalStore,
    WatchResult,
    Write,
)
from plumvane.store.calls import StoreHttpClient

__all__ = ["PlatformStore"]

# The store responds within milliseconds, or within 300 ms when it is slow.
CALL_TIMEOUT_S = 1.5
# The store answers a watch at its deadline; the margin is for the transfer of
# the response.
WATCH_MARGIN_S = 1.5
# The store's limit on the duration of one watch.
MAX_WATCH_S = 30.0
# Delay in seconds after which a caller may retry a failed call; an outage that
# is over by then costs the caller one attempt.
RETRY_AFTER_S = 1.0
# Statuses of calls that had no effect: rate limit exceeded, or unavailable.
REFUSALS = frozenset({429, 503})

T = TypeVar("T")


class _StoredRecord(msgspec.Struct, rename="kebab"):
    """A key with its value, or the deletion of a key.

    Attributes:
        key: The key.
        revision: Revision of its last change.
        value: Value of the key; base64 in JSON.
        tombstone: Whether the key was deleted at this revision.
    """

    key: str
    revision: int
    value: bytes = b""
    tombstone: bool = False

    def to_record(self) -> Record:
        """Converts the record to the internal type."""
        return Record(self.key, self.value, self.revision, self.tombstone)


class _RangePage(msgspec.Struct, rename="kebab"):
    items: list[_StoredRecord]
    has_more: bool
    store_revision: int


class _WatchResponse(msgspec.Struct, rename="kebab"):
    events: list[_StoredRecord]
    store_revision: int


class _TransactionResponse(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct, rename="kebab"):
    ttl_ms: int
    lease: int = 0


class _Condition(msgspec.Struct):
    key: str
    revision: int


class _Put(msgspec.Struct, omit_defaults=True):
    key: str
    value: bytes
    lease: int = 0


class _Transaction(msgspec.Struct, rename="kebab"):
    """Request body of a transaction.

    Attributes:
        expected_rev: Keys with their required revisions.
        writes: Keys with their new values.
        remove: Keys to delete.
    """

    expected_rev: list[_Condition]
    writes: list[_Put]
    remove: list[str]


_record_decoder = msgspec.json.Decoder(_StoredRecord)
_page_decoder = msgspec.json.Decoder(_RangePage)
_watch_decoder = msgspec.json.Decoder(_WatchResponse)
_transaction_decoder = msgspec.json.Decoder(_TransactionResponse)
_lease_decoder = msgspec.json.Decoder(_Lease)


class PlatformStore(TransactionalStore):
    """Client of the platform's store over HTTP."""

    def __init__(self, url: str) -> None:
        """Creates the client.

        Args:
            url: Base URL of the store, without a trailing slash.
        """
        self._calls = StoreHttpClient(
            url,
            HttpPool(socket_options=KEEPALIVE_SOCKET_OPTIONS),
            retry_after_s=RETRY_AFTER_S,
            refusals=REFUSALS,
        )

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._calls.aclose()

    async def get(self, key: str) -> Record | None:
        """See base class."""
        status, body = await self._call("GET", f"/v1/kv-key?key={_quote(key)}")
        if status == 404:
            return None
        _raise_for_status(status, key)
        return _decode(body, _record_decoder).to_record()

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int | None = None
    ) -> WatchResult:
        """See base class.

        The pages are not a consistent snapshot. The returned revision is that
        of the first page, so that a watch from there reports changes between
        the pages.
        """
        records: list[Record] = []
        revision: int | None = None
        while True:
            path = f"/v1/kv-range?path-prefix={_quote(prefix)}"
            if after_key:
                path += f"&after={_quote(after_key)}"
            status, body = await self._call("GET", path)
            _raise_for_status(status, prefix)
            page = _decode(body, _page_decoder)
            if revision is None:
                revision = page.store_revision
            records.extend(item.to_record() for item in page.items)
            is_limit_reached = limit is not None and len(records) >= limit
            if is_limit_reached or not page.has_more or not page.items:
                return WatchResult(tuple(records[:limit]), revision)
            if page.items[-1].key <= after_key:
                raise StoreUnavailableError(
                    f"The store's pages of {prefix} do not advance.",
                    retry_after_s=RETRY_AFTER_S,
                )
            after_key = page.items[-1].key

    async def transact(
        self, writes: Sequence[Write], *, expected_by_key: Mapping[str, int]
    ) -> int:
        """See base class."""
        if len(writes) + len(expected_by_key) > MAX_TRANSACTION_ENTRIES:
            raise BodyTooLargeError(
                f"A transaction has {len(writes) + len(expected_by_key)} "
                f"entries; {MAX_TRANSACTION_ENTRIES} are allowed."
            )
        sent = _Transaction(
            [_Condition(key, rev) for key, rev in expected_by_key.items()],
            [
                _Put(w.key, w.value, int(w.lease_id or 0))
                for w in writes
                if w.value is not None
            ],
            [write.key for write in writes if write.value is None],
        )
        status, body = await self._call(
            "POST", "/v1/kv-txn", msgspec.json.encode(sent)
        )
        _raise_for_status(status, ", ".join(write.key for write in writes))
        return _decode(body, _transaction_decoder).revision

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        """See base class."""
        wait_s = min(clock.remaining(deadline), MAX_WATCH_S)
        path = (
            f"/v1/kv-watch?path-prefix={_quote(prefix)}"
            f"&after={after_revision}&wait-ms="
        )
        answer = await self._calls.send_watch(
            f"{path}{int(wait_s * 1000)}",
            f"{path}0",
            wait_s=wait_s,
            timeout_s=wait_s + WATCH_MARGIN_S,
        )
        if answer.status == 410:
            raise HistoryLostError(
                f"Changes since revision {after_revision} are not available."
            )
        _raise_for_status(answer.status, prefix)
        response = _decode(answer.content, _watch_decoder)
        records = tuple(item.to_record() for item in response.events)
        return WatchResult(records, response.store_revision)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """See base class."""
        sent = clock.monotonic()
        status, body = await self._call(
            "POST",
            "/v1/kv-lease",
            msgspec.json.encode({"ttl-ms": int(ttl_s * 1000)}),
        )
        _raise_for_status(status, "A lease")
        lease = _decode(body, _lease_decoder)
        return Lease(str(lease.lease), sent + lease.ttl_ms / 1000)

    async def renew_lease(self, lease_id: str) -> Lease:
        """See base class."""
        sent = clock.monotonic()
        status, body = await self._call("POST", f"/v1/kv-keep/{lease_id}")
        if status == 404:
            raise NotFoundError(f"Lease {lease_id} has expired.")
        _raise_for_status(status, lease_id)
        return Lease(
            lease_id, sent + _decode(body, _lease_decoder).ttl_ms / 1000
        )

    async def revoke_lease(self, lease_id: str) -> None:
        """See base class."""
        await self._call("DELETE", f"/v1/kv-lease-end/{lease_id}")

    async def _call(
        self,
        method: str,
        path: str,
        content: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        """Sends one request; returns the status and the body."""
        headers = [("content-type", "application/json")] if content else []
        if content or method == "POST":
            headers.append(("content-length", str(len(content))))
        response = await self._calls.send(
            method,
            path,
            headers=headers,
            content=content,
            timeout_s=timeout_s,
        )
        return response.status, response.content


def _quote(text: str) -> str:
    return quote(text, safe="/")


def _raise_for_status(status: int, subject: str) -> None:
    """Raises the error for the status of a failed call."""
    if status < 300:
        return
    if status == 412:
        raise ConflictError(f"{subject} is at another revision than expected.")
    if status == 404:
        raise NotFoundError(f"The lease of {subject} has expired.")
    if status == 413:
        raise BodyTooLargeError(f"The value of {subject} is over the limit.")
    raise ProtocolError(f"The store returned status {status} for {subject}.")


def _decode(body: bytes, decoder: msgspec.json.Decoder[T]) -> T:
    try:
        return decode(decoder, body)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(
            f"The store's response cannot be decoded: {error}.",
            retry_after_s=RETRY_AFTER_S,
        ) from error

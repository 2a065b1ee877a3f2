"""The platform's store behind the project's interface."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TypeVar
from urllib.parse import quote

import msgspec

from plumvane import clock
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

# The store answers in milliseconds, and in up to 300 ms when it is slow.
CALL_TIMEOUT_S = 1.5
# A watch answers at its deadline; the margin covers the way back.
WATCH_MARGIN_S = 1.5
# The store's limit on the time of one watch.
MAX_WATCH_S = 30.0
# When a caller may come back after a failed call, in seconds: an outage that is
# over by then costs it one attempt.
RETRY_AFTER_S = 1.0
# Statuses that say that nothing was done: over the rate, or not serving.
REFUSALS = frozenset({429, 503})

T = TypeVar("T")


class _Item(msgspec.Struct, rename="kebab"):
    """A key with its value, or a deletion, as the store sends it.

    Attributes:
        key: The key.
        revision: Revision of its last change.
        value: Its value, as base64 text on the wire.
        tombstone: Whether the key was deleted at this revision.
    """

    key: str
    revision: int
    value: bytes = b""
    tombstone: bool = False

    def record(self) -> Record:
        """Returns it in the project's form."""
        return Record(self.key, self.value, self.revision, self.tombstone)


class _Range(msgspec.Struct, rename="kebab"):
    items: list[_Item]
    has_more: bool
    store_revision: int


class _Watch(msgspec.Struct, rename="kebab"):
    events: list[_Item]
    store_revision: int


class _Written(msgspec.Struct):
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
    """A transaction as the store takes it.

    Attributes:
        expected_rev: Keys with the revisions that must stand.
        writes: Keys with their new values.
        remove: Keys to delete.
    """

    expected_rev: list[_Condition]
    writes: list[_Put]
    remove: list[str]


class PlatformStore(TransactionalStore):
    """Calls the platform's store over HTTP."""

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
        return _decode(body, _Item).record()

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int | None = None
    ) -> WatchResult:
        """See base class.

        The pages are no snapshot, so the revision is that of the first page:
        a watch from there shows what changed between the pages.
        """
        found: list[Record] = []
        revision: int | None = None
        while True:
            path = f"/v1/kv-range?path-prefix={_quote(prefix)}"
            if after_key:
                path += f"&after={_quote(after_key)}"
            status, body = await self._call("GET", path)
            _raise_for_status(status, prefix)
            page = _decode(body, _Range)
            if revision is None:
                revision = page.store_revision
            found.extend(item.record() for item in page.items)
            enough = limit is not None and len(found) >= limit
            if enough or not page.has_more or not page.items:
                return WatchResult(tuple(found[:limit]), revision)
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
        return _decode(body, _Written).revision

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        """See base class."""
        wait_s = min(clock.remaining(deadline), MAX_WATCH_S)
        path = (
            f"/v1/kv-watch?path-prefix={_quote(prefix)}"
            f"&after={after_revision}&wait-ms={int(wait_s * 1000)}"
        )
        status, body = await self._call(
            "GET", path, timeout_s=wait_s + WATCH_MARGIN_S
        )
        if status == 410:
            raise HistoryLostError(
                f"Changes since revision {after_revision} are forgotten."
            )
        _raise_for_status(status, prefix)
        answer = _decode(body, _Watch)
        records = tuple(item.record() for item in answer.events)
        return WatchResult(records, answer.store_revision)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """See base class."""
        sent = clock.monotonic()
        status, body = await self._call(
            "POST",
            "/v1/kv-lease",
            msgspec.json.encode({"ttl-ms": int(ttl_s * 1000)}),
        )
        _raise_for_status(status, "A lease")
        lease = _decode(body, _Lease)
        return Lease(str(lease.lease), sent + lease.ttl_ms / 1000)

    async def renew_lease(self, lease_id: str) -> Lease:
        """See base class."""
        sent = clock.monotonic()
        status, body = await self._call("POST", f"/v1/kv-keep/{lease_id}")
        if status == 404:
            raise NotFoundError(f"Lease {lease_id} has lapsed.")
        _raise_for_status(status, lease_id)
        return Lease(lease_id, sent + _decode(body, _Lease).ttl_ms / 1000)

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
        """Sends one call; returns the status and the body."""
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


def _raise_for_status(status: int, what: str) -> None:
    """Raises the error that an answer's status stands for, if any."""
    if status < 300:
        return
    if status == 412:
        raise ConflictError(f"{what} stands at another revision.")
    if status == 404:
        raise NotFoundError(f"The lease of {what} has lapsed.")
    if status == 413:
        raise BodyTooLargeError(f"The value of {what} is over the limit.")
    raise ProtocolError(f"The store answered {status} for {what}.")


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(
            f"The store's answer is not understood: {error}.",
            retry_after_s=RETRY_AFTER_S,
        ) from error

"""Stand-in for the platform's store, by its published HTTP API."""

from __future__ import annotations

import asyncio
import base64
import bisect
import dataclasses
import json
import time
from collections.abc import Awaitable, Callable

from review.rig2.wire import Request, Writer, serve

__all__ = ["Item", "Store"]

ANSWER_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


@dataclasses.dataclass
class Item:
    """A key of the store."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0


@dataclasses.dataclass
class _Lease:
    ttl_s: float
    ends_at: float


class Store:
    """Key-value store with revisions, leases and watches.

    Attributes:
        items_by_key: The keys that exist.
        before_call: Called with each request before it is executed; returns
            whether to go on. It may answer or cut the request itself.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self.items_by_key: dict[str, Item] = {}
        self.revision = 1
        self.before_call: Callable[[Request, Writer], Awaitable[bool]] | None
        self.before_call = None
        self._history: list[tuple[int, str]] = []
        self._forgotten = 0
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 70_000
        self._changed = asyncio.Event()
        self._sorted_keys: list[str] | None = None

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Serves the store on an address."""
        return await serve(host, port, self._handle)

    async def expire_leases(self) -> None:
        """Ends leases that were not renewed, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for number in [
                n for n, lease in self._leases.items() if lease.ends_at < now
            ]:
                self._end_lease(number)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key and returns its revision."""
        self.revision += 1
        self._write(key, value, lease)
        return self.revision

    def load(self, rows: list[tuple[str, bytes]]) -> None:
        """Adds keys that were there for longer than the history goes back."""
        for key, value in rows:
            self.revision += 1
            self.items_by_key[key] = Item(
                key, value, self.revision, self.revision
            )
        if rows:
            self._sorted_keys = None
            self._history.clear()
            self._forgotten = self.revision

    def remove(self, key: str) -> None:
        """Removes a key."""
        if key in self.items_by_key:
            self.revision += 1
            self._delete(key)

    def _write(self, key: str, value: bytes, lease: int) -> None:
        known = self.items_by_key.get(key)
        created = known.created if known else self.revision
        if known is None:
            self._sorted_keys = None
        self.items_by_key[key] = Item(key, value, self.revision, created, lease)
        self._record(key)

    def _delete(self, key: str) -> None:
        del self.items_by_key[key]
        self._sorted_keys = None
        self._record(key)

    def _record(self, key: str) -> None:
        self._history.append((self.revision, key))
        if len(self._history) > 20_000:
            self._forgotten = self._history[10_000 - 1][0]
            del self._history[:10_000]
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, number: int) -> None:
        if self._leases.pop(number, None) is None:
            return
        keys = [i.key for i in self.items_by_key.values() if i.lease == number]
        for key in keys:
            self.remove(key)

    async def _handle(self, request: Request, writer: Writer) -> None:
        if self.before_call is not None and not await self.before_call(
            request, writer
        ):
            return
        await asyncio.sleep(ANSWER_S)
        status, body = await self._execute(request)
        await writer.respond(
            status,
            json.dumps(body).encode() if body is not None else b"",
            {"Content-Type": "application/json"},
        )

    async def _execute(self, request: Request) -> tuple[int, object]:
        number = request.path.rpartition("/")[2]
        match request.path.split("/")[2]:
            case "kv-key":
                item = self.items_by_key.get(request.query("key"))
                if item is None:
                    return 404, None
                return 200, {**_row(item), "store-revision": self.revision}
            case "kv-range":
                return 200, self._range(request)
            case "kv-watch":
                return await self._watch(request)
            case "kv-txn":
                return self._transact(json.loads(request.body))
            case "kv-lease":
                ttl_ms = json.loads(request.body)["ttl-ms"]
                self._next_lease += 1
                self._leases[self._next_lease] = _Lease(
                    ttl_ms / 1000, time.monotonic() + ttl_ms / 1000
                )
                return 200, {"lease": self._next_lease, "ttl-ms": ttl_ms}
            case "kv-keep":
                lease = self._leases.get(int(number))
                if lease is None:
                    return 404, None
                lease.ends_at = time.monotonic() + lease.ttl_s
                return 200, {"ttl-ms": int(lease.ttl_s * 1000)}
            case "kv-lease-end":
                self._end_lease(int(number))
                return 200, {}
        return 400, None

    def _range(self, request: Request) -> dict[str, object]:
        prefix = request.query("path-prefix")
        if self._sorted_keys is None:
            self._sorted_keys = sorted(self.items_by_key)
        keys = self._sorted_keys
        after = request.query("after")
        at = bisect.bisect_left(keys, prefix)
        if after:
            at = max(at, bisect.bisect_right(keys, after))
        rows: list[dict[str, object]] = []
        size = 0
        while at < len(keys) and keys[at].startswith(prefix):
            item = self.items_by_key[keys[at]]
            if len(rows) >= PAGE_ITEMS or (rows and size > PAGE_BYTES):
                break
            rows.append(_row(item))
            size += len(item.value)
            at += 1
        more = at < len(keys) and keys[at].startswith(prefix)
        return {
            "items": rows,
            "has-more": more,
            "store-revision": self.revision,
        }

    async def _watch(self, request: Request) -> tuple[int, object]:
        prefix = request.query("path-prefix")
        after = int(request.query("after"))
        ends_at = time.monotonic() + int(request.query("wait-ms")) / 1000
        while True:
            if after < self._forgotten:
                return 410, None
            changed = self._changed
            at = bisect.bisect_right(self._history, (after, "\U0010ffff"))
            last: dict[str, int] = {}
            for revision, key in self._history[at:]:
                if key.startswith(prefix):
                    last[key] = revision
            left_s = ends_at - time.monotonic()
            if last or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue
        events: list[dict[str, object]] = []
        for key, revision in sorted(last.items(), key=lambda row: row[1]):
            item = self.items_by_key.get(key)
            if item is not None:
                events.append(_row(item))
            else:
                events.append(
                    {"key": key, "revision": revision, "tombstone": True}
                )
        return 200, {"events": events, "store-revision": self.revision}

    def _transact(self, body: dict[str, list]) -> tuple[int, object]:
        for row in body["expected-rev"]:
            item = self.items_by_key.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": []}
        for row in body["writes"]:
            if row.get("lease", 0) and row["lease"] not in self._leases:
                return 404, None
        self.revision += 1
        for row in body["writes"]:
            value = base64.b64decode(row["value"])
            self._write(row["key"], value, row.get("lease", 0))
        for key in body["remove"]:
            if key in self.items_by_key:
                self._delete(key)
        return 200, {"revision": self.revision}


def _row(item: Item) -> dict[str, object]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "create-rev": item.created,
        "lease": item.lease,
    }

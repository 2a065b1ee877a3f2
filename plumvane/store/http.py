"""Store behind the platform's HTTP interface."""

from __future__ import annotations

import base64
import json
from typing import Any
from urllib.parse import quote

from plumvane import clock
from plumvane.errors import (
    BodyTooLargeError,
    ConflictError,
    HistoryLostError,
    NotFoundError,
    StoreUnavailableError,
)
from plumvane.httppool import HttpPool
from plumvane.store.base import Lease, Record, Store, WatchResult
from plumvane.store.calls import StoreHttpClient

__all__ = ["HttpStore"]

CALL_TIMEOUT_S = 2.0
# The store is down once calls have failed for this with none answered.
DOWN_AFTER_S = 0.5
# A watch answers at its deadline; the margin covers the way back.
WATCH_MARGIN_S = 2.0
RETRY_AFTER_S = 2.0


class HttpStore(Store):
    """Calls the store's HTTP interface through one connection pool."""

    def __init__(self, url: str) -> None:
        """Creates the client.

        Args:
            url: Base URL of the store, without a trailing slash.
        """
        self._calls = StoreHttpClient(
            url, HttpPool(), retry_after_s=RETRY_AFTER_S
        )

    def is_down(self) -> bool:
        """Returns whether calls have only failed for a while."""
        return self._calls.failing_s() >= DOWN_AFTER_S

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._calls.aclose()

    async def get(self, key: str) -> Record | None:
        """See base class."""
        status, headers, body = await self._call("GET", f"/keys/{quote(key)}")
        if status == 404:
            return None
        _raise_for_status(status, key)
        return Record(key, body, int(headers["revision"]))

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int | None = None
    ) -> WatchResult:
        """See base class."""
        path = f"/list?prefix={quote(prefix)}&after_key={quote(after_key)}"
        if limit is not None:
            path += f"&limit={limit}"
        status, _, body = await self._call("GET", path)
        _raise_for_status(status, prefix)
        return _watch_result(body)

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int | None,
        lease_id: str | None = None,
    ) -> int:
        """See base class."""
        headers = {}
        if expected_revision is not None:
            headers["expected-revision"] = str(expected_revision)
        if lease_id is not None:
            headers["lease-id"] = lease_id
        status, answer, _ = await self._call(
            "PUT", f"/keys/{quote(key)}", headers, value
        )
        _raise_for_status(status, key)
        return int(answer["revision"])

    async def delete(self, key: str, *, expected_revision: int | None) -> None:
        """See base class."""
        headers = {}
        if expected_revision is not None:
            headers["expected-revision"] = str(expected_revision)
        status, _, _ = await self._call(
            "DELETE", f"/keys/{quote(key)}", headers
        )
        _raise_for_status(status, key)

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        """See base class."""
        wait_s = clock.remaining(deadline)
        path = (
            f"/watch?prefix={quote(prefix)}"
            f"&after={after_revision}&wait_s={wait_s:.3f}"
        )
        status, _, body = await self._call(
            "GET", path, timeout_s=wait_s + WATCH_MARGIN_S
        )
        if status == 410:
            raise HistoryLostError(
                f"Changes since revision {after_revision} are forgotten."
            )
        _raise_for_status(status, prefix)
        return _watch_result(body)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """See base class."""
        sent = clock.monotonic()
        status, _, body = await self._call("POST", f"/leases?ttl_s={ttl_s}")
        _raise_for_status(status, "A lease")
        return Lease(json.loads(body)["lease_id"], sent + ttl_s)

    async def renew_lease(self, lease_id: str) -> Lease:
        """See base class."""
        sent = clock.monotonic()
        status, _, body = await self._call("POST", f"/leases/{lease_id}/renew")
        if status == 404:
            raise NotFoundError(f"Lease {lease_id} has lapsed.")
        _raise_for_status(status, lease_id)
        return Lease(lease_id, sent + float(json.loads(body)["ttl_s"]))

    async def revoke_lease(self, lease_id: str) -> None:
        """See base class."""
        await self._call("DELETE", f"/leases/{lease_id}")

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        content: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends one call.

        Returns:
            The status, the headers by lower-case name and the body.

        Raises:
            StoreUnavailableError: No answer, or an answer of the 500s.
        """
        response = await self._calls.send(
            method,
            path,
            headers=list((headers or {}).items()),
            content=content,
            timeout_s=timeout_s,
        )
        answer = {
            name.decode("ascii").lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        return response.status, answer, response.content


def _raise_for_status(status: int, key: str) -> None:
    """Raises the error that an answer's status stands for, if any."""
    if status < 300:
        return
    if status == 409:
        raise ConflictError(f"{key} stands at another revision.")
    if status == 404:
        raise NotFoundError(f"The lease of {key} has lapsed.")
    if status == 413:
        raise BodyTooLargeError(f"The value of {key} is over the limit.")
    raise StoreUnavailableError(
        f"The store answered {status} for {key}.", retry_after_s=RETRY_AFTER_S
    )


def _watch_result(body: bytes) -> WatchResult:
    answer: dict[str, Any] = json.loads(body)
    records = tuple(
        Record(
            item["key"],
            base64.b64decode(item["value"]),
            item["revision"],
            item["deleted"],
        )
        for item in answer["records"]
    )
    return WatchResult(records, answer["revision"])

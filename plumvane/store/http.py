"""Client of a store with an HTTP interface."""

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
# Time without a successful call after which the store counts as down, in
# seconds.
DOWN_AFTER_S = 0.5
# Time beyond the deadline of a watch in which its response may arrive, in
# seconds; the store responds at the deadline.
WATCH_MARGIN_S = 2.0
RETRY_AFTER_S = 2.0


class HttpStore(Store):
    """Calls the store through a pool of HTTP connections."""

    def __init__(self, url: str) -> None:
        """Creates the client.

        Args:
            url: Base URL of the store, without a trailing slash.
        """
        self._client = StoreHttpClient(
            url, HttpPool(), retry_after_s=RETRY_AFTER_S
        )

    def is_down(self) -> bool:
        """Returns whether calls have been failing for `DOWN_AFTER_S`."""
        return self._client.failure_duration_s() >= DOWN_AFTER_S

    async def aclose(self) -> None:
        """Closes the connection pool."""
        await self._client.aclose()

    async def get(self, key: str) -> Record | None:
        """See base class."""
        status, headers, body = await self._request(
            "GET", f"/keys/{quote(key)}"
        )
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
        status, _, body = await self._request("GET", path)
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
        status, response_headers, _ = await self._request(
            "PUT", f"/keys/{quote(key)}", headers, value
        )
        _raise_for_status(status, key)
        return int(response_headers["revision"])

    async def delete(self, key: str, *, expected_revision: int | None) -> None:
        """See base class."""
        headers = {}
        if expected_revision is not None:
            headers["expected-revision"] = str(expected_revision)
        status, _, _ = await self._request(
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
        status, _, body = await self._request(
            "GET", path, timeout_s=wait_s + WATCH_MARGIN_S
        )
        if status == 410:
            raise HistoryLostError(
                f"The store has no history since revision {after_revision}."
            )
        _raise_for_status(status, prefix)
        return _watch_result(body)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """See base class."""
        sent_at = clock.monotonic()
        status, _, body = await self._request("POST", f"/leases?ttl_s={ttl_s}")
        _raise_for_status(status, "A lease")
        return Lease(json.loads(body)["lease_id"], sent_at + ttl_s)

    async def renew_lease(self, lease_id: str) -> Lease:
        """See base class."""
        sent_at = clock.monotonic()
        status, _, body = await self._request(
            "POST", f"/leases/{lease_id}/renew"
        )
        if status == 404:
            raise NotFoundError(f"Lease {lease_id} has expired.")
        _raise_for_status(status, lease_id)
        return Lease(lease_id, sent_at + float(json.loads(body)["ttl_s"]))

    async def revoke_lease(self, lease_id: str) -> None:
        """See base class."""
        await self._request("DELETE", f"/leases/{lease_id}")

    async def _request(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        content: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request.

        Returns:
            Status, headers by lower-case name, and body of the response.

        Raises:
            StoreUnavailableError: No response, or a 5xx status.
        """
        response = await self._client.send(
            method,
            path,
            headers=list((headers or {}).items()),
            content=content,
            timeout_s=timeout_s,
        )
        response_headers = {
            name.decode("ascii").lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        return response.status, response_headers, response.content


def _raise_for_status(status: int, key: str) -> None:
    """Raises the error that corresponds to a response status, if any."""
    if status < 300:
        return
    if status == 409:
        raise ConflictError(f"{key} is at another revision.")
    if status == 404:
        raise NotFoundError(f"The lease of {key} has expired.")
    if status == 413:
        raise BodyTooLargeError(f"The value of {key} exceeds the size limit.")
    raise StoreUnavailableError(
        f"The store returned status {status} for {key}.",
        retry_after_s=RETRY_AFTER_S,
    )


def _watch_result(body: bytes) -> WatchResult:
    content: dict[str, Any] = json.loads(body)
    records = tuple(
        Record(
            item["key"],
            base64.b64decode(item["value"]),
            item["revision"],
            item["deleted"],
        )
        for item in content["records"]
    )
    return WatchResult(records, content["revision"])

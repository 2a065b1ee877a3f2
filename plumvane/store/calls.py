"""HTTP calls to a store, with timeouts and availability tracking."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import anyio
import httpcore

from plumvane import clock, events
from plumvane.errors import StoreUnavailableError
from plumvane.httppool import NETWORK_ERRORS, HttpPool

__all__ = ["StoreHttpClient"]

# Maximum size of a response's body, in bytes. Stores send pages of about 1 MB
# and values of up to 1 MB.
MAX_RESPONSE_BYTES = 33_554_432


class StoreHttpClient:
    """Sends HTTP calls to a store and tracks its availability."""

    def __init__(
        self,
        url: str,
        pool: HttpPool,
        *,
        retry_after_s: float,
        refusals: Collection[int] = (),
    ) -> None:
        """Creates the client.

        Args:
            url: Base URL of the store.
            pool: HTTP connection pool.
            retry_after_s: Delay before a caller may retry after a failure, in
                seconds.
            refusals: Response statuses that mean that nothing was executed.
        """
        self._url = url.rstrip("/")
        self._pool = pool
        self._retry_after_s = retry_after_s
        self._refusal_statuses = frozenset(refusals)
        self._failing_since: float | None = None

    def failure_duration_s(self) -> float:
        """Returns how long calls have been failing, in seconds; 0 if not."""
        if self._failing_since is None:
            return 0.0
        return clock.monotonic() - self._failing_since

    async def aclose(self) -> None:
        """Closes the connection pool."""
        await self._pool.aclose()

    async def send(
        self,
        method: str,
        path: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        content: bytes = b"",
        timeout_s: float,
    ) -> httpcore.Response:
        """Sends a request and returns the response with its body.

        Args:
            method: HTTP method.
            path: Path and query.
            headers: Additional headers.
            content: Request body.
            timeout_s: Timeout of the response, in seconds.

        Raises:
            StoreUnavailableError: No response, a refusal or a server error;
                `not_run` is set if certainly nothing was executed.
        """
        try:
            response = await self._send(
                method, path, headers, content, timeout_s
            )
        except StoreUnavailableError as error:
            self._record_failure(f"{method} {path.partition('?')[0]}", error)
            raise
        if self._failing_since is not None:
            down_s = round(self.failure_duration_s(), 1)
            self._failing_since = None
            events.log(events.Event.STORE_AVAILABLE, down_s=down_s)
        return response

    async def _send(
        self,
        method: str,
        path: str,
        headers: Sequence[tuple[str, str]],
        content: bytes,
        timeout_s: float,
    ) -> httpcore.Response:
        try:
            with anyio.fail_after(timeout_s):
                response = await self._pool.request(
                    method,
                    self._url + path,
                    headers=headers,
                    content=content,
                    max_body_bytes=MAX_RESPONSE_BYTES,
                )
        except (TimeoutError, *NETWORK_ERRORS) as error:
            raise StoreUnavailableError(
                f"The store did not respond to {method}: "
                f"{type(error).__name__}.",
                retry_after_s=self._retry_after_s,
            ) from error
        is_refusal = response.status in self._refusal_statuses
        if is_refusal or response.status >= 500:
            raise StoreUnavailableError(
                f"The store returned status {response.status}.",
                not_run=is_refusal,
                retry_after_s=self._retry_after_s,
            )
        return response

    def _record_failure(self, call: str, error: StoreUnavailableError) -> None:
        if self._failing_since is not None:
            return
        self._failing_since = clock.monotonic()
        events.log(
            events.Event.STORE_UNAVAILABLE, call=call, error=error.detail
        )

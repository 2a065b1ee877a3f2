"""HTTP calls of a store: time limits, and whether the store answers."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import anyio
import httpcore

from plumvane import clock, events
from plumvane.errors import StoreUnavailableError
from plumvane.httppool import NETWORK_ERRORS, HttpPool

__all__ = ["StoreHttpClient"]


class StoreHttpClient:
    """Sends calls to one store and takes in whether it answers."""

    def __init__(
        self,
        url: str,
        pool: HttpPool,
        *,
        retry_after_s: float,
        refusals: Collection[int] = (),
    ) -> None:
        """Creates the calls.

        Args:
            url: Base URL of the store.
            pool: Connections.
            retry_after_s: When a caller may come back after a failure, in
                seconds.
            refusals: Statuses that say that nothing was done.
        """
        self._url = url.rstrip("/")
        self._pool = pool
        self._retry_after_s = retry_after_s
        self._refusals = frozenset(refusals)
        self._failing_since: float | None = None

    def failing_s(self) -> float:
        """Returns for how long calls have only failed, in seconds."""
        if self._failing_since is None:
            return 0.0
        return clock.monotonic() - self._failing_since

    async def aclose(self) -> None:
        """Closes the connections."""
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
        """Sends one call and returns the answer, its body read.

        Args:
            method: HTTP method.
            path: Path and query.
            headers: Headers beside those that HTTP needs.
            content: Body.
            timeout_s: Longest time for the answer, in seconds.

        Raises:
            StoreUnavailableError: No answer, or one that stands for none;
                `not_run` says that it is certain that nothing was done.
        """
        try:
            response = await self._send(
                method, path, headers, content, timeout_s
            )
        except StoreUnavailableError as error:
            self._take_failure(f"{method} {path.partition('?')[0]}", error)
            raise
        if self._failing_since is not None:
            down_s = round(self.failing_s(), 1)
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
                    method, self._url + path, headers=headers, content=content
                )
        except (TimeoutError, *NETWORK_ERRORS) as error:
            raise StoreUnavailableError(
                f"The store did not answer {method}: {type(error).__name__}.",
                retry_after_s=self._retry_after_s,
            ) from error
        is_refusal = response.status in self._refusals
        if is_refusal or response.status >= 500:
            raise StoreUnavailableError(
                f"The store answered {response.status}.",
                not_run=is_refusal,
                retry_after_s=self._retry_after_s,
            )
        return response

    def _take_failure(self, call: str, error: StoreUnavailableError) -> None:
        if self._failing_since is not None:
            return
        self._failing_since = clock.monotonic()
        events.log(
            events.Event.STORE_UNAVAILABLE, call=call, error=error.detail
        )

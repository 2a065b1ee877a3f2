"""HTTP calls to a store, with timeouts and availability tracking."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import anyio
import httpcore

from plumvane import clock, events
from plumvane.errors import StoreUnavailableError
from plumvane.httppool import NETWORK_ERRORS, HttpPool

__all__ = ["StoreHttpClient"]

# Time after the end of a watch at which its response is overdue, and timeout of
# the request that is then sent in its place, in seconds. A slow store responds
# in less.
OVERDUE_S = 0.35
OVERDUE_TIMEOUT_S = 1.0


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
                method, path, headers, content, timeout_s=timeout_s
            )
        except StoreUnavailableError as error:
            self._record_failure(f"{method} {path.partition('?')[0]}", error)
            raise
        if self._failing_since is not None:
            down_s = round(self.failure_duration_s(), 1)
            self._failing_since = None
            events.log(events.Event.STORE_AVAILABLE, down_s=down_s)
        return response

    async def send_watch(
        self, path: str, overdue_path: str, *, wait_s: float, timeout_s: float
    ) -> httpcore.Response:
        """Sends a request that the store answers at a change, or after a wait.

        The response may be lost on a connection that lives, while the store
        answers other calls. Once it is overdue, a second request is sent on a
        connection of its own; the first response counts.

        Args:
            path: Path and query of the request.
            overdue_path: The same of the second request, which does not wait.
            wait_s: Longest wait for a change, in seconds.
            timeout_s: Timeout of the response, in seconds.

        Raises:
            StoreUnavailableError: See `send`.
        """
        outcome: httpcore.Response | StoreUnavailableError | None = None

        async def send_overdue() -> None:
            nonlocal outcome
            await anyio.sleep(wait_s + OVERDUE_S)
            try:
                outcome = await self._send(
                    "GET",
                    overdue_path,
                    timeout_s=OVERDUE_TIMEOUT_S,
                    is_new=True,
                )
            except StoreUnavailableError:
                # The first request fails as well, if nothing is answered.
                return
            events.log(events.Event.WATCH_OVERDUE, watch=path)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            if wait_s > 0:
                group.start_soon(send_overdue)
            try:
                outcome = await self.send("GET", path, timeout_s=timeout_s)
            except StoreUnavailableError as error:
                outcome = error
            group.cancel_scope.cancel()
        if isinstance(outcome, httpcore.Response):
            return outcome
        assert outcome is not None
        raise outcome

    async def _send(
        self,
        method: str,
        path: str,
        headers: Sequence[tuple[str, str]] = (),
        content: bytes = b"",
        *,
        timeout_s: float,
        is_new: bool = False,
    ) -> httpcore.Response:
        """Sends a request; see `send`.

        Args:
            method: HTTP method.
            path: Path and query.
            headers: Additional headers.
            content: Request body.
            timeout_s: Timeout of the response, in seconds.
            is_new: Whether to open a new connection.
        """
        try:
            with anyio.fail_after(timeout_s):
                response = await self._pool.request(
                    method,
                    self._url + path,
                    headers=headers,
                    content=content,
                    use_new_connection=is_new,
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

"""HTTP client of a plain service."""

from __future__ import annotations

import httpcore

from plumvane.errors import UpstreamFailedError, UpstreamUnavailableError
from plumvane.httppool import NETWORK_ERRORS, HttpPool
from plumvane.peers.messages import Outcome

__all__ = ["ServiceClient"]

RETRY_AFTER_S = 1.0


class ServiceClient:
    """Calls one plain service."""

    def __init__(self, url: str) -> None:
        """Creates the client.

        Args:
            url: Base URL of the service.
        """
        self._url = url.rstrip("/")
        self._pool = HttpPool(reuses_connections=False)

    async def call(self, request_id: str, path: str, body: bytes) -> Outcome:
        """Sends one call; never retries it.

        Args:
            request_id: Value of the Idempotency-Key header.
            path: Path at the service.
            body: Request body.

        Raises:
            UpstreamUnavailableError: No connection could be opened, so the
                call has not run.
            UpstreamFailedError: The connection was lost; the call may have run.
        """
        try:
            response = await self._pool.request(
                "POST",
                self._url + path,
                headers=[
                    ("content-type", "application/json"),
                    ("idempotency-key", request_id),
                ],
                content=body,
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise UpstreamUnavailableError(
                "The service does not accept connections.",
                not_run=True,
                retry_after_s=RETRY_AFTER_S,
            ) from error
        except NETWORK_ERRORS as error:
            raise UpstreamFailedError(
                f"The connection to the service failed: {type(error).__name__}."
            ) from error
        headers = {key.lower(): value for key, value in response.headers}
        content_type = headers.get(b"content-type", b"application/json")
        return Outcome(
            response.status, response.content, content_type.decode("latin-1")
        )

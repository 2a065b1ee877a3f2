"""Client of a plain service."""

from __future__ import annotations

import httpcore

from plumvane.errors import UpstreamFailedError, UpstreamUnavailableError
from plumvane.httppool import NETWORK_ERRORS, HttpPool
from plumvane.peers.messages import Outcome

__all__ = ["ServiceClient"]

RETRY_AFTER_S = 1.0


class ServiceClient:
    """Calls one plain service over HTTP."""

    def __init__(self, url: str) -> None:
        """Creates the client.

        Args:
            url: Base URL of the service.
        """
        self._url = url.rstrip("/")
        self._pool = HttpPool()

    async def call(self, request_id: str, path: str, body: bytes) -> Outcome:
        """Sends one call; never repeats it.

        Args:
            request_id: Sent as the Idempotency-Key of the call.
            path: Path at the service.
            body: Body of the call.

        Raises:
            UpstreamUnavailableError: The service was not reached.
            UpstreamFailedError: The service was lost; it may have run.
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
                f"The service was lost: {type(error).__name__}."
            ) from error
        headers = {k.lower(): v for k, v in response.headers}
        content_type = headers.get(b"content-type", b"application/json")
        return Outcome(
            response.status, response.content, content_type.decode("latin-1")
        )

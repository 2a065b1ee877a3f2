"""Synchronous client of an entry's HTTP API."""

from __future__ import annotations

import contextlib
import json
import ssl
from collections.abc import Iterator
from typing import Any

import httpcore

from plumvane.errors import (
    PlumvaneError,
    UpstreamUnavailableError,
    error_from_code,
)

__all__ = ["EntryClient"]

TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 5.0


class EntryClient:
    """Synchronous HTTP client of one entry."""

    def __init__(
        self, url: str, token: str, *, ca_file: str | None = None
    ) -> None:
        """Creates the client.

        Args:
            url: Base URL of the entry or of the load balancer in front of it.
            token: Bearer token of a team or an operator.
            ca_file: File of trusted CA certificates in PEM; None means the
                system's certificates.
        """
        self._url = url.rstrip("/")
        self._token = token
        context = None
        if self._url.startswith("https:"):
            context = ssl.create_default_context(cafile=ca_file)
        self._pool = httpcore.ConnectionPool(ssl_context=context)

    def request(
        self,
        method: str,
        path: str,
        *,
        content: bytes | Iterator[bytes] = b"",
        headers: dict[str, str] | None = None,
    ) -> bytes:
        """Sends a request and returns the response body.

        Raises:
            PlumvaneError: The entry returned an error, or did not respond.
        """
        with self._open_response(method, path, content, headers) as response:
            return bytes(response.read())

    def json(self, method: str, path: str, **kwargs: Any) -> Any:
        """Sends a request and returns the response body parsed as JSON."""
        return json.loads(self.request(method, path, **kwargs))

    @contextlib.contextmanager
    def download(self, path: str) -> Iterator[Iterator[bytes]]:
        """Streams the response body of a GET request.

        Raises:
            PlumvaneError: The entry returned an error, did not respond, or the
                response was truncated.
        """
        with self._open_response("GET", path, b"", None) as response:
            yield response.iter_stream()

    @contextlib.contextmanager
    def _open_response(
        self,
        method: str,
        path: str,
        content: bytes | Iterator[bytes],
        headers: dict[str, str] | None,
    ) -> Iterator[httpcore.Response]:
        try:
            with self._pool.stream(
                method,
                self._url + path,
                headers=[
                    ("authorization", f"Bearer {self._token}"),
                    *(headers or {}).items(),
                ],
                content=content,
                extensions={
                    "timeout": {
                        "connect": CONNECT_TIMEOUT_S,
                        "read": TIMEOUT_S,
                    }
                },
            ) as response:
                if response.status >= 400:
                    raise _error_from_response(response.status, response.read())
                yield response
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise UpstreamUnavailableError(
                f"Request to {self._url} failed: {type(error).__name__}.",
                remedy="Check --entry and that the entry is running.",
            ) from error


def _error_from_response(status: int, body: bytes) -> PlumvaneError:
    try:
        problem = json.loads(body)
        return error_from_code(
            problem["code"],
            problem["detail"],
            remedy=problem["remedy"],
            not_run=problem["not_run"],
        )
    except (ValueError, KeyError, TypeError):
        return PlumvaneError(f"The entry returned HTTP status {status}.")

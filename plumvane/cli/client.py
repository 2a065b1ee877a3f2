"""Calls of an entry's HTTP interface from a shell."""

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
    """Calls one entry, synchronously."""

    def __init__(
        self, url: str, token: str, *, ca_file: str | None = None
    ) -> None:
        """Creates the client.

        Args:
            url: Base URL of the entry or of the balancer before it.
            token: Bearer token of a team or an operator.
            ca_file: PEM certificates to trust; the system's if None.
        """
        self._url = url.rstrip("/")
        self._token = token
        context = None
        if self._url.startswith("https:"):
            context = ssl.create_default_context(cafile=ca_file)
        self._pool = httpcore.ConnectionPool(ssl_context=context)

    def call(
        self,
        method: str,
        path: str,
        *,
        content: bytes | Iterator[bytes] = b"",
        headers: dict[str, str] | None = None,
    ) -> bytes:
        """Sends one call and returns the body.

        Raises:
            PlumvaneError: The entry's problem, or no entry answered.
        """
        with self._open(method, path, content, headers) as response:
            return bytes(response.read())

    def json(self, method: str, path: str, **kwargs: Any) -> Any:
        """Sends one call and returns the body as JSON."""
        return json.loads(self.call(method, path, **kwargs))

    @contextlib.contextmanager
    def download(self, path: str) -> Iterator[Iterator[bytes]]:
        """Reads a body in pieces.

        Raises:
            PlumvaneError: The entry's problem, or the answer was cut off.
        """
        with self._open("GET", path, b"", None) as response:
            yield response.iter_stream()

    @contextlib.contextmanager
    def _open(
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
                    raise _problem(response.status, response.read())
                yield response
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise UpstreamUnavailableError(
                f"{self._url} did not answer: {type(error).__name__}.",
                remedy="Check --entry and that the entry runs.",
            ) from error


def _problem(status: int, body: bytes) -> PlumvaneError:
    try:
        problem = json.loads(body)
        return error_from_code(
            problem["code"],
            problem["detail"],
            remedy=problem["remedy"],
            not_run=problem["not_run"],
        )
    except (ValueError, KeyError, TypeError):
        return PlumvaneError(f"The entry answered {status}.")

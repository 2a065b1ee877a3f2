"""Calls of an entry's HTTP interface from a shell."""

from __future__ import annotations

import json
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


class EntryClient:
    """Calls one entry, synchronously."""

    def __init__(self, url: str, token: str) -> None:
        """Creates the client.

        Args:
            url: Base URL of the entry or of the balancer before it.
            token: Bearer token of a team or an operator.
        """
        self._url = url.rstrip("/")
        self._token = token
        self._pool = httpcore.ConnectionPool()

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
        try:
            response = self._pool.request(
                method,
                self._url + path,
                headers=[
                    ("authorization", f"Bearer {self._token}"),
                    *(headers or {}).items(),
                ],
                content=content,
                extensions={"timeout": {"connect": 5.0, "read": TIMEOUT_S}},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise UpstreamUnavailableError(
                f"{self._url} did not answer: {type(error).__name__}.",
                remedy="Check --entry and that the entry runs.",
            ) from error
        if response.status >= 400:
            raise _problem(response.status, response.content)
        return response.content

    def json(self, method: str, path: str, **kwargs: Any) -> Any:
        """Sends one call and returns the body as JSON."""
        return json.loads(self.call(method, path, **kwargs))


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

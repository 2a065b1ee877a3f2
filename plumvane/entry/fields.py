"""Reads the token, key, deadline and body of an HTTP request."""

from __future__ import annotations

import hashlib
import json
import math
import secrets
from typing import Any

from starlette.requests import Request

from plumvane import clock
from plumvane.errors import (
    BadRequestError,
    BodyTooLargeError,
    DeadlineExceededError,
    InvalidJsonError,
    UnauthorizedError,
)

__all__ = [
    "base_revision",
    "bearer_token",
    "body_digest",
    "header_deadline",
    "idempotency_key",
    "json_object",
    "read_body",
    "request_deadline",
]

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_KEY_LENGTH = 200


def bearer_token(http: Request) -> str:
    """Returns the bearer token.

    Raises:
        UnauthorizedError: No bearer token was sent.
    """
    scheme, _, token = http.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise UnauthorizedError("No bearer token was sent.", not_run=True)
    return token


def idempotency_key(http: Request) -> str:
    """Returns the idempotency key; generates one if none was sent.

    Raises:
        BadRequestError: The key is empty or too long.
    """
    key = http.headers.get("idempotency-key")
    if key is None:
        return f"auto-{secrets.token_hex(12)}"
    if not key or len(key) > MAX_KEY_LENGTH:
        raise BadRequestError(
            f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} characters.",
            not_run=True,
        )
    return key


def header_deadline(http: Request) -> float | None:
    """Returns the deadline from the Plumvane-Deadline header, or None.

    Raises:
        BadRequestError: The header is not a finite number.
    """
    text = http.headers.get("plumvane-deadline")
    if text is None:
        return None
    try:
        deadline = float(text)
    except ValueError:
        deadline = math.nan
    if not math.isfinite(deadline):
        raise BadRequestError(
            "Plumvane-Deadline must be seconds since the epoch.", not_run=True
        )
    return deadline


def request_deadline(http: Request, timeout_s: float) -> float:
    """Returns the request's deadline, in seconds since the Unix epoch.

    Args:
        http: The HTTP request.
        timeout_s: Timeout in seconds if the request has no deadline.

    Raises:
        DeadlineExceededError: The deadline has passed.
    """
    deadline = header_deadline(http)
    now = clock.wall()
    if deadline is None:
        return now + timeout_s
    if deadline <= now:
        raise DeadlineExceededError("The deadline has passed.", not_run=True)
    return deadline


def base_revision(http: Request) -> int:
    """Returns the base revision of a change, from the If-Match header.

    Raises:
        BadRequestError: The header is missing or is not a revision.
    """
    text = http.headers.get("if-match", "").strip('"')
    if not (text.isascii() and text.isdigit() and len(text) < 19):
        raise BadRequestError(
            "If-Match must be the revision that the change is based on."
        )
    return int(text)


async def read_body(http: Request) -> bytes:
    """Reads the whole body.

    Raises:
        BodyTooLargeError: The body exceeds the limit.
    """
    body = bytearray()
    async for data in http.stream():
        body += data
        if len(body) > MAX_BODY_BYTES:
            raise BodyTooLargeError(
                f"The body exceeds {MAX_BODY_BYTES} bytes.", not_run=True
            )
    return bytes(body)


def json_object(body: bytes) -> dict[str, Any]:
    """Parses a body as a JSON object.

    Raises:
        InvalidJsonError: The body is not a JSON object.
    """
    try:
        fields = json.loads(body, parse_constant=_reject_constant)
    except ValueError as error:
        raise InvalidJsonError(
            f"The body is not valid JSON: {error}.", not_run=True
        ) from None
    except RecursionError:
        raise InvalidJsonError(
            "The body is nested too deeply.", not_run=True
        ) from None
    if not isinstance(fields, dict):
        raise InvalidJsonError("The body is not a JSON object.", not_run=True)
    return fields


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def body_digest(path: str, body: bytes) -> bytes:
    """Returns a digest that detects a key reused for another request."""
    return hashlib.sha256(path.encode() + b"\0" + body).digest()

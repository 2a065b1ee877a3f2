"""Signed sessions of operators; no entry keeps any state of them."""

from __future__ import annotations

import base64
import dataclasses
import hashlib
import hmac
import secrets

from plumvane import clock
from plumvane.errors import ConflictError, StoreUnavailableError
from plumvane.fleet.document import FleetDocument, Operator, token_digest
from plumvane.store.base import ABSENT, Store

__all__ = ["Session", "Sessions"]

KEY_NAME = "console/session-key"
KEY_BYTES = 32
SESSION_S = 8 * 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """An operator who is logged in.

    Attributes:
        operator: Name of the operator.
        may_change: Whether the operator's role allows changes.
        csrf_token: Token that each form of the session carries.
    """

    operator: str
    may_change: bool
    csrf_token: str


class Sessions:
    """Signs and checks sessions with a key that all entries share.

    A session names its operator and deadline. The signature covers the
    digest of the operator's token too, so a new token ends all sessions.
    """

    def __init__(self, store: Store) -> None:
        """Creates the signer.

        Args:
            store: The platform's store, which keeps the key.
        """
        self._store = store
        self._key = b""

    async def log_in(self, document: FleetDocument, token: str) -> str | None:
        """Returns the cookie of a new session, or None for a wrong token."""
        digest = token_digest(token)
        for name, operator in document.operators.items():
            if hmac.compare_digest(operator.token_sha256, digest):
                deadline = int(clock.wall() + SESSION_S)
                signed = await self._sign(_text(name, deadline, operator))
                encoded = base64.urlsafe_b64encode(name.encode()).decode()
                return f"{encoded}.{deadline}.{signed}"
        return None

    async def check(
        self, document: FleetDocument, cookie: str
    ) -> Session | None:
        """Returns the session of a cookie, or None if it is not valid.

        Raises:
            StoreUnavailableError: The key cannot be read yet.
        """
        try:
            encoded, deadline, signature = cookie.split(".")
            name = base64.urlsafe_b64decode(encoded).decode()
            seconds = int(deadline)
        except ValueError:
            return None
        operator = document.operators.get(name)
        if operator is None or seconds <= clock.wall():
            return None
        expected = await self._sign(_text(name, seconds, operator))
        if not hmac.compare_digest(expected.encode(), signature.encode()):
            return None
        csrf = await self._sign(f"csrf\0{cookie}")
        return Session(name, operator.role == "change", csrf)

    async def _sign(self, text: str) -> str:
        if not self._key:
            self._key = await self._read_key()
        return hmac.new(self._key, text.encode(), hashlib.sha256).hexdigest()

    async def _read_key(self) -> bytes:
        record = await self._store.get(KEY_NAME)
        if record is None:
            key = secrets.token_bytes(KEY_BYTES)
            try:
                await self._store.put(KEY_NAME, key, expected_revision=ABSENT)
                return key
            except ConflictError:
                record = await self._store.get(KEY_NAME)
        if record is None:
            raise StoreUnavailableError("The session key cannot be read.")
        return record.value


def _text(name: str, deadline: int, operator: Operator) -> str:
    return f"session\0{name}\0{deadline}\0{operator.token_sha256}"

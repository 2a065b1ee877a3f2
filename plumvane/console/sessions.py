"""Signed operator sessions; entries keep no session state."""

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

SESSION_KEY_NAME = "console/session-key"
SESSION_KEY_BYTES = 32
SESSION_LIFETIME_S = 8 * 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Session of a logged-in operator.

    Attributes:
        operator: Name of the operator.
        may_change: Whether the operator's role allows changes.
        csrf_token: CSRF token expected in each form of the session.
    """

    operator: str
    may_change: bool
    csrf_token: str


class Sessions:
    """Signs and verifies session cookies with a key shared by all entries.

    A cookie holds the operator's name and the expiry time. The signature also
    covers the digest of the operator's token, so that replacing the token ends
    all sessions of that operator.
    """

    def __init__(self, store: Store) -> None:
        """Creates the session signer.

        Args:
            store: Platform store that holds the signing key.
        """
        self._store = store
        self._key = b""

    async def log_in(self, document: FleetDocument, token: str) -> str | None:
        """Returns the cookie of a new session; None if the token is unknown."""
        digest = token_digest(token)
        for name, operator in document.operators.items():
            if hmac.compare_digest(operator.token_sha256, digest):
                expires_at = int(clock.wall() + SESSION_LIFETIME_S)
                signature = await self._sign(
                    _signed_text(name, expires_at, operator)
                )
                encoded = base64.urlsafe_b64encode(name.encode()).decode()
                return f"{encoded}.{expires_at}.{signature}"
        return None

    async def check(
        self, document: FleetDocument, cookie: str
    ) -> Session | None:
        """Returns the session of a cookie, or None if the cookie is invalid.

        Raises:
            StoreUnavailableError: The signing key cannot be read.
        """
        try:
            encoded, expiry, signature = cookie.split(".")
            name = base64.urlsafe_b64decode(encoded).decode()
            expires_at = int(expiry)
        except ValueError:
            return None
        operator = document.operators.get(name)
        if operator is None or expires_at <= clock.wall():
            return None
        expected = await self._sign(_signed_text(name, expires_at, operator))
        if not hmac.compare_digest(expected.encode(), signature.encode()):
            return None
        csrf_token = await self._sign(f"csrf\0{cookie}")
        return Session(name, operator.role == "change", csrf_token)

    async def _sign(self, text: str) -> str:
        if not self._key:
            self._key = await self._load_or_create_key()
        return hmac.new(self._key, text.encode(), hashlib.sha256).hexdigest()

    async def _load_or_create_key(self) -> bytes:
        record = await self._store.get(SESSION_KEY_NAME)
        if record is None:
            key = secrets.token_bytes(SESSION_KEY_BYTES)
            try:
                await self._store.put(
                    SESSION_KEY_NAME, key, expected_revision=ABSENT
                )
                return key
            except ConflictError:
                record = await self._store.get(SESSION_KEY_NAME)
        if record is None:
            raise StoreUnavailableError("The session key cannot be read.")
        return record.value


def _signed_text(name: str, expires_at: int, operator: Operator) -> str:
    return f"session\0{name}\0{expires_at}\0{operator.token_sha256}"

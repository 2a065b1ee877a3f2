"""Revisions of the fleet document in the store, with their audit trail."""

from __future__ import annotations

import contextlib
import hashlib
import random
from collections import deque

import anyio
import msgspec

from plumvane import clock, events
from plumvane.errors import (
    ConfigurationError,
    ConflictError,
    OutcomeUnknownError,
    StoreUnavailableError,
)
from plumvane.fleet import document as fleet_document
from plumvane.fleet.document import FleetDocument
from plumvane.store.base import ABSENT, Store, list_pages

__all__ = ["AuditRecord", "DocumentStore", "Revision"]

DOCUMENT_KEY = "fleet/document"
AUDIT_PREFIX = "fleet/audit/"
REFUSED_PREFIX = "fleet/refused/"
# The store takes values of up to a megabyte.
MAX_RECORD_BYTES = 1_000_000
# Refusals kept in memory while the store does not answer.
MAX_UNWRITTEN = 1000
FLUSH_S = 1.0
# Records of the trail that are read in one call.
PAGE_RECORDS = 1000
SETTLE_S = 3.0
RETRY_S = 0.2


class AuditRecord(msgspec.Struct, frozen=True):
    """One change, accepted or refused.

    Attributes:
        revision: Revision that it made, or 0 if it was refused.
        from_revision: Revision that it was based on.
        operator: Who made it.
        entry: Entry that took it.
        time: When, in seconds since the Unix epoch.
        changed: Paths of the fields that differ.
        refusal: Code of the error that refused it, or None. Under
            `outcome_unknown` the store did not say whether it took effect.
        write_id: Identifier of the change.
    """

    revision: int
    from_revision: int
    operator: str
    entry: str
    time: float
    changed: tuple[str, ...]
    refusal: str | None = None
    write_id: str = ""


class Revision(msgspec.Struct, frozen=True):
    """A document as the store holds it.

    Attributes:
        number: Revision, rising by one with each change.
        document: The document's JSON.
        change: The change that made it.
        write_id: Identifier of the write.
    """

    number: int
    document: bytes
    change: AuditRecord | None = None
    write_id: str = ""

    def parsed(self) -> FleetDocument:
        """Returns the document as a model."""
        return fleet_document.parse(self.document)


EMPTY = Revision(0, b"{}")


class DocumentStore:
    """Reads and changes the fleet document in the store.

    The newest change stands inside the document's own record, so one
    compare-and-swap accepts the change and its audit record together; the
    next change copies it to the audit trail before it replaces it.

    A change is named by its operator, the revision that it is based on and
    its content. So a resent change is recognised, also after later ones.
    """

    def __init__(
        self, store: Store, entry: str, *, settle_s: float = SETTLE_S
    ) -> None:
        """Creates the repository.

        Args:
            store: The platform's store.
            entry: Name of this instance, for the audit trail.
            settle_s: Seconds for which an unanswered change is read back
                before its outcome is unknown.
        """
        self._settle_s = settle_s
        self._store = store
        self._entry = entry
        self._unwritten: deque[AuditRecord] = deque()
        self._has_unwritten = anyio.Event()

    async def run(self) -> None:
        """Writes refusals that the store could not take; runs always."""
        while True:
            await self._has_unwritten.wait()
            try:
                await self.flush()
            except StoreUnavailableError:
                await anyio.sleep(FLUSH_S * random.uniform(0.5, 1.5))

    async def flush(self) -> None:
        """Writes the refusals that wait for the store.

        Raises:
            StoreUnavailableError: The store does not answer; they stay.
        """
        while self._unwritten:
            record = self._unwritten[0]
            # A conflict means that an unanswered write of it took effect.
            with contextlib.suppress(ConflictError):
                await self._store.put(
                    _refusal_key(record),
                    msgspec.json.encode(record),
                    expected_revision=ABSENT,
                )
            if self._unwritten and self._unwritten[0] is record:
                self._unwritten.popleft()
        self._has_unwritten = anyio.Event()

    async def read(self) -> tuple[Revision, int]:
        """Returns the newest revision and its key's store revision."""
        record = await self._store.get(DOCUMENT_KEY)
        if record is None:
            return EMPTY, ABSENT
        return decode_revision(record.value), record.revision

    async def apply(
        self, document: bytes, *, from_revision: int, operator: str
    ) -> Revision:
        """Accepts a document based on a revision.

        Args:
            document: JSON of the new document.
            from_revision: Revision that the operator started from.
            operator: Name of the operator.

        Returns:
            The new revision; for a resent change, the one that it made.

        Raises:
            ConfigurationError: The document is invalid.
            ConflictError: Another change came first.
            StoreUnavailableError: The store does not answer; nothing was
                written.
            OutcomeUnknownError: The store took the change or not.
        """
        parsed = fleet_document.check(document)
        write_id = _write_id(operator, from_revision, parsed)
        current, store_revision = await self.read()
        if current.number != from_revision:
            return await self._accepted(current, from_revision, write_id)
        await self._archive(current)
        revision = self._revision(current, parsed, operator, write_id)
        accepted = await self._write(revision, store_revision)
        events.log(
            events.Event.CONFIGURATION_CHANGED,
            revision=accepted.number,
            operator=operator,
        )
        return accepted

    async def refuse(
        self,
        *,
        from_revision: int,
        operator: str,
        refusal: str,
        document: bytes = b"",
    ) -> None:
        """Records a refused change in the audit trail.

        While the store does not answer, the record waits in memory; the
        log has it at once.

        Args:
            from_revision: Revision that the change was based on.
            operator: Name of the operator.
            refusal: Code of the error.
            document: What was refused.
        """
        record = AuditRecord(
            0,
            from_revision,
            operator,
            self._entry,
            clock.wall(),
            (),
            refusal,
            _attempted_write_id(operator, from_revision, document),
        )
        events.log(
            events.Event.CONFIGURATION_REFUSED,
            operator=operator,
            refusal=refusal,
            from_revision=from_revision,
        )
        if len(self._unwritten) >= MAX_UNWRITTEN:
            self._unwritten.popleft()
            events.log(events.Event.AUDIT_RECORD_DROPPED)
        self._unwritten.append(record)
        self._has_unwritten.set()
        with contextlib.suppress(StoreUnavailableError):
            await self.flush()

    async def audit(self) -> list[AuditRecord]:
        """Returns all changes, oldest first.

        A change whose outcome was unknown at first and that took effect is
        listed once, as accepted.
        """
        # The document is read first: a change that is copied to the trail
        # in between is then found there.
        current, _ = await self.read()
        accepted: dict[int, AuditRecord] = {}
        if current.change is not None:
            accepted[current.number] = current.change
        async for page in list_pages(self._store, AUDIT_PREFIX, PAGE_RECORDS):
            for record in page:
                change = _decode_audit(record.value)
                accepted[change.revision] = change
        write_ids = {change.write_id for change in accepted.values()}
        found = list(accepted.values())
        async for page in list_pages(self._store, REFUSED_PREFIX, PAGE_RECORDS):
            for record in page:
                change = _decode_audit(record.value)
                unknown = change.refusal == OutcomeUnknownError.code
                if not unknown or change.write_id not in write_ids:
                    found.append(change)
        return sorted(found, key=lambda change: (change.time, change.revision))

    def _revision(
        self,
        current: Revision,
        parsed: FleetDocument,
        operator: str,
        write_id: str,
    ) -> Revision:
        number = current.number + 1
        changed = changed_paths(
            msgspec.json.decode(current.document),
            parsed.model_dump(mode="json"),
        )
        previous = current.change.time if current.change else 0.0
        change = AuditRecord(
            number,
            current.number,
            operator,
            self._entry,
            # Revisions stay in order where the entries' clocks differ.
            max(clock.wall(), previous + 1e-6),
            changed,
            write_id=write_id,
        )
        return Revision(
            number, parsed.model_dump_json().encode(), change, write_id
        )

    async def _write(self, revision: Revision, store_revision: int) -> Revision:
        """Writes a revision; settles a lost answer by reading it back."""
        value = msgspec.json.encode(revision)
        if len(value) > MAX_RECORD_BYTES:
            raise ConfigurationError(
                f"The document takes {len(value)} bytes in the store, over "
                f"{MAX_RECORD_BYTES}.",
                remedy="Remove entries that are no longer used.",
            )
        from_revision = revision.number - 1
        deadline = clock.monotonic() + self._settle_s
        while True:
            try:
                await self._store.put(
                    DOCUMENT_KEY, value, expected_revision=store_revision
                )
                return revision
            except ConflictError:
                current = await self._read_until(deadline)
                return await self._accepted(
                    current, from_revision, revision.write_id
                )
            except StoreUnavailableError:
                current = await self._read_until(deadline)
            if current.number != from_revision:
                return await self._accepted(
                    current, from_revision, revision.write_id
                )

    async def _read_until(self, deadline: float) -> Revision:
        """Reads the newest revision after a write that was not answered."""
        while True:
            try:
                return (await self.read())[0]
            except StoreUnavailableError as error:
                if clock.monotonic() >= deadline:
                    raise OutcomeUnknownError(
                        "The store stopped answering during the change; it "
                        "took effect or not.",
                        remedy="Send the same change again: it is accepted "
                        "at most once.",
                        retry_after_s=error.retry_after_s,
                    ) from error
            await anyio.sleep(RETRY_S * random.uniform(0.5, 1.5))

    async def _accepted(
        self, current: Revision, from_revision: int, write_id: str
    ) -> Revision:
        """Returns the revision that a change made.

        Raises:
            ConflictError: Another change was made from that revision.
        """
        number = from_revision + 1
        if current.number == number and current.write_id == write_id:
            return current
        if current.number > number:
            record = await self._store.get(_audit_key(number))
            if record is not None:
                change = _decode_audit(record.value)
                if change.write_id == write_id:
                    return Revision(number, b"", change, write_id)
        raise ConflictError(
            f"Revision {current.number} is in force, the change was "
            f"based on {from_revision}."
        )

    async def _archive(self, current: Revision) -> None:
        if current.change is None:
            return
        value = msgspec.json.encode(current.change)
        with contextlib.suppress(ConflictError):
            await self._store.put(
                _audit_key(current.number), value, expected_revision=ABSENT
            )


def _audit_key(number: int) -> str:
    return f"{AUDIT_PREFIX}{number:010}"


def _refusal_key(record: AuditRecord) -> str:
    # A record that is written again after a lost answer has the same key.
    digest = hashlib.sha256(msgspec.json.encode(record)).hexdigest()[:16]
    return f"{REFUSED_PREFIX}{record.time:017.6f}-{digest}"


def _decode_audit(value: bytes) -> AuditRecord:
    return msgspec.json.decode(value, type=AuditRecord)


def _write_id(operator: str, from_revision: int, parsed: FleetDocument) -> str:
    text = f"{operator}\0{from_revision}\0{parsed.model_dump_json()}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _attempted_write_id(
    operator: str, from_revision: int, document: bytes
) -> str:
    try:
        parsed = fleet_document.check(document)
    except ConfigurationError:
        return ""
    return _write_id(operator, from_revision, parsed)


def decode_revision(value: bytes) -> Revision:
    """Reads a revision from the store's value."""
    return msgspec.json.decode(value, type=Revision)


def changed_paths(old: object, new: object, path: str = "") -> tuple[str, ...]:
    """Returns the paths at which two JSON values differ.

    Args:
        old: A JSON value.
        new: Another one.
        path: Path of both, with dots.
    """
    if old == new:
        return ()
    if not (isinstance(old, dict) and isinstance(new, dict)):
        return (path or ".",)
    found: list[str] = []
    for key in sorted(old.keys() | new.keys()):
        below = f"{path}.{key}" if path else str(key)
        found.extend(changed_paths(old.get(key), new.get(key), below))
    return tuple(found)

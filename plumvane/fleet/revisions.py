"""Revisions of the fleet document in the store, and their audit trail."""

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
# The store accepts values of up to 1 MB.
MAX_RECORD_BYTES = 1_000_000
# Maximum number of refusals kept in memory while the store is unavailable.
MAX_PENDING_REFUSALS = 1000
FLUSH_RETRY_S = 1.0
# Audit records read per call.
AUDIT_PAGE_SIZE = 1000
SETTLE_TIMEOUT_S = 3.0
READ_RETRY_S = 0.2


class AuditRecord(msgspec.Struct, frozen=True):
    """Audit record of an accepted or refused change.

    Attributes:
        revision: Revision that the change created, or 0 if it was refused.
        from_revision: Revision that the change was based on.
        operator: Name of the operator who sent the change.
        entry: Name of the entry that received the change.
        time: Unix time of the change, in seconds.
        changed: Paths of the changed fields.
        refusal: Code of the error for which the change was refused, or None.
            With `outcome_unknown`, the store did not confirm whether the change
            was written.
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
    """A stored revision of the document.

    Attributes:
        number: Revision number, which increases by one with each change.
        document: JSON of the document.
        change: Audit record of the change that created the revision.
        write_id: Identifier of the change that created the revision.
    """

    number: int
    document: bytes
    change: AuditRecord | None = None
    write_id: str = ""

    def parsed(self) -> FleetDocument:
        """Returns the parsed document."""
        return fleet_document.parse(self.document)


EMPTY_REVISION = Revision(0, b"{}")


class DocumentStore:
    """Reads and changes the fleet document in the store.

    The audit record of the newest change is part of the document's own record,
    so that one compare-and-swap writes both atomically. The next change copies
    it to the audit trail before it replaces the document.

    A change is identified by its operator, the revision that it is based on and
    its content, so that a resent change is detected, also after later changes.
    """

    def __init__(
        self, store: Store, entry: str, *, settle_s: float = SETTLE_TIMEOUT_S
    ) -> None:
        """Creates the repository.

        Args:
            store: Store that holds the document.
            entry: Name of this instance, for the audit trail.
            settle_s: Seconds for which reading back an unanswered change is
                retried before its outcome is reported as unknown.
        """
        self._settle_s = settle_s
        self._store = store
        self._entry = entry
        self._pending_refusals: deque[AuditRecord] = deque()
        self._has_pending_refusals = anyio.Event()

    async def run(self) -> None:
        """Retries writing pending refusals to the store; never returns."""
        while True:
            await self._has_pending_refusals.wait()
            try:
                await self.flush()
            except StoreUnavailableError:
                await anyio.sleep(FLUSH_RETRY_S * random.uniform(0.5, 1.5))

    async def flush(self) -> None:
        """Writes the pending refusals to the store.

        Raises:
            StoreUnavailableError: The store does not answer; the remaining
                refusals stay pending.
        """
        while self._pending_refusals:
            record = self._pending_refusals[0]
            # A conflict means that an earlier, unanswered write succeeded.
            with contextlib.suppress(ConflictError):
                await self._store.put(
                    _refusal_key(record),
                    msgspec.json.encode(record),
                    expected_revision=ABSENT,
                )
            if self._pending_refusals and self._pending_refusals[0] is record:
                self._pending_refusals.popleft()
        self._has_pending_refusals = anyio.Event()

    async def read(self) -> tuple[Revision, int]:
        """Returns the newest revision and the store revision of its key."""
        record = await self._store.get(DOCUMENT_KEY)
        if record is None:
            return EMPTY_REVISION, ABSENT
        return decode_revision(record.value), record.revision

    async def apply(
        self, document: bytes, *, from_revision: int, operator: str
    ) -> Revision:
        """Applies a change to the document.

        Args:
            document: JSON of the new document.
            from_revision: Revision that the change is based on.
            operator: Name of the operator.

        Returns:
            The new revision; for a resent change, the one that it created.

        Raises:
            ConfigurationError: The document is invalid.
            ConflictError: Another change was made from the same revision.
            StoreUnavailableError: The store does not answer; the document
                was not written.
            OutcomeUnknownError: The store did not confirm whether the
                change was written.
        """
        parsed = fleet_document.check(document)
        write_id = _write_id(operator, from_revision, parsed)
        current, store_revision = await self.read()
        if current.number != from_revision:
            return await self._find_accepted(current, from_revision, write_id)
        await self._copy_to_trail(current)
        revision = self._next_revision(current, parsed, operator, write_id)
        accepted = await self._write_revision(revision, store_revision)
        events.log(
            events.Event.CONFIGURATION_CHANGED,
            revision=accepted.number,
            operator=operator,
        )
        return accepted

    async def record_refusal(
        self,
        *,
        from_revision: int,
        operator: str,
        refusal: str,
        document: bytes = b"",
    ) -> None:
        """Records a refused change in the audit trail.

        While the store does not answer, the record is kept in memory. The
        refusal is logged at once.

        Args:
            from_revision: Revision that the change was based on.
            operator: Name of the operator.
            refusal: Code of the error.
            document: JSON of the refused document.
        """
        record = AuditRecord(
            0,
            from_revision,
            operator,
            self._entry,
            clock.wall(),
            (),
            refusal,
            _write_id_if_valid(operator, from_revision, document),
        )
        events.log(
            events.Event.CONFIGURATION_REFUSED,
            operator=operator,
            refusal=refusal,
            from_revision=from_revision,
        )
        if len(self._pending_refusals) >= MAX_PENDING_REFUSALS:
            self._pending_refusals.popleft()
            events.log(events.Event.AUDIT_RECORD_DROPPED)
        self._pending_refusals.append(record)
        self._has_pending_refusals.set()
        with contextlib.suppress(StoreUnavailableError):
            await self.flush()

    async def audit(self) -> list[AuditRecord]:
        """Returns all changes, oldest first.

        A change that succeeded although its outcome was first recorded as
        unknown is listed once, as accepted.
        """
        # Read the document before the trail, so that a change that is copied
        # to the trail between the two reads is not missed.
        current, _ = await self.read()
        accepted: dict[int, AuditRecord] = {}
        if current.change is not None:
            accepted[current.number] = current.change
        async for page in list_pages(
            self._store, AUDIT_PREFIX, AUDIT_PAGE_SIZE
        ):
            for record in page:
                change = _decode_audit_record(record.value)
                accepted[change.revision] = change
        write_ids = {change.write_id for change in accepted.values()}
        changes = list(accepted.values())
        async for page in list_pages(
            self._store, REFUSED_PREFIX, AUDIT_PAGE_SIZE
        ):
            for record in page:
                change = _decode_audit_record(record.value)
                is_unknown = change.refusal == OutcomeUnknownError.code
                if not is_unknown or change.write_id not in write_ids:
                    changes.append(change)
        return sorted(
            changes, key=lambda change: (change.time, change.revision)
        )

    def _next_revision(
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
            # Keep times increasing when the clocks of entries differ.
            max(clock.wall(), previous + 1e-6),
            changed,
            write_id=write_id,
        )
        return Revision(
            number, parsed.model_dump_json().encode(), change, write_id
        )

    async def _write_revision(
        self, revision: Revision, store_revision: int
    ) -> Revision:
        """Writes a revision; reads it back if the write is not answered."""
        value = msgspec.json.encode(revision)
        if len(value) > MAX_RECORD_BYTES:
            raise ConfigurationError(
                f"The document needs {len(value)} bytes in the store; at most "
                f"{MAX_RECORD_BYTES} are allowed.",
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
                current = await self._read_after_write(deadline)
                return await self._find_accepted(
                    current, from_revision, revision.write_id
                )
            except StoreUnavailableError:
                current = await self._read_after_write(deadline)
            if current.number != from_revision:
                return await self._find_accepted(
                    current, from_revision, revision.write_id
                )

    async def _read_after_write(self, deadline: float) -> Revision:
        """Reads the newest revision, with retries until the deadline."""
        while True:
            try:
                return (await self.read())[0]
            except StoreUnavailableError as error:
                if clock.monotonic() >= deadline:
                    raise OutcomeUnknownError(
                        "The store stopped answering during the change; it is "
                        "unknown whether the change was written.",
                        remedy="Send the same change again: it is accepted "
                        "at most once.",
                        retry_after_s=error.retry_after_s,
                    ) from error
            await anyio.sleep(READ_RETRY_S * random.uniform(0.5, 1.5))

    async def _find_accepted(
        self, current: Revision, from_revision: int, write_id: str
    ) -> Revision:
        """Returns the revision that a change created.

        Raises:
            ConflictError: Another change was made from that revision.
        """
        number = from_revision + 1
        if current.number == number and current.write_id == write_id:
            return current
        if current.number > number:
            record = await self._store.get(_audit_key(number))
            if record is not None:
                change = _decode_audit_record(record.value)
                if change.write_id == write_id:
                    return Revision(number, b"", change, write_id)
        raise ConflictError(
            f"Revision {current.number} is in force, the change was "
            f"based on {from_revision}."
        )

    async def _copy_to_trail(self, current: Revision) -> None:
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
    # The key depends on the content only, so a retried write has the same key.
    digest = hashlib.sha256(msgspec.json.encode(record)).hexdigest()[:16]
    return f"{REFUSED_PREFIX}{record.time:017.6f}-{digest}"


def _decode_audit_record(value: bytes) -> AuditRecord:
    return msgspec.json.decode(value, type=AuditRecord)


def _write_id(operator: str, from_revision: int, parsed: FleetDocument) -> str:
    text = f"{operator}\0{from_revision}\0{parsed.model_dump_json()}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _write_id_if_valid(
    operator: str, from_revision: int, document: bytes
) -> str:
    try:
        parsed = fleet_document.check(document)
    except ConfigurationError:
        return ""
    return _write_id(operator, from_revision, parsed)


def decode_revision(value: bytes) -> Revision:
    """Decodes a revision from its value in the store."""
    return msgspec.json.decode(value, type=Revision)


def changed_paths(old: object, new: object, path: str = "") -> tuple[str, ...]:
    """Returns the paths at which two JSON values differ.

    Args:
        old: JSON value before the change.
        new: JSON value after the change.
        path: Dotted path of both values.
    """
    if old == new:
        return ()
    if not (isinstance(old, dict) and isinstance(new, dict)):
        return (path or ".",)
    paths: list[str] = []
    for key in sorted(old.keys() | new.keys()):
        child_path = f"{path}.{key}" if path else str(key)
        paths.extend(changed_paths(old.get(key), new.get(key), child_path))
    return tuple(paths)

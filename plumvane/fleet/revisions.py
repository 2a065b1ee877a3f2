"""Revisions of the fleet document in the store, with their audit trail."""

from __future__ import annotations

import msgspec

from plumvane import clock, events
from plumvane.errors import ConflictError, StoreUnavailableError
from plumvane.fleet import document as fleet_document
from plumvane.fleet.document import FleetDocument
from plumvane.store.base import ABSENT, Store

__all__ = ["AuditRecord", "DocumentStore", "Revision"]

DOCUMENT_KEY = "fleet/document"
AUDIT_PREFIX = "fleet/audit/"
REFUSED_PREFIX = "fleet/refused/"


class AuditRecord(msgspec.Struct, frozen=True):
    """One change, accepted or refused.

    Attributes:
        revision: Revision that it made, or 0 if it was refused.
        from_revision: Revision that it was based on.
        operator: Who made it.
        entry: Entry that took it.
        time: When, in seconds since the Unix epoch.
        changed: Paths of the fields that differ.
        refusal: Why it was refused, or None.
    """

    revision: int
    from_revision: int
    operator: str
    entry: str
    time: float
    changed: tuple[str, ...]
    refusal: str | None = None


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
    """

    def __init__(self, store: Store, entry: str) -> None:
        """Creates the repository.

        Args:
            store: The platform's store.
            entry: Name of this instance, for the audit trail.
        """
        self._store = store
        self._entry = entry

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
            The new revision.

        Raises:
            ConfigurationError: The document is invalid.
            ConflictError: Another change came first.
            StoreUnavailableError: The store does not answer.
        """
        parsed = fleet_document.parse(document)
        current, store_revision = await self.read()
        if current.number != from_revision:
            raise ConflictError(
                f"Revision {current.number} is in force, the change was "
                f"based on {from_revision}."
            )
        await self._archive(current)
        revision = self._revision(current, parsed, operator)
        await self._write(revision, store_revision)
        events.log(
            events.Event.CONFIGURATION_CHANGED,
            revision=revision.number,
            operator=operator,
        )
        return revision

    async def refuse(
        self, *, from_revision: int, operator: str, refusal: str
    ) -> None:
        """Records a refused change in the audit trail."""
        record = AuditRecord(
            0, from_revision, operator, self._entry, clock.wall(), (), refusal
        )
        key = f"{REFUSED_PREFIX}{record.time:.6f}-{self._entry}"
        await self._store.put(
            key, msgspec.json.encode(record), expected_revision=ABSENT
        )
        events.log(
            events.Event.CONFIGURATION_REFUSED,
            operator=operator,
            refusal=refusal,
        )

    async def audit(self) -> list[AuditRecord]:
        """Returns all changes, oldest first."""
        found: dict[tuple[float, int], AuditRecord] = {}
        for prefix in (AUDIT_PREFIX, REFUSED_PREFIX):
            for record in (await self._store.list(prefix)).records:
                change = msgspec.json.decode(record.value, type=AuditRecord)
                found[change.time, change.revision] = change
        current, _ = await self.read()
        if current.change is not None:
            change = current.change
            found[change.time, change.revision] = change
        return [found[key] for key in sorted(found)]

    def _revision(
        self, current: Revision, parsed: FleetDocument, operator: str
    ) -> Revision:
        number = current.number + 1
        changed = changed_paths(
            msgspec.json.decode(current.document),
            parsed.model_dump(mode="json"),
        )
        change = AuditRecord(
            number,
            current.number,
            operator,
            self._entry,
            clock.wall(),
            changed,
        )
        return Revision(
            number,
            parsed.model_dump_json().encode(),
            change,
            f"{self._entry}-{change.time:.6f}-{number}",
        )

    async def _write(self, revision: Revision, store_revision: int) -> None:
        """Writes a revision; settles a lost answer by reading it back."""
        value = msgspec.json.encode(revision)
        try:
            await self._store.put(
                DOCUMENT_KEY, value, expected_revision=store_revision
            )
        except (ConflictError, StoreUnavailableError):
            found, _ = await self.read()
            if found.write_id == revision.write_id:
                return
            raise

    async def _archive(self, current: Revision) -> None:
        if current.change is None:
            return
        key = f"{AUDIT_PREFIX}{current.number:010}"
        value = msgspec.json.encode(current.change)
        try:
            await self._store.put(key, value, expected_revision=ABSENT)
        except ConflictError:
            return


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

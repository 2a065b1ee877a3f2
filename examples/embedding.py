"""Partition ownership as a library, with a store adapter for SQLite.

Two instances share a few partitions. One commits a record to the log of a
partition and then fails without releasing its partitions; the other takes them
over and recovers the record. Run with `python -m examples.embedding`.
"""

from __future__ import annotations

import contextlib
import pathlib
import sqlite3
import tempfile
import time
import uuid

import anyio

from plumvane import clock
from plumvane.errors import ConflictError, NotFoundError
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.ownership import Ownership
from plumvane.partitions.records import LogRecord, RequestStarted
from plumvane.store.base import ABSENT, Lease, Record, Store, WatchResult

__all__ = ["Member", "SqliteStore", "main"]

PARTITIONS = 4
POLL_S = 0.05
DEADLINE_S = 60.0
SCHEMA = """
CREATE TABLE IF NOT EXISTS records (
    key TEXT PRIMARY KEY, value BLOB, revision INTEGER, deleted INTEGER,
    lease TEXT);
CREATE TABLE IF NOT EXISTS leases (
    id TEXT PRIMARY KEY, ttl_s REAL, lapses REAL);
CREATE TABLE IF NOT EXISTS counter (revision INTEGER);
INSERT INTO counter SELECT 0 WHERE NOT EXISTS (SELECT 1 FROM counter);
"""


class SqliteStore(Store):
    """Store that keeps records, leases and revisions in one SQLite file."""

    def __init__(self, path: pathlib.Path) -> None:
        """Opens the file and creates it if it does not exist.

        Args:
            path: Path of the file.
        """
        self._db = sqlite3.connect(path, isolation_level=None)
        self._db.executescript(SCHEMA)

    async def get(self, key: str) -> Record | None:
        """See base class."""
        with self._transaction():
            return self._get_live(key)

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int | None = None
    ) -> WatchResult:
        """See base class."""
        with self._transaction():
            records = self._select(
                "substr(key, 1, ?) = ? AND key > ? AND NOT deleted "
                "ORDER BY key LIMIT ?",
                len(prefix),
                prefix,
                after_key,
                -1 if limit is None else limit,
            )
            return WatchResult(records, self._revision())

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int | None,
        lease_id: str | None = None,
    ) -> int:
        """See base class."""
        with self._transaction():
            if lease_id is not None and not self._lease_ttl_s(lease_id):
                raise NotFoundError(f"Lease {lease_id} has expired.")
            self._check(key, expected_revision)
            return self._write(key, value, lease_id)

    async def delete(self, key: str, *, expected_revision: int | None) -> None:
        """See base class."""
        with self._transaction():
            self._check(key, expected_revision)
            if self._get_live(key):
                self._write(key, None, None)

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        """See base class."""
        while True:
            with self._transaction():
                changes = self._select(
                    "revision > ? AND substr(key, 1, ?) = ? ORDER BY revision",
                    after_revision,
                    len(prefix),
                    prefix,
                )
                newest = self._revision()
            if changes or clock.monotonic() >= deadline:
                return WatchResult(changes, newest)
            await anyio.sleep(POLL_S)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """See base class."""
        lease_id = uuid.uuid4().hex
        deadline = clock.monotonic() + ttl_s
        with self._transaction():
            self._db.execute(
                "INSERT INTO leases VALUES (?, ?, ?)",
                (lease_id, ttl_s, time.time() + ttl_s),
            )
        return Lease(lease_id, deadline)

    async def renew_lease(self, lease_id: str) -> Lease:
        """See base class."""
        now = clock.monotonic()
        with self._transaction():
            ttl_s = self._lease_ttl_s(lease_id)
            if not ttl_s:
                raise NotFoundError(f"Lease {lease_id} has expired.")
            self._db.execute(
                "UPDATE leases SET lapses = ? WHERE id = ?",
                (time.time() + ttl_s, lease_id),
            )
        return Lease(lease_id, now + ttl_s)

    async def revoke_lease(self, lease_id: str) -> None:
        """See base class."""
        with self._transaction():
            self._remove_lease(lease_id)

    @contextlib.contextmanager
    def _transaction(self):  # type: ignore[no-untyped-def]  # noqa: ANN202
        """Runs one transaction, after removing the expired leases."""
        self._db.execute("BEGIN IMMEDIATE")
        try:
            expired = self._db.execute(
                "SELECT id FROM leases WHERE lapses <= ?", (time.time(),)
            ).fetchall()
            for (lease_id,) in expired:
                self._remove_lease(lease_id)
            yield
        except BaseException:
            self._db.execute("ROLLBACK")
            raise
        self._db.execute("COMMIT")

    def _lease_ttl_s(self, lease_id: str) -> float:
        row = self._db.execute(
            "SELECT ttl_s FROM leases WHERE id = ?", (lease_id,)
        ).fetchone()
        return float(row[0]) if row else 0.0

    def _remove_lease(self, lease_id: str) -> None:
        for record in self._select("lease = ? AND NOT deleted", lease_id):
            self._write(record.key, None, None)
        self._db.execute("DELETE FROM leases WHERE id = ?", (lease_id,))

    def _check(self, key: str, expected: int | None) -> None:
        record = self._get_live(key)
        revision = record.revision if record else ABSENT
        if expected is not None and revision != expected:
            raise ConflictError(
                f"{key} is at revision {revision}, not {expected}."
            )

    def _get_live(self, key: str) -> Record | None:
        found = self._select("key = ? AND NOT deleted", key)
        return found[0] if found else None

    def _select(self, where: str, *values: object) -> tuple[Record, ...]:
        rows = self._db.execute(
            f"SELECT key, value, revision, deleted FROM records WHERE {where}",
            values,
        )
        return tuple(
            Record(key, value or b"", revision, bool(deleted))
            for key, value, revision, deleted in rows
        )

    def _write(self, key: str, value: bytes | None, lease: str | None) -> int:
        self._db.execute("UPDATE counter SET revision = revision + 1")
        revision = self._revision()
        self._db.execute(
            "INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?, ?)",
            (key, value, revision, value is None, lease),
        )
        return revision

    def _revision(self) -> int:
        row = self._db.execute("SELECT revision FROM counter").fetchone()
        return int(row[0])


class Member:
    """An instance that owns some of the partitions."""

    def __init__(
        self, store: Store, name: str, addresses_by_name: dict[str, str]
    ) -> None:
        """Creates an instance that owns no partitions yet.

        Args:
            store: The shared store.
            name: Name of the instance.
            addresses_by_name: Addresses of all instances by name.
        """
        self.name = name
        self.logs_by_partition: dict[int, PartitionLog] = {}
        self.records_by_partition: dict[int, list[LogRecord]] = {}
        self.ownership = Ownership(
            store,
            name,
            addresses_by_name[name],
            peers=lambda: addresses_by_name,
            on_taken=self._on_taken,
            on_lost=self._on_lost,
            partitions=PARTITIONS,
        )

    def _on_taken(
        self, partition: int, records: list[LogRecord], log: PartitionLog
    ) -> None:
        self.logs_by_partition[partition] = log
        self.records_by_partition[partition] = list(records)

    def _on_lost(self, partition: int) -> None:
        self.logs_by_partition.pop(partition, None)


async def main(folder: pathlib.Path) -> list[LogRecord]:
    """Stops one of two instances; returns the records the other recovers."""
    addresses_by_name = {"alpha": "127.0.0.1:1", "beta": "127.0.0.1:2"}
    members = [
        Member(SqliteStore(folder / "store.db"), name, addresses_by_name)
        for name in addresses_by_name
    ]
    failed, survivor = members
    record = RequestStarted("team", "key", "r-1", b"", 0.0, "", 0.0)
    with anyio.fail_after(DEADLINE_S):
        async with anyio.create_task_group() as group:
            scope = anyio.CancelScope()
            group.start_soon(_run_until_cancelled, failed, scope)
            group.start_soon(survivor.ownership.run)
            while not (failed.logs_by_partition and survivor.logs_by_partition):
                await anyio.sleep(POLL_S)
            partition, log = next(iter(failed.logs_by_partition.items()))
            await log.commit(record)
            print(f"{failed.name} committed to partition {partition} and fails")
            scope.cancel()
            while record not in survivor.records_by_partition.get(
                partition, []
            ):
                await anyio.sleep(POLL_S)
            epoch = survivor.logs_by_partition[partition].epoch
            print(f"{survivor.name} owns partition {partition}, epoch {epoch}")
            group.cancel_scope.cancel()
    return survivor.records_by_partition[partition]


async def _run_until_cancelled(
    member: Member, scope: anyio.CancelScope
) -> None:
    with scope:
        await member.ownership.run()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as name:
        print(anyio.run(main, pathlib.Path(name)))

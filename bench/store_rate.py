"""Store calls per second, by the number of partitions and of entries.

Ownerships in this process share a MemoryStore that counts its calls; a watch
counts as one. Each partition gets more commits than its log may write, so group
commit runs at its rate limit. The runs over the number of entries are repeated
with idle partitions. Run with `python -m bench.store_rate`; figures are printed
as JSON lines.
"""

from __future__ import annotations

import collections
import json
from typing import Any

import anyio
from absl import app, flags

from plumvane import clock
from plumvane.errors import PlumvaneError
from plumvane.partitions.moves import STABLE_S
from plumvane.partitions.ownership import Ownership
from plumvane.partitions.records import LogRecord, RequestCompleted
from plumvane.peers.messages import Done, Outcome, TakePartition
from plumvane.store.memory import MemoryStore

__all__ = ["main"]

_PARTITIONS = flags.DEFINE_multi_integer(
    "partitions", [8, 16, 32, 64], "Numbers of partitions, with 4 entries."
)
_ENTRIES = flags.DEFINE_multi_integer(
    "entries", [2, 4, 8, 16, 64, 360], "Numbers of entries, with 16 partitions."
)
_SECONDS = flags.DEFINE_float(
    "seconds", 5.0, "Length of a measurement, in seconds."
)

WRITERS_PER_PARTITION = 8
POLL_S = 0.1


class _CountingStore(MemoryStore):
    """Memory store that counts reads, writes and lease renewals."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: collections.Counter[str] = collections.Counter()

    async def get(self, key: str) -> Any:
        self.counts["reads"] += 1
        return await super().get(key)

    async def list(self, prefix: str, **page: Any) -> Any:
        self.counts["reads"] += 1
        return await super().list(prefix, **page)

    async def watch(self, *args: Any, **kwargs: Any) -> Any:
        self.counts["reads"] += 1
        return await super().watch(*args, **kwargs)

    async def put(self, *args: Any, **kwargs: Any) -> int:
        self.counts["writes"] += 1
        return await super().put(*args, **kwargs)

    async def delete(self, *args: Any, **kwargs: Any) -> None:
        self.counts["writes"] += 1
        await super().delete(*args, **kwargs)

    async def grant_lease(self, ttl_s: float) -> Any:
        self.counts["writes"] += 1
        return await super().grant_lease(ttl_s)

    async def renew_lease(self, lease_id: str) -> Any:
        self.counts["writes"] += 1
        self.counts["renewals"] += 1
        return await super().renew_lease(lease_id)


class _LocalFleet:
    """Entries in one process that call each other directly."""

    def __init__(self, entries: int, partitions: int) -> None:
        self.store = _CountingStore()
        self.partitions = partitions
        self.members_by_name = {
            name: Ownership(
                self.store,
                name,
                name,
                peers=lambda: {n: n for n in self.members_by_name},
                on_taken=_ignore_takeover,
                on_lost=lambda _: None,
                links=self,  # type: ignore[arg-type]
                partitions=partitions,
            )
            for name in (f"entry-{number}" for number in range(entries))
        }

    async def call(
        self, address: str, message: TakePartition, *, deadline: float
    ) -> Done:
        """Calls another entry directly, without a connection."""
        member = self.members_by_name[address]
        await member.take_from_owner(message.partition, message.epoch)
        return Done()

    async def wait_ready(self) -> None:
        """Waits until all partitions are owned and rebalancing has settled."""
        while sum(len(m.owned) for m in self.members_by_name.values()) < (
            self.partitions
        ):
            await anyio.sleep(POLL_S)
        await anyio.sleep(STABLE_S + 3.0)

    async def write_continuously(self, number: int) -> None:
        """Commits to a partition as fast as its log accepts records."""
        while True:
            for member in self.members_by_name.values():
                if number in member.owned:
                    try:
                        await member.owned[number].log.commit(_record())
                    except PlumvaneError:
                        await anyio.sleep(POLL_S)
            await anyio.sleep(0)


def _ignore_takeover(
    partition: int, records: list[LogRecord], log: object
) -> None:
    return


def _record() -> RequestCompleted:
    return RequestCompleted(
        "team", "key", "run", b"", Outcome(200, b"x" * 50), clock.wall()
    )


async def _measure(entries: int, partitions: int, *, idle: bool) -> None:
    fleet = _LocalFleet(entries, partitions)
    async with anyio.create_task_group() as group:
        for member in fleet.members_by_name.values():
            group.start_soon(member.run)
        await fleet.wait_ready()
        if not idle:
            for number in range(partitions):
                for _ in range(WRITERS_PER_PARTITION):
                    group.start_soon(fleet.write_continuously, number)
        fleet.store.counts.clear()
        start = clock.monotonic()
        await anyio.sleep(_SECONDS.value)
        elapsed_s = clock.monotonic() - start
        rates = {
            kind: round(fleet.store.counts[kind] / elapsed_s, 1)
            for kind in ("writes", "reads", "renewals")
        }
        group.cancel_scope.cancel()
    owners = sum(bool(m.owned) for m in fleet.members_by_name.values())
    print(
        json.dumps(
            {
                "entries": entries,
                "partitions": partitions,
                "idle": idle,
                "owners": owners,
                "per_s": rates,
            }
        ),
        flush=True,
    )


def main(argv: list[str]) -> None:
    """Runs the measurements."""
    del argv
    for partitions in _PARTITIONS.value:
        anyio.run(_run, 4, partitions, False)
    for entries in _ENTRIES.value:
        anyio.run(_run, entries, 16, False)
        anyio.run(_run, entries, 16, True)


async def _run(entries: int, partitions: int, idle: bool) -> None:
    await _measure(entries, partitions, idle=idle)


if __name__ == "__main__":
    app.run(main)

"""Service gap when a partition moves: pre-copy compared with cold takeovers.

Two instances in this process share the stand-in of the platform store, whose
responses are delayed. A caller commits records continuously to the instance
that serves the partition; the gap is the longest time between two successive
commits around the move. The methods are measured in turn in one run. Run with
`python -m bench.partition_move`; figures are printed as JSON lines.
"""

from __future__ import annotations

import json
import pathlib
import statistics
import tempfile

import anyio
from absl import app, flags

from plumvane import clock
from plumvane.errors import PlumvaneError
from plumvane.partitions.ownership import Ownership
from plumvane.partitions.records import LogRecord, RequestCompleted
from plumvane.peers.messages import Done, Outcome, TakePartition
from plumvane.store.http import HttpStore
from standins.launcher import Fleet

__all__ = ["main"]

_ROUNDS = flags.DEFINE_integer("rounds", 5, "Moves by each method.")
_DELAY_S = flags.DEFINE_float("delay_s", 0.003, "Response delay of the store.")
_RECORDS = flags.DEFINE_integer("records", 4000, "Records in the log.")
_RECORD_BYTES = flags.DEFINE_integer("record_bytes", 2000, "Size of a record.")

RETRY_S = 0.005
STEADY_COMMITS = 10


class _Handover:
    """Successive instances that take over one partition from each other."""

    def __init__(self, store: HttpStore, group: anyio.abc.TaskGroup) -> None:
        self._store = store
        self._group = group
        self._started_count = 0
        self._scope = anyio.CancelScope()
        self._members_by_name: dict[str, Ownership] = {}
        self.owner: Ownership | None = None
        self.commits: list[float] = []

    async def call(
        self, address: str, message: TakePartition, *, deadline: float
    ) -> Done:
        """Calls another instance directly, without a connection."""
        member = self._members_by_name[address]
        await member.take_from_owner(message.partition, message.epoch)
        return Done()

    def start(self) -> Ownership:
        """Starts the next instance."""
        self._started_count += 1
        name = f"m{self._started_count}"
        member = Ownership(
            self._store,
            name,
            name,
            peers=lambda: {n: n for n in self._members_by_name},
            on_taken=_ignore_takeover,
            on_lost=lambda _: None,
            links=self,  # type: ignore[arg-type]
            partitions=1,
        )
        self._members_by_name[name] = member
        self._scope = anyio.CancelScope()
        self._group.start_soon(self._run, member, self._scope)
        return member

    async def wait_serving(self, member: Ownership) -> None:
        """Waits until an instance owns the partition."""
        while 0 not in member.owned:
            await anyio.sleep(RETRY_S)
        self.owner = member

    async def wait_for_commits(self) -> None:
        """Waits for STEADY_COMMITS further commits."""
        target_count = len(self.commits) + STEADY_COMMITS
        while len(self.commits) < target_count:
            await anyio.sleep(RETRY_S)

    async def commit_continuously(self) -> None:
        """Commits records without pause at the instance that serves."""
        number = 0
        while True:
            number += 1
            log = next(
                (
                    member.owned[0].log
                    for member in list(self._members_by_name.values())
                    if 0 in member.owned
                ),
                None,
            )
            if log is not None:
                try:
                    await log.commit(_record(f"live-{number}", 10))
                    self.commits.append(clock.monotonic())
                    continue
                except PlumvaneError:
                    pass
            await anyio.sleep(RETRY_S)

    async def move(self, method: str) -> float:
        """Moves the partition; returns the longest commit gap in seconds."""
        previous_owner, scope = self.owner, self._scope
        assert previous_owner is not None
        await self.wait_for_commits()
        start = len(self.commits) - 1
        name = next(
            n for n, m in self._members_by_name.items() if m is previous_owner
        )
        if method == "pre-copy":
            successor = self.start()
            await previous_owner.leave()
        elif method == "release":
            successor = self.start()
            previous_owner._leaving = True
            await previous_owner._release(previous_owner.owned[0])
        else:
            scope.cancel()
            successor = self.start()
        del self._members_by_name[name]
        await self.wait_serving(successor)
        await self.wait_for_commits()
        scope.cancel()
        times = self.commits[start:]
        return max(b - a for a, b in zip(times, times[1:], strict=False))

    async def _run(self, member: Ownership, scope: anyio.CancelScope) -> None:
        with scope:
            await member.run()


def _ignore_takeover(
    partition: int, records: list[LogRecord], log: object
) -> None:
    return


def _record(key: str, size: int) -> RequestCompleted:
    return RequestCompleted(
        "team", key, key, b"", Outcome(200, b"x" * size), clock.wall()
    )


async def _measure(fleet: Fleet) -> None:
    store = HttpStore(fleet["store"].url)
    gaps_by_method: dict[str, list[float]] = {}
    async with anyio.create_task_group() as group:
        handover = _Handover(store, group)
        member = handover.start()
        await handover.wait_serving(member)
        async with anyio.create_task_group() as fill:
            for number in range(_RECORDS.value):
                record = _record(f"r{number}", _RECORD_BYTES.value)
                fill.start_soon(member.owned[0].log.commit, record)
        fleet.set_store_faults(delay_s=_DELAY_S.value)
        group.start_soon(handover.commit_continuously)
        for _ in range(_ROUNDS.value):
            for method in ("pre-copy", "release", "kill"):
                gap = await handover.move(method)
                gaps_by_method.setdefault(method, []).append(gap)
        group.cancel_scope.cancel()
    release_median_s = statistics.median(gaps_by_method["release"])
    for method, gaps in gaps_by_method.items():
        median = statistics.median(gaps)
        print(
            json.dumps(
                {
                    "way": method,
                    "gap_s": [round(gap, 3) for gap in gaps],
                    "median_s": round(median, 3),
                    "to_release": round(median / release_median_s, 2),
                }
            ),
            flush=True,
        )


def main(argv: list[str]) -> None:
    """Runs the measurement."""
    del argv
    with tempfile.TemporaryDirectory() as folder:
        with Fleet(pathlib.Path(folder)) as fleet:
            fleet.start_standin("store", "store")
            fleet.wait_started()
            anyio.run(_measure, fleet)


if __name__ == "__main__":
    app.run(main)

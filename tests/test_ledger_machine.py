"""State machine test of the request ledger under faults.

Replies and writes are lost, claims expire, owners are replaced and results move
to chunks. The oracle records the first durable answer of each key, which must
never change, and counts the runs of each non-idempotent key, which must never
exceed one.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import os
from collections.abc import Iterator
from typing import Any
from unittest import mock

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from plumvane import clock
from plumvane.errors import PlumvaneError, StoreUnavailableError
from plumvane.partitions import budget, moving
from plumvane.partitions import log as log_module
from plumvane.partitions.compaction import Compaction
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.moving import ResultMover
from plumvane.peers.messages import (
    Claim,
    ClaimGranted,
    ClaimResult,
    Committed,
    Complete,
    EntryClaims,
    Outcome,
    Settled,
)
from plumvane.requests import ledger as ledger_module
from plumvane.requests.claims import ClaimedRun
from plumvane.requests.ledger import OwnerState, RequestLedger, RunControl
from plumvane.requests.moved_results import ResultChunkCache
from tests.chunks import MemoryChunks
from tests.faulty_store import Fault, FaultyStore

# Requests whose key starts with "safe" are idempotent.
KEYS = ("safe-0", "once-0", "once-1")
# A segment is full after one or two records.
SEGMENT_BYTES = 100
# Iterations of the event loop after which a call is cancelled.
CALL_LOOP_ITERATIONS = 60
FAULTS = (Fault.LOSE_RESPONSE, Fault.LOSE_REQUEST, Fault.DELAY)


class _Sidecar(RunControl):
    """Runs each request id at most once, and never after forbidding it."""

    def __init__(self) -> None:
        self.outcomes_by_id: dict[str, Outcome] = {}
        self.forbidden: set[str] = set()
        self.runs_by_key: collections.Counter[str] = collections.Counter()

    def run(self, claim: Claim) -> Outcome | None:
        """Runs a request and returns its outcome; None if it is forbidden."""
        if claim.request_id in self.forbidden:
            return None
        if claim.request_id not in self.outcomes_by_id:
            self.runs_by_key[claim.key] += 1
            body = claim.request_id.encode()
            self.outcomes_by_id[claim.request_id] = Outcome(200, body)
        return self.outcomes_by_id[claim.request_id]

    async def settle(self, run: ClaimedRun) -> Settled:
        request_id = run.claim.request_id
        if request_id in self.outcomes_by_id:
            return Settled("done", self.outcomes_by_id[request_id])
        self.forbidden.add(request_id)
        return Settled("forbidden")

    async def stop(self, run: ClaimedRun) -> None:
        pass

    async def acknowledge(self, run: ClaimedRun) -> None:
        pass


class _Owner:
    """A current or former owner of the partition."""

    def __init__(self, cluster: _Cluster, epoch: int) -> None:
        self.log = PartitionLog(cluster.store, 0, epoch)
        self.is_current = True
        self.scope = anyio.CancelScope()
        state = OwnerState(
            lambda: self.is_current and not cluster.outage_noticed,
            lambda: cluster.outage_noticed,
            lambda: 1e9,
        )
        self.ledger = RequestLedger(
            0,
            self.log,
            state,
            cluster.sidecar,
            cluster.spawn,
            ResultChunkCache(cluster.chunks),
        )
        self.log.mover = ResultMover(cluster.chunks, self.ledger.apply_move)
        self.compaction = Compaction(self.log)

    async def recover(self, cluster: _Cluster) -> None:
        for record in await self.log.recover():
            self.ledger.apply(record)
        cluster.spawn(self._run)

    async def _run(self) -> None:
        with self.scope:
            await self.log.run()


class _Cluster:
    """The store, the sidecar, the chunks and all owners of the partition."""

    def __init__(self) -> None:
        self.store = FaultyStore()
        self.outage_noticed = False
        self.sidecar = _Sidecar()
        self.chunks = MemoryChunks()
        self.owners: list[_Owner] = []
        self.group: Any = None
        self.stopping = anyio.Event()

    async def main(self) -> None:
        async with anyio.create_task_group() as group:
            self.group = group
            await self.stopping.wait()
            group.cancel_scope.cancel()

    def spawn(self, function: Any, *args: Any) -> None:
        self.group.start_soon(function, *args)

    async def take_over(self, announced: list[EntryClaims]) -> None:
        owner = _Owner(self, len(self.owners) + 1)
        await owner.recover(self)
        for former in self.owners:
            former.is_current = False
        self.owners.append(owner)
        for claims in announced:
            owner.ledger.recover_claims(claims)
        owner.ledger.finish_recovery()


class LedgerMachine(RuleBasedStateMachine):
    """Entries that claim, run and complete requests, crash and lose replies."""

    def __init__(self) -> None:
        super().__init__()
        self.stack = contextlib.ExitStack()
        self.clock_offset_s = 0.0
        self.stack.enter_context(_patched_timing(self))
        # The loop runs only within a step, so that runs are reproducible.
        self.loop = asyncio.new_event_loop()
        self.cluster = self._wait(self._create_cluster())
        self.main = self.loop.create_task(self.cluster.main())
        self._wait(anyio.sleep(0))
        self.request_count = 0
        # Claims granted to entries, and results they hold until durable.
        self.claims: list[Claim] = []
        self.unacknowledged: list[Complete] = []
        # Oracle: first durable answer by key.
        self.answers_by_key: dict[str, Outcome] = {}
        self._wait(self.cluster.take_over([]))

    async def _create_cluster(self) -> _Cluster:
        return _Cluster()

    def teardown(self) -> None:
        try:
            self._check_all_readable()
        finally:
            self.cluster.stopping.set()
            self.loop.run_until_complete(self.main)
            self.loop.close()
            self.stack.close()

    @rule(key=st.sampled_from(KEYS), owner_age=st.integers(0, 1))
    def claim(self, key: str, owner_age: int) -> None:
        self.request_count += 1
        claim = Claim(
            0,
            "team",
            key,
            f"run-{self.request_count}",
            b"",
            key.startswith("safe"),
            clock.wall() + 60.0,
            "entry",
            "sidecar",
        )
        reply = self._call(self._owner(owner_age).ledger.claim, claim)
        if isinstance(reply, ClaimGranted):
            self.claims.append(claim)
        elif isinstance(reply, ClaimResult):
            self._check_answer(key, reply.outcome, reply.durable)

    @precondition(lambda self: self.claims)
    @rule(
        index=st.integers(0, 9),
        owner_age=st.integers(0, 1),
        is_lost=st.booleans(),
    )
    def run_and_complete(
        self, index: int, owner_age: int, is_lost: bool
    ) -> None:
        claim = self.claims.pop(index % len(self.claims))
        outcome = self.cluster.sidecar.run(claim)
        assert (
            claim.idempotent or self.cluster.sidecar.runs_by_key[claim.key] < 2
        )
        if outcome is None:
            self._release(claim, owner_age)
            return
        message = Complete(0, "team", claim.key, claim.request_id, b"", outcome)
        self.unacknowledged.append(message)
        if not is_lost:
            self._complete(message, owner_age)

    @precondition(lambda self: self.unacknowledged)
    @rule(index=st.integers(0, 9), owner_age=st.integers(0, 1))
    def complete_again(self, index: int, owner_age: int) -> None:
        self._complete(
            self.unacknowledged[index % len(self.unacknowledged)], owner_age
        )

    @precondition(lambda self: self.claims)
    @rule(index=st.integers(0, 9), owner_age=st.integers(0, 1))
    def release(self, index: int, owner_age: int) -> None:
        self._release(self.claims.pop(index % len(self.claims)), owner_age)

    @precondition(lambda self: self.claims)
    @rule(index=st.integers(0, 9))
    def run_and_crash(self, index: int) -> None:
        self.cluster.sidecar.run(self.claims.pop(index % len(self.claims)))

    @precondition(lambda self: self.claims)
    @rule(key=st.sampled_from(KEYS))
    def cancel(self, key: str) -> None:
        reply = self._call(self._owner(0).ledger.cancel, "team", key)
        if isinstance(reply, ClaimResult):
            self._check_answer(key, reply.outcome, reply.durable)

    @rule(renewed=st.booleans())
    def expire_claims(self, renewed: bool) -> None:
        self.clock_offset_s += ledger_module.CLAIM_TIMEOUT_S + 1.0
        ledger = self._owner(0).ledger
        if renewed:
            ids = tuple(claim.request_id for claim in self.claims)
            ledger.renew(ids)
        self._call(_reap, ledger)

    @rule(announce=st.booleans())
    def take_over(self, announce: bool) -> None:
        if self.cluster.store.down:
            return
        announced = []
        if announce:
            announced = [
                EntryClaims(tuple(self.claims), tuple(self.unacknowledged))
            ]
        try:
            self._wait(self.cluster.take_over(announced))
        except StoreUnavailableError:
            return

    @rule(faults=st.lists(st.sampled_from(FAULTS), max_size=3))
    def lose_writes(self, faults: list[Fault]) -> None:
        self.cluster.store.faults.extend(faults)

    @rule()
    def land_delayed_writes(self) -> None:
        self._wait(self.cluster.store.apply_delayed_writes())

    @rule(down=st.sampled_from([False, False, True]), noticed=st.booleans())
    def outage(self, down: bool, noticed: bool) -> None:
        self.cluster.store.down = down
        self.cluster.outage_noticed = down and noticed

    @rule(announce=st.booleans())
    def lose_owner(self, announce: bool) -> None:
        self._call(_crash, self._owner(0))
        self.outage(False, False)
        self.take_over(announce)

    @rule(bulks=st.integers(0, 2), refuse=st.booleans())
    def move_results(self, bulks: int, refuse: bool) -> None:
        """Compacts the log while bulk instances may be missing or fail."""
        self.cluster.chunks.live_instances, self.cluster.chunks.fail_writes = (
            bulks,
            refuse,
        )
        self._call(self._owner(0).compaction.run)

    def _owner(self, owner_age: int) -> _Owner:
        """Returns the current owner, or an earlier one if there is one."""
        owners = self.cluster.owners
        return owners[max(0, len(owners) - 1 - owner_age)]

    def _call(self, function: Any, *args: Any) -> Any:
        """Calls an owner; returns its error, or None on a timeout."""

        async def call() -> Any:
            task = asyncio.create_task(function(*args))
            for _ in range(CALL_LOOP_ITERATIONS):
                await asyncio.sleep(0)
            if not task.done():
                task.cancel()
            try:
                return await task
            except PlumvaneError as error:
                return error
            except asyncio.CancelledError:
                return None

        return self._wait(call())

    def _wait(self, awaitable: Any) -> Any:
        return self.loop.run_until_complete(awaitable)

    def _complete(self, message: Complete, owner_age: int) -> None:
        reply = self._call(self._owner(owner_age).ledger.complete, message)
        if isinstance(reply, Committed):
            outcome = reply.outcome or message.outcome
            self._check_answer(message.key, outcome, reply.durable)
            if reply.durable and message in self.unacknowledged:
                self.unacknowledged.remove(message)

    def _release(self, claim: Claim, owner_age: int) -> None:
        release = self._owner(owner_age).ledger.release
        self._call(release, claim.team, claim.key, claim.request_id)

    def _check_answer(self, key: str, outcome: Outcome, durable: bool) -> None:
        if durable:
            expected = self.answers_by_key.setdefault(key, outcome)
            assert outcome == expected, (key, expected, outcome)

    def _check_all_readable(self) -> None:
        self.outage(False, False)
        self.cluster.store.faults.clear()
        self.cluster.chunks.live_instances = 1
        self._wait(self.cluster.take_over([]))
        for key, outcome in self.answers_by_key.items():
            found = self._call(self._owner(0).ledger.lookup, "team", key)
            assert isinstance(found, ClaimResult), (key, found)
            assert found.outcome == outcome, (key, found, outcome)
        for key, runs in self.cluster.sidecar.runs_by_key.items():
            assert key.startswith("safe") or runs < 2, (key, runs)


@contextlib.contextmanager
def _patched_timing(machine: LedgerMachine) -> Iterator[None]:
    """Controls the clock, shrinks segments and removes delays."""
    real_monotonic = clock.monotonic
    with (
        mock.patch.object(
            clock,
            "monotonic",
            lambda: real_monotonic() + machine.clock_offset_s,
        ),
        mock.patch.object(ledger_module, "COMMIT_WAIT_S", 3600.0),
        mock.patch.object(budget, "COMMITS_PER_S", 1e9),
        mock.patch.object(log_module, "SEGMENT_BYTES", SEGMENT_BYTES),
        mock.patch.object(moving, "MIN_CHUNK_BYTES", 1),
        mock.patch.object(anyio, "sleep", lambda delay: asyncio.sleep(0)),
    ):
        yield


async def _crash(owner: _Owner) -> None:
    owner.scope.cancel()


async def _reap(ledger: RequestLedger) -> None:
    ledger.reap()


def test_fuzz_ledger() -> None:
    long = os.environ.get("HYPOTHESIS_PROFILE") == "long"
    run_state_machine_as_test(
        LedgerMachine,
        settings=settings(
            derandomize=not long,
            deadline=None,
            max_examples=4000 if long else 200,
            stateful_step_count=50,
            print_blob=True,
        ),
    )

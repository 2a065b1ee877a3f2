"""The request ledger under lost answers, lapses, takeovers and moves to chunks.

The oracle keeps the first durable answer of each key and counts the runs of
each non-idempotent key: the answer never changes, and the count never passes
one.
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
from plumvane.requests.moved import ChunkBodies
from tests.chunks import MemoryChunks
from tests.faulty_store import Fault, FaultyStore

KEYS = ("safe-0", "once-0", "once-1")
# A segment is full after one record or two.
SEGMENT_BYTES = 100
# Turns of the event loop that a call gets.
CALL_TURNS = 60
FAULTS = (Fault.LOSE_RESPONSE, Fault.LOSE_REQUEST, Fault.DELAY)


class _Sidecar(RunControl):
    """Runs requests at most once by id, unless they are forbidden."""

    def __init__(self) -> None:
        self.outcomes_by_id: dict[str, Outcome] = {}
        self.forbidden: set[str] = set()
        self.runs_by_key: collections.Counter[str] = collections.Counter()

    def run(self, claim: Claim) -> Outcome | None:
        """Runs a dispatch; returns None if it is forbidden."""
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

    async def forget(self, run: ClaimedRun) -> None:
        pass


class _Owner:
    """An owner of the partition, present or former."""

    def __init__(self, world: _World, epoch: int) -> None:
        self.log = PartitionLog(world.store, 0, epoch)
        self.is_current = True
        self.scope = anyio.CancelScope()
        state = OwnerState(
            lambda: self.is_current and not world.outage_noticed,
            lambda: world.outage_noticed,
            lambda: 1e9,
        )
        self.ledger = RequestLedger(
            0,
            self.log,
            state,
            world.sidecar,
            world.spawn,
            ChunkBodies(world.chunks),
        )
        self.log.mover = ResultMover(world.chunks, self.ledger.take_moved)
        self.compaction = Compaction(self.log)

    async def take(self, world: _World) -> None:
        for record in await self.log.recover():
            self.ledger.apply(record)
        world.spawn(self._run)

    async def _run(self) -> None:
        with self.scope:
            await self.log.run()


class _World:
    """Store, sidecar and owners."""

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
        await owner.take(self)
        for former in self.owners:
            former.is_current = False
        self.owners.append(owner)
        for claims in announced:
            owner.ledger.announce(claims)
        owner.ledger.finish_inheriting()


class LedgerMachine(RuleBasedStateMachine):
    """Entries that claim, run, complete, fall silent and lose answers."""

    def __init__(self) -> None:
        super().__init__()
        self.stack = contextlib.ExitStack()
        self.offset_s = 0.0
        self.stack.enter_context(_fast(self))
        # It stands still between the steps, so that each run is the same.
        self.loop = asyncio.new_event_loop()
        self.world = self._wait(self._make_world())
        self.main = self.loop.create_task(self.world.main())
        self._wait(anyio.sleep(0))
        self.numbers = 0
        # Granted runs of the entries, and results that they still hold.
        self.claims: list[Claim] = []
        self.held: list[Complete] = []
        # Oracle: the first durable answer of each key.
        self.answers_by_key: dict[str, Outcome] = {}
        self._wait(self.world.take_over([]))

    async def _make_world(self) -> _World:
        return _World()

    def teardown(self) -> None:
        try:
            self._check_all_readable()
        finally:
            self.world.stopping.set()
            self.loop.run_until_complete(self.main)
            self.loop.close()
            self.stack.close()

    @rule(key=st.sampled_from(KEYS), back=st.integers(0, 1))
    def claim(self, key: str, back: int) -> None:
        self.numbers += 1
        claim = Claim(
            0,
            "team",
            key,
            f"run-{self.numbers}",
            b"",
            key.startswith("safe"),
            clock.wall() + 60.0,
            "entry",
            "sidecar",
        )
        reply = self._call(self._owner(back).ledger.claim, claim)
        if isinstance(reply, ClaimGranted):
            self.claims.append(claim)
        elif isinstance(reply, ClaimResult):
            self._saw(key, reply.outcome, reply.durable)

    @precondition(lambda self: self.claims)
    @rule(index=st.integers(0, 9), back=st.integers(0, 1), lost=st.booleans())
    def run_and_complete(self, index: int, back: int, lost: bool) -> None:
        claim = self.claims.pop(index % len(self.claims))
        outcome = self.world.sidecar.run(claim)
        assert claim.idempotent or self.world.sidecar.runs_by_key[claim.key] < 2
        if outcome is None:
            self._release(claim, back)
            return
        message = Complete(0, "team", claim.key, claim.request_id, b"", outcome)
        self.held.append(message)
        if not lost:
            self._complete(message, back)

    @precondition(lambda self: self.held)
    @rule(index=st.integers(0, 9), back=st.integers(0, 1))
    def complete_again(self, index: int, back: int) -> None:
        self._complete(self.held[index % len(self.held)], back)

    @precondition(lambda self: self.claims)
    @rule(index=st.integers(0, 9), back=st.integers(0, 1))
    def release(self, index: int, back: int) -> None:
        self._release(self.claims.pop(index % len(self.claims)), back)

    @precondition(lambda self: self.claims)
    @rule(index=st.integers(0, 9))
    def run_and_die(self, index: int) -> None:
        self.world.sidecar.run(self.claims.pop(index % len(self.claims)))

    @precondition(lambda self: self.claims)
    @rule(key=st.sampled_from(KEYS))
    def cancel(self, key: str) -> None:
        reply = self._call(self._owner(0).ledger.cancel, "team", key)
        if isinstance(reply, ClaimResult):
            self._saw(key, reply.outcome, reply.durable)

    @rule(renewed=st.booleans())
    def fall_silent(self, renewed: bool) -> None:
        self.offset_s += ledger_module.CLAIM_SILENCE_S + 1.0
        ledger = self._owner(0).ledger
        if renewed:
            ids = tuple(claim.request_id for claim in self.claims)
            ledger.renew(ids)
        self._call(_reap, ledger)

    @rule(announce=st.booleans())
    def take_over(self, announce: bool) -> None:
        if self.world.store.down:
            return
        announced = []
        if announce:
            announced = [EntryClaims(tuple(self.claims), tuple(self.held))]
        try:
            self._wait(self.world.take_over(announced))
        except StoreUnavailableError:
            return

    @rule(faults=st.lists(st.sampled_from(FAULTS), max_size=3))
    def lose_writes(self, faults: list[Fault]) -> None:
        self.world.store.faults.extend(faults)

    @rule()
    def land_late(self) -> None:
        self._wait(self.world.store.apply_delayed_writes())

    @rule(down=st.sampled_from([False, False, True]), noticed=st.booleans())
    def outage(self, down: bool, noticed: bool) -> None:
        self.world.store.down = down
        self.world.outage_noticed = down and noticed

    @rule(announce=st.booleans())
    def lose_owner(self, announce: bool) -> None:
        self._call(_crash, self._owner(0))
        self.outage(False, False)
        self.take_over(announce)

    @rule(bulks=st.integers(0, 2), refuse=st.booleans())
    def move_results(self, bulks: int, refuse: bool) -> None:
        """Closed segments move to chunks, or the bulk instances are away."""
        self.world.chunks.up, self.world.chunks.refuse = bulks, refuse
        self._call(self._owner(0).compaction.run)

    def _owner(self, back: int) -> _Owner:
        """Returns the current owner, or the one before it."""
        owners = self.world.owners
        return owners[max(0, len(owners) - 1 - back)]

    def _call(self, function: Any, *args: Any) -> Any:
        """Calls an owner; returns None if it has no answer in time."""

        async def call() -> Any:
            task = asyncio.create_task(function(*args))
            for _ in range(CALL_TURNS):
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

    def _complete(self, message: Complete, back: int) -> None:
        reply = self._call(self._owner(back).ledger.complete, message)
        if isinstance(reply, Committed):
            outcome = reply.outcome or message.outcome
            self._saw(message.key, outcome, reply.durable)
            if reply.durable and message in self.held:
                self.held.remove(message)

    def _release(self, claim: Claim, back: int) -> None:
        release = self._owner(back).ledger.release
        self._call(release, claim.team, claim.key, claim.request_id)

    def _saw(self, key: str, outcome: Outcome, durable: bool) -> None:
        if durable:
            first = self.answers_by_key.setdefault(key, outcome)
            assert outcome == first, (key, first, outcome)

    def _check_all_readable(self) -> None:
        self.outage(False, False)
        self.world.store.faults.clear()
        self.world.chunks.up = 1
        self._wait(self.world.take_over([]))
        for key, outcome in self.answers_by_key.items():
            found = self._call(self._owner(0).ledger.lookup, "team", key)
            assert isinstance(found, ClaimResult), (key, found)
            assert found.outcome == outcome, (key, found, outcome)
        for key, runs in self.world.sidecar.runs_by_key.items():
            assert key.startswith("safe") or runs < 2, (key, runs)


@contextlib.contextmanager
def _fast(machine: LedgerMachine) -> Iterator[None]:
    """Moves the clock by hand and leaves pauses out."""
    real = clock.monotonic
    with (
        mock.patch.object(
            clock, "monotonic", lambda: real() + machine.offset_s
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

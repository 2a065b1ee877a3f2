"""Pulls batch ranges from partition owners and runs their items."""

from __future__ import annotations

import random
import secrets
from collections.abc import Iterator

import anyio
import msgspec
from anyio.abc import TaskGroup

from plumvane import clock, events
from plumvane.chunks.cache import ChunkCache
from plumvane.chunks.client import ChunkClient
from plumvane.errors import PlumvaneError
from plumvane.instances.reporter import Reporter
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    Done,
    Message,
    OfferWork,
    OwnerView,
    PullWork,
    RangeGrant,
    Urgency,
    WorkOffer,
    WorkWaiting,
)
from plumvane.peers.server import Call
from plumvane.sidecar.items import ItemRunner
from plumvane.sidecar.range_reports import RENEW_INTERVAL_S, RangeReporter
from plumvane.sidecar.ranges import RangeRun
from plumvane.sidecar.rate import ItemRate
from plumvane.upstreams.admission_controller import AdmissionController
from plumvane.upstreams.engine import EngineClient

__all__ = ["BatchWorker"]

# Ranges that run at once, so that the end of one leaves no gap.
RANGES = 2
# The ranges of a sidecar together hold the work of this time.
RANGES_S = 60.0
FIRST_RANGE_ITEMS = 64
MAX_RANGE_ITEMS = 2048
# Items of one range that run or wait for admission.
QUEUED_ITEMS = 256
# Unsaved results at which no further item is started.
MAX_UNSAVED_BYTES = 8 * 1024 * 1024
IDLE_MIN_S = 0.1
# While all ranges run, owners are asked for more urgent work when one of them
# wakes the sidecar; this is for a lost message.
LOOK_S = 60.0
LOOK_MIN_S = 0.25
# A range that ends within this is not handed back.
SOON_S = 1.0
# An idle sidecar is woken by the owners; this is for a lost message.
IDLE_MAX_S = 60.0
# The same while the engine, the owners or the bulk instances are away.
BLOCKED_MAX_S = 2.0
ASK_TIMEOUT_S = 1.0
# An owner that did not answer is not asked for work for this.
SILENT_OWNER_S = 5.0


class BatchWorker:
    """Keeps a few ranges running at one engine."""

    def __init__(
        self,
        model: str,
        address: str,
        admission: AdmissionController,
        engine: EngineClient,
        links: LinkPool,
        chunks: ChunkClient,
        reporter: Reporter,
    ) -> None:
        """Creates the worker.

        Args:
            model: Model behind the engine.
            address: Peer address of this sidecar.
            admission: Admission controller of the engine.
            engine: Client of the engine.
            links: Connections to the owners.
            chunks: Client of the bulk instances.
            reporter: Knows the owners.
        """
        self._model = model
        self._address = address
        self._links = links
        self._chunks = chunks
        self._inputs = ChunkCache(chunks)
        self._reporter = reporter
        self._incarnation = secrets.token_hex(8)
        self._runs: set[RangeRun] = set()
        self._rate = ItemRate()
        self._items = ItemRunner(admission, engine, self._rate)
        self._reports = RangeReporter(
            address, self._incarnation, links, chunks, reporter
        )
        self._woken = anyio.Event()
        # Whether any owner answered last.
        self._asked = False
        self._views_by_owner: dict[str, OwnerView] = {}
        self._silent_until_by_owner: dict[str, float] = {}
        self._leaving = False
        self._looking = anyio.CancelScope()

    async def run(self) -> None:
        """Pulls and runs ranges until the sidecar leaves."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._look_loop)
            for _ in range(RANGES):
                group.start_soon(self._pull_loop, group)

    def leave(self) -> None:
        """Stops pulling and hands back what is not done."""
        self._leaving = True
        self._reports.is_leaving = True
        self._looking.cancel()
        # An idle loop may sleep for long.
        self._wake()
        for run in self._runs:
            run.scope.cancel()

    async def wake(self, call: Call, message: WorkWaiting) -> Message:
        """Takes in that work waits at an owner."""
        self._wake()
        return Done()

    def _wake(self) -> None:
        self._woken.set()
        self._woken = anyio.Event()

    async def _look_loop(self) -> None:
        """Hands a range back if much more urgent work waits."""
        with self._looking:
            woken = self._woken
            while True:
                await anyio.sleep(LOOK_MIN_S)
                with anyio.move_on_after(LOOK_S * random.uniform(0.5, 1.0)):
                    await woken.wait()
                woken = self._woken
                if self._least_urgent() is not None:
                    await self._look()

    async def _look(self) -> None:
        """Asks the owners and hands the least urgent range back for theirs."""
        offers_by_owner = await self._offers()
        due = min(
            (o.due for o in offers_by_owner.values() if o.due is not None),
            default=None,
        )
        run = self._least_urgent()
        if due is None or run is None:
            return
        if any(_goes_before(other, due) for other in self._active()):
            # Its loop comes to the urgent work next.
            return
        events.log(
            events.Event.RANGE_HANDED_BACK,
            job=run.grant.job_id,
            first_item=run.grant.first_item,
            items=run.remaining_items,
        )
        run.release()

    def _active(self) -> list[RangeRun]:
        return [run for run in self._runs if not run.is_released]

    def _least_urgent(self) -> RangeRun | None:
        """Returns a range to hand back, or None if a loop is soon free."""
        active = self._active()
        soon = max(1.0, self._rate.per_s * SOON_S)
        if (
            len(active) < RANGES
            or min(run.remaining_items for run in active) <= soon
        ):
            return None
        return max(
            active,
            key=lambda run: (run.grant.urgency, run.grant.job_deadline),
        )

    async def _pull_loop(self, group: TaskGroup) -> None:
        idle_s = IDLE_MIN_S
        while not self._leaving:
            woken = self._woken
            has_room = self._has_room()
            pulled = await self._pull() if has_room else None
            if pulled is not None:
                # The other loops find work too.
                self._wake()
                run = RangeRun(*pulled)
                group.start_soon(self._run_range, run)
                await run.slot_freed.wait()
                if run.has_run_items or run.is_released:
                    idle_s = IDLE_MIN_S
                    continue
            if not self._runs:
                self._rate.mark_idle()
            is_idle = has_room and pulled is None and self._asked
            idle_s = min(idle_s, IDLE_MAX_S if is_idle else BLOCKED_MAX_S)
            with anyio.move_on_after(idle_s * random.uniform(0.5, 1.0)):
                await woken.wait()
                idle_s = IDLE_MIN_S
                continue
            idle_s *= 2

    async def _pull(self) -> tuple[str, RangeGrant] | None:
        """Pulls from the owner whose work goes first."""
        offers_by_owner = await self._offers()
        self._asked = bool(offers_by_owner)
        ranked = sorted(
            (owner for owner, o in offers_by_owner.items() if o.waiting),
            key=lambda owner: (
                offers_by_owner[owner].urgency,
                offers_by_owner[owner].key,
                random.random(),
            ),
        )
        for owner in ranked:
            reply = await self._ask(
                owner,
                PullWork(
                    self._model,
                    self._address,
                    self._range_items(),
                    self._incarnation,
                    self._rate.per_s,
                    self._views_besides(owner),
                ),
            )
            if isinstance(reply, RangeGrant) and reply.items:
                return owner, reply
        return None

    async def _offers(self) -> dict[str, WorkOffer]:
        """Asks all owners what they would hand out."""
        offers_by_owner: dict[str, WorkOffer] = {}

        async def ask(owner: str) -> None:
            message = OfferWork(
                self._model,
                self._address,
                self._incarnation,
                self._rate.per_s,
                self._views_besides(owner),
            )
            reply = await self._ask(owner, message)
            if isinstance(reply, WorkOffer):
                offers_by_owner[owner] = reply

        async with anyio.create_task_group() as group:
            for owner in self._reporter.owners:
                group.start_soon(ask, owner)
        self._views_by_owner = {
            owner: offer.view for owner, offer in offers_by_owner.items()
        }
        return offers_by_owner

    def _views_besides(self, owner: str) -> tuple[OwnerView, ...]:
        """Returns what the other owners told last."""
        return tuple(
            view
            for other, view in self._views_by_owner.items()
            if other != owner
        )

    async def _ask(self, owner: str, message: Message) -> Message | None:
        """Asks an owner; one that does not answer is left out for a while."""
        if self._silent_until_by_owner.get(owner, 0.0) > clock.monotonic():
            return None
        try:
            return await self._links.call(
                owner, message, deadline=clock.monotonic() + ASK_TIMEOUT_S
            )
        except PlumvaneError:
            until = clock.monotonic() + SILENT_OWNER_S
            self._silent_until_by_owner[owner] = until
            return None

    def _range_items(self) -> int:
        items = int(self._rate.per_s * RANGES_S / RANGES) or FIRST_RANGE_ITEMS
        return min(items, MAX_RANGE_ITEMS)

    def _has_room(self) -> bool:
        """Returns whether more results may come before some are saved."""
        unsaved = sum(run.unsaved_bytes for run in self._runs)
        return unsaved < MAX_UNSAVED_BYTES and self._chunks.available()

    async def _run_range(self, run: RangeRun) -> None:
        """Runs a range and reports it."""
        self._runs.add(run)
        if self._leaving:
            run.scope.cancel()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._reports.renew_periodically, run)
                with run.scope:
                    await self._run_items(run)
                await self._reports.finish(run)
                group.cancel_scope.cancel()
        finally:
            self._runs.discard(run)
            run.slot_freed.set()

    async def _run_items(self, run: RangeRun) -> None:
        """Runs the items of a range."""
        try:
            lines = await self._load(run.grant)
        except PlumvaneError:
            return
        items = iter(lines.items())
        async with anyio.create_task_group() as group:
            for _ in range(min(QUEUED_ITEMS, len(lines))):
                group.start_soon(self._run_each, run, items)

    async def _run_each(
        self,
        run: RangeRun,
        items: Iterator[tuple[int, bytes]],
    ) -> None:
        for index, line in items:
            while not self._has_room():
                saved = self._reports.results_saved
                with anyio.move_on_after(RENEW_INTERVAL_S):
                    await saved.wait()
            if not await self._items.run(run, index, line):
                # The rest is handed back.
                return
            run.has_run_items = True
            run.remaining_items -= 1

    async def _load(self, grant: RangeGrant) -> dict[int, bytes]:
        """Returns the input lines of a range's open items by index."""
        wanted = set(range(grant.first_item, grant.first_item + grant.items))
        wanted.difference_update(grant.skip)
        lines: dict[int, bytes] = {}
        for chunk in grant.chunks:
            data = await self._inputs.fetch(chunk)
            for offset, line in enumerate(
                msgspec.msgpack.decode(data, type=list[bytes])
            ):
                if chunk.first_item + offset in wanted:
                    lines[chunk.first_item + offset] = line
        return lines


def _goes_before(run: RangeRun, due: float) -> bool:
    """Returns whether a range is as urgent as a job that is due then."""
    return run.grant.urgency is Urgency.URGENT and run.grant.job_deadline <= due

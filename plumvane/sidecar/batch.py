"""Worker that pulls batch ranges from partition owners and runs them."""

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

# Number of ranges that run concurrently, so that the engine does not idle when
# one of them ends.
CONCURRENT_RANGES = 2
# The concurrent ranges of a sidecar together take about this long.
RANGES_WORK_S = 60.0
INITIAL_RANGE_ITEMS = 64
MAX_RANGE_ITEMS = 2048
# Maximum number of items of one range that run or wait for admission.
MAX_ITEMS_IN_FLIGHT = 256
# Size of the unsaved results at which no further item is started.
MAX_UNSAVED_BYTES = 8 * 1024 * 1024
IDLE_MIN_S = 0.1
# While all ranges run, owners are asked for more urgent work when one of them
# wakes the sidecar, or after this time in case that message was lost.
URGENT_CHECK_INTERVAL_S = 60.0
MIN_URGENT_CHECK_INTERVAL_S = 0.25
# No range is released if one of them is expected to end within this time.
RELEASE_THRESHOLD_S = 1.0
# An idle sidecar is woken by the owners, or pulls after this time in case that
# message was lost.
IDLE_MAX_S = 60.0
# The same while the engine, the owners or the bulk instances are unavailable.
BLOCKED_MAX_S = 2.0
CALL_TIMEOUT_S = 1.0
# An owner whose call failed is not called again for this long.
OWNER_BACKOFF_S = 5.0


class BatchWorker:
    """Runs batch ranges concurrently on one engine."""

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
            model: Model that the engine serves.
            address: Peer address of this sidecar.
            admission: Admission controller of the engine.
            engine: Client of the engine.
            links: Connections to the owners.
            chunks: Client of the bulk instances.
            reporter: Source of the owners' addresses.
        """
        self._model = model
        self._address = address
        self._links = links
        self._chunks = chunks
        self._input_cache = ChunkCache(chunks)
        self._reporter = reporter
        self._incarnation = secrets.token_hex(8)
        self._runs: set[RangeRun] = set()
        self._rate = ItemRate()
        self._item_runner = ItemRunner(admission, engine, self._rate)
        self._range_reporter = RangeReporter(
            address, self._incarnation, links, chunks, reporter
        )
        self._wake_event = anyio.Event()
        # Whether any owner replied to the last request for offers.
        self._is_owner_reachable = False
        self._views_by_owner: dict[str, OwnerView] = {}
        self._backoff_until_by_owner: dict[str, float] = {}
        self._is_leaving = False
        self._urgent_check_scope = anyio.CancelScope()

    async def run(self) -> None:
        """Pulls and runs ranges until the sidecar leaves."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._urgent_check_loop)
            for _ in range(CONCURRENT_RANGES):
                group.start_soon(self._pull_loop, group)

    def leave(self) -> None:
        """Stops pulling and cancels the running ranges.

        Finished items are still reported; the owners grant the others again.
        """
        self._is_leaving = True
        self._range_reporter.is_leaving = True
        self._urgent_check_scope.cancel()
        # An idle pull loop may sleep for up to `IDLE_MAX_S`.
        self._wake()
        for run in self._runs:
            run.scope.cancel()

    async def wake(self, call: Call, message: WorkWaiting) -> Message:
        """Handles an owner's message that items are waiting."""
        self._wake()
        return Done()

    def _wake(self) -> None:
        self._wake_event.set()
        self._wake_event = anyio.Event()

    async def _urgent_check_loop(self) -> None:
        """Releases ranges when more urgent work is waiting at the owners."""
        with self._urgent_check_scope:
            wake_event = self._wake_event
            while True:
                await anyio.sleep(MIN_URGENT_CHECK_INTERVAL_S)
                with anyio.move_on_after(
                    URGENT_CHECK_INTERVAL_S * random.uniform(0.5, 1.0)
                ):
                    await wake_event.wait()
                wake_event = self._wake_event
                if self._range_to_release() is not None:
                    await self._release_for_urgent_work()

    async def _release_for_urgent_work(self) -> None:
        """Releases the least urgent range if an owner offers an urgent job."""
        offers_by_owner = await self._fetch_offers()
        due = min(
            (o.due for o in offers_by_owner.values() if o.due is not None),
            default=None,
        )
        run = self._range_to_release()
        if due is None or run is None:
            return
        if any(
            _is_at_least_as_urgent(other, due)
            for other in self._active_ranges()
        ):
            # The pull loop of that range pulls the urgent work next.
            return
        events.log(
            events.Event.RANGE_HANDED_BACK,
            job=run.grant.job_id,
            first_item=run.grant.first_item,
            items=run.remaining_items,
        )
        run.release()

    def _active_ranges(self) -> list[RangeRun]:
        return [run for run in self._runs if not run.is_released]

    def _range_to_release(self) -> RangeRun | None:
        """Returns the least urgent range.

        Returns:
            The range, or None if a pull loop is free or will soon be.
        """
        active = self._active_ranges()
        threshold_items = max(1.0, self._rate.per_s * RELEASE_THRESHOLD_S)
        if (
            len(active) < CONCURRENT_RANGES
            or min(run.remaining_items for run in active) <= threshold_items
        ):
            return None
        return max(
            active,
            key=lambda run: (run.grant.urgency, run.grant.job_deadline),
        )

    async def _pull_loop(self, group: TaskGroup) -> None:
        idle_s = IDLE_MIN_S
        while not self._is_leaving:
            wake_event = self._wake_event
            has_capacity = self._has_result_capacity()
            pulled = await self._pull() if has_capacity else None
            if pulled is not None:
                # The other pull loops may find work too.
                self._wake()
                run = RangeRun(*pulled)
                group.start_soon(self._run_range, run)
                await run.slot_freed.wait()
                if run.has_run_items or run.is_released:
                    idle_s = IDLE_MIN_S
                    continue
            if not self._runs:
                self._rate.mark_idle()
            is_idle = (
                has_capacity and pulled is None and self._is_owner_reachable
            )
            idle_s = min(idle_s, IDLE_MAX_S if is_idle else BLOCKED_MAX_S)
            with anyio.move_on_after(idle_s * random.uniform(0.5, 1.0)):
                await wake_event.wait()
                idle_s = IDLE_MIN_S
                continue
            idle_s *= 2

    async def _pull(self) -> tuple[str, RangeGrant] | None:
        """Pulls a range from the owner with the most urgent offer."""
        offers_by_owner = await self._fetch_offers()
        self._is_owner_reachable = bool(offers_by_owner)
        ranked = sorted(
            (owner for owner, o in offers_by_owner.items() if o.waiting),
            key=lambda owner: (
                offers_by_owner[owner].urgency,
                offers_by_owner[owner].key,
                random.random(),
            ),
        )
        for owner in ranked:
            reply = await self._call_owner(
                owner,
                PullWork(
                    self._model,
                    self._address,
                    self._range_items(),
                    self._incarnation,
                    self._rate.per_s,
                    self._views_except(owner),
                ),
            )
            if isinstance(reply, RangeGrant) and reply.items:
                return owner, reply
        return None

    async def _fetch_offers(self) -> dict[str, WorkOffer]:
        """Requests offers from all owners."""
        offers_by_owner: dict[str, WorkOffer] = {}

        async def fetch_offer(owner: str) -> None:
            message = OfferWork(
                self._model,
                self._address,
                self._incarnation,
                self._rate.per_s,
                self._views_except(owner),
            )
            reply = await self._call_owner(owner, message)
            if isinstance(reply, WorkOffer):
                offers_by_owner[owner] = reply

        async with anyio.create_task_group() as group:
            for owner in self._reporter.owners:
                group.start_soon(fetch_offer, owner)
        self._views_by_owner = {
            owner: offer.view for owner, offer in offers_by_owner.items()
        }
        return offers_by_owner

    def _views_except(self, owner: str) -> tuple[OwnerView, ...]:
        """Returns the latest views of the other owners."""
        return tuple(
            view
            for other, view in self._views_by_owner.items()
            if other != owner
        )

    async def _call_owner(self, owner: str, message: Message) -> Message | None:
        """Calls an owner.

        Returns:
            The reply, or None if the call failed or the owner is skipped after
            a recent failure.
        """
        if self._backoff_until_by_owner.get(owner, 0.0) > clock.monotonic():
            return None
        try:
            return await self._links.call(
                owner, message, deadline=clock.monotonic() + CALL_TIMEOUT_S
            )
        except PlumvaneError:
            until = clock.monotonic() + OWNER_BACKOFF_S
            self._backoff_until_by_owner[owner] = until
            return None

    def _range_items(self) -> int:
        items = (
            int(self._rate.per_s * RANGES_WORK_S / CONCURRENT_RANGES)
            or INITIAL_RANGE_ITEMS
        )
        return min(items, MAX_RANGE_ITEMS)

    def _has_result_capacity(self) -> bool:
        """Returns whether further results can be buffered and stored."""
        unsaved = sum(run.unsaved_bytes for run in self._runs)
        return unsaved < MAX_UNSAVED_BYTES and self._chunks.available()

    async def _run_range(self, run: RangeRun) -> None:
        """Runs a range and reports its results."""
        self._runs.add(run)
        if self._is_leaving:
            run.scope.cancel()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._range_reporter.renew_periodically, run)
                with run.scope:
                    await self._run_items(run)
                await self._range_reporter.finish(run)
                group.cancel_scope.cancel()
        finally:
            self._runs.discard(run)
            run.slot_freed.set()

    async def _run_items(self, run: RangeRun) -> None:
        """Runs the items of a range with bounded concurrency."""
        try:
            lines = await self._fetch_lines(run.grant)
        except PlumvaneError:
            return
        items = iter(lines.items())
        async with anyio.create_task_group() as group:
            for _ in range(min(MAX_ITEMS_IN_FLIGHT, len(lines))):
                group.start_soon(self._run_item_loop, run, items)

    async def _run_item_loop(
        self,
        run: RangeRun,
        items: Iterator[tuple[int, bytes]],
    ) -> None:
        for index, line in items:
            while not self._has_result_capacity():
                saved = self._range_reporter.results_saved
                with anyio.move_on_after(RENEW_INTERVAL_S):
                    await saved.wait()
            if not await self._item_runner.run(run, index, line):
                # The owner grants the remaining items again.
                return
            run.has_run_items = True
            run.remaining_items -= 1

    async def _fetch_lines(self, grant: RangeGrant) -> dict[int, bytes]:
        """Returns the input lines of a range's items by index.

        Items that the owner marked to be skipped are left out.
        """
        open_indexes = set(
            range(grant.first_item, grant.first_item + grant.items)
        )
        open_indexes.difference_update(grant.skip)
        lines: dict[int, bytes] = {}
        for chunk in grant.chunks:
            data = await self._input_cache.fetch(chunk)
            for offset, line in enumerate(
                msgspec.msgpack.decode(data, type=list[bytes])
            ):
                if chunk.first_item + offset in open_indexes:
                    lines[chunk.first_item + offset] = line
        return lines


def _is_at_least_as_urgent(run: RangeRun, due: float) -> bool:
    """Returns whether a range is at least as urgent as an urgent job.

    Args:
        run: The range.
        due: Deadline of the job, seconds since the Unix epoch.
    """
    return run.grant.urgency is Urgency.URGENT and run.grant.job_deadline <= due

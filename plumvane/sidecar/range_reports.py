"""Renewal of claims, and storing and reporting of results of ranges."""

from __future__ import annotations

import anyio
import msgspec

from plumvane import clock
from plumvane.chunks.client import ChunkClient
from plumvane.errors import (
    DeadlineExceededError,
    LinkLostError,
    NotFoundError,
    NotOwnerError,
    PlumvaneError,
)
from plumvane.instances.reporter import Reporter
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import ChunkRef, RangeDone
from plumvane.sidecar.ranges import RangeRun

__all__ = ["RENEW_INTERVAL_S", "RangeReporter"]

RENEW_INTERVAL_S = 4.0
# While a range runs, its results are saved at this interval, or as soon as they
# reach this size.
SAVE_INTERVAL_S = 20.0
SAVE_THRESHOLD_BYTES = 512 * 1024
CALL_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.5
# A range is abandoned if no owner accepts its final report for this long.
FINISH_TIMEOUT_S = 600.0
# The same once the sidecar is leaving.
LEAVE_TIMEOUT_S = 10.0


class RangeReporter:
    """Renews claims, stores results as chunks and reports them to the owners.

    Attributes:
        results_saved: Set, and replaced by a new event, each time an owner
            accepts a report.
        is_leaving: Whether the sidecar is leaving; final reports are then
            abandoned after a shorter time.
    """

    def __init__(
        self,
        address: str,
        incarnation: str,
        links: LinkPool,
        chunks: ChunkClient,
        reporter: Reporter,
    ) -> None:
        """Creates the reporter.

        Args:
            address: Peer address of this sidecar.
            incarnation: Identifier of this process.
            links: Connections to the owners.
            chunks: Client of the bulk instances.
            reporter: Source of the owners' addresses.
        """
        self.results_saved = anyio.Event()
        self.is_leaving = False
        self._address = address
        self._incarnation = incarnation
        self._links = links
        self._chunks = chunks
        self._reporter = reporter

    async def renew_periodically(self, run: RangeRun) -> None:
        """Renews the claim and saves results until cancelled.

        The items are cancelled if the owner no longer wants the range.

        Args:
            run: The range.
        """
        while True:
            await anyio.sleep(RENEW_INTERVAL_S)
            try:
                if self._is_save_due(run):
                    await self._save_results(run, finished=False)
                else:
                    await self._report(run)
            except NotFoundError:
                run.scope.cancel()
            except PlumvaneError:
                continue

    def _is_save_due(self, run: RangeRun) -> bool:
        if not run.has_unsaved or run.save_lock.locked():
            return False
        unsaved_for_s = clock.monotonic() - run.last_saved_at
        return (
            unsaved_for_s >= SAVE_INTERVAL_S
            or run.unsaved_bytes >= SAVE_THRESHOLD_BYTES
        )

    async def finish(self, run: RangeRun) -> None:
        """Saves the remaining results and reports the end of the range.

        Retries until an owner accepts the report or the time-out passes.

        Args:
            run: The range; none of its items may be running.
        """
        give_up_at = clock.monotonic() + FINISH_TIMEOUT_S
        while clock.monotonic() < give_up_at:
            try:
                if run.stored_results is not None:
                    await self._save_results(run, finished=False)
                await self._save_results(run, finished=True)
                return
            except NotFoundError:
                if run.stored_results is None and not run.has_unsaved:
                    return
            except PlumvaneError:
                if self.is_leaving:
                    give_up_at = min(
                        give_up_at, clock.monotonic() + LEAVE_TIMEOUT_S
                    )
                await anyio.sleep(RETRY_INTERVAL_S)

    async def _save_results(self, run: RangeRun, *, finished: bool) -> None:
        """Stores unsaved results and reports them.

        Raises:
            NotFoundError: The owner accepted the results, but wants no more.
            PlumvaneError: It is unknown whether the owner accepted the results.
        """
        async with run.save_lock:
            if run.stored_results is None and run.has_unsaved:
                run.stored_results = await self._store_results(
                    run.unsaved_lines()
                )
            try:
                await self._report(
                    run, results=run.stored_results, finished=finished
                )
            except NotFoundError:
                run.mark_saved()
                raise
            run.mark_saved()
            self.results_saved.set()
            self.results_saved = anyio.Event()

    async def _store_results(self, lines: list[tuple[int, bytes]]) -> ChunkRef:
        data = msgspec.msgpack.encode(lines)
        digest, addresses = await self._chunks.store(data)
        indexes = tuple(index for index, _ in lines)
        span = indexes[-1] - indexes[0] + 1
        return ChunkRef(
            digest,
            indexes[0],
            span,
            addresses,
            () if span == len(indexes) else indexes,
        )

    async def _report(
        self,
        run: RangeRun,
        *,
        results: ChunkRef | None = None,
        finished: bool = False,
    ) -> None:
        """Reports to the partition's owner.

        The ownership may have moved, so the other owners are tried if the last
        known one does not accept the report.

        Args:
            run: The range.
            results: Chunk of results, if any.
            finished: Whether the range has ended; otherwise the report renews
                its claim.

        Raises:
            NotFoundError: No owner wants the range any more.
            PlumvaneError: No owner accepted the report.
        """
        grant = run.grant
        message = RangeDone(
            grant.partition,
            grant.job_id,
            grant.claim_id,
            results,
            tuple(run.failed_items) if finished else (),
            finished,
            grant.first_item,
            grant.items,
            self._address,
            self._incarnation,
            0 if finished else run.count_unsaved_after(results),
        )
        last_error: PlumvaneError = NotOwnerError(
            "No partition owner is known."
        )
        denial: NotFoundError | None = None
        is_listed_owner_silent = False
        listed = tuple(self._reporter.owners)
        for owner in dict.fromkeys([run.owner, *listed]):
            try:
                await self._links.call(
                    owner, message, deadline=clock.monotonic() + CALL_TIMEOUT_S
                )
            except NotFoundError as error:
                # A former owner denies a job that was accepted after it.
                denial = error
                continue
            except NotOwnerError as error:
                last_error = error
                continue
            except (LinkLostError, DeadlineExceededError) as error:
                last_error = error
                is_listed_owner_silent |= owner in listed
                continue
            run.owner = owner
            return
        if denial is not None and not is_listed_owner_silent:
            raise denial
        raise last_error

"""Saves results of batch ranges and reports them to the owner."""

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

__all__ = ["RENEW_S", "RangeReporter"]

RENEW_S = 4.0
# Results are reported at least this often while a range runs.
SAVE_S = 20.0
SAVE_BYTES = 512 * 1024
CALL_TIMEOUT_S = 5.0
RETRY_S = 0.5
# A range whose results nobody takes is dropped after this.
GIVE_UP_S = 600.0
LEAVE_S = 10.0


class RangeReporter:
    """Keeps claims, stores results and reports both.

    Attributes:
        saved: Set, and replaced, each time results are taken.
        is_leaving: Whether the sidecar leaves; reports then give up soon.
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
            incarnation: This process.
            links: Connections to the owners.
            chunks: Client of the bulk instances.
            reporter: Knows the owners.
        """
        self.saved = anyio.Event()
        self.is_leaving = False
        self._address = address
        self._incarnation = incarnation
        self._links = links
        self._chunks = chunks
        self._reporter = reporter

    async def keep(self, run: RangeRun) -> None:
        """Keeps the claim and saves results while the range runs.

        Args:
            run: The range.
        """
        while True:
            await anyio.sleep(RENEW_S)
            try:
                if self._is_save_due(run):
                    await self._save(run, finished=False)
                else:
                    await self._call_owner(run)
            except NotFoundError:
                run.scope.cancel()
            except PlumvaneError:
                continue

    def _is_save_due(self, run: RangeRun) -> bool:
        if not run.has_unsaved or run.save_lock.locked():
            return False
        waited_s = clock.monotonic() - run.last_saved_at
        return waited_s >= SAVE_S or run.unsaved_bytes >= SAVE_BYTES

    async def finish(self, run: RangeRun) -> None:
        """Stores the results and reports the range until it is taken.

        Args:
            run: The range, none of whose items runs any more.
        """
        give_up = clock.monotonic() + GIVE_UP_S
        while clock.monotonic() < give_up:
            try:
                if run.stored_results is not None:
                    await self._save(run, finished=False)
                await self._save(run, finished=True)
                return
            except NotFoundError:
                if run.stored_results is None and not run.has_unsaved:
                    return
            except PlumvaneError:
                if self.is_leaving:
                    give_up = min(give_up, clock.monotonic() + LEAVE_S)
                await anyio.sleep(RETRY_S)

    async def _save(self, run: RangeRun, *, finished: bool) -> None:
        """Stores unsaved results and reports them.

        Raises:
            NotFoundError: The results are taken, but no others are wanted.
            PlumvaneError: They are not known to be taken.
        """
        async with run.save_lock:
            if run.stored_results is None and run.has_unsaved:
                run.stored_results = await self._store(run.unsaved_lines())
            try:
                await self._call_owner(
                    run, results=run.stored_results, finished=finished
                )
            except NotFoundError:
                run.mark_saved()
                raise
            run.mark_saved()
            self.saved.set()
            self.saved = anyio.Event()

    async def _store(self, lines: list[tuple[int, bytes]]) -> ChunkRef:
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

    async def _call_owner(
        self,
        run: RangeRun,
        *,
        results: ChunkRef | None = None,
        finished: bool = False,
    ) -> None:
        """Reports to the partition's owner, wherever it is now.

        Args:
            run: The range.
            results: Chunk with results, if any.
            finished: Whether the range ends; otherwise its claim is renewed.

        Raises:
            NotFoundError: The range is no longer wanted.
            PlumvaneError: No owner took the report.
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
        failure: PlumvaneError = NotOwnerError("No owner is known.")
        for owner in dict.fromkeys([run.owner, *self._reporter.owners]):
            try:
                await self._links.call(
                    owner, message, deadline=clock.monotonic() + CALL_TIMEOUT_S
                )
            except (
                NotOwnerError,
                LinkLostError,
                DeadlineExceededError,
            ) as error:
                failure = error
                continue
            run.owner = owner
            return
        raise failure

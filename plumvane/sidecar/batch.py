"""Pulls batch ranges from partition owners and runs their items."""

from __future__ import annotations

import json
import random
import secrets
from collections.abc import AsyncIterator, Iterator
from typing import Any

import anyio
import msgspec

from plumvane import clock
from plumvane.chunks.cache import ChunkCache
from plumvane.chunks.client import ChunkClient
from plumvane.errors import (
    BadRequestError,
    DeadlineExceededError,
    LinkLostError,
    NotFoundError,
    NotOwnerError,
    PlumvaneError,
    UpstreamLostError,
)
from plumvane.instances.reporter import Reporter
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    ChunkRef,
    Done,
    FailedItem,
    FailureKind,
    Message,
    OfferWork,
    PullWork,
    RangeDone,
    RangeGrant,
    WorkOffer,
    WorkWaiting,
)
from plumvane.peers.server import Call
from plumvane.sidecar.dispatcher import completion_outcome
from plumvane.sidecar.ranges import RangeRun
from plumvane.sidecar.rate import ItemRate
from plumvane.upstreams.engine import EngineClient, Token
from plumvane.upstreams.gate import Gate, Work

__all__ = ["BatchWorker"]

# Ranges that run at once, so that the end of one leaves no gap.
RANGES = 2
# The ranges of a sidecar together hold the work of this time.
RANGES_S = 60.0
FIRST_RANGE_ITEMS = 64
MAX_RANGE_ITEMS = 2048
# Items of one range that run or queue at the gate.
QUEUED_ITEMS = 256
RENEW_S = 4.0
# Results are reported at least this often while a range runs.
SAVE_S = 20.0
SAVE_BYTES = 512 * 1024
# Unsaved results at which no further item is started.
MAX_UNSAVED_BYTES = 8 * 1024 * 1024
CALL_TIMEOUT_S = 5.0
RETRY_S = 0.5
IDLE_MIN_S = 0.1
# Marks batch work for the engine's own records.
BATCH_METADATA = {"kind": "batch"}
# An idle sidecar is woken by the owners; this is for a lost message.
IDLE_MAX_S = 60.0
# The same while the engine, the owners or the bulk instances are away.
BLOCKED_MAX_S = 2.0
ASK_TIMEOUT_S = 1.0
# An owner that did not answer is not asked for work for this.
SILENT_OWNER_S = 5.0
# A range whose results nobody takes is dropped after this.
GIVE_UP_S = 600.0
LEAVE_S = 10.0
# An item waits at the gate for this after its job's deadline.
LATE_ITEM_S = 30 * 86_400.0
# An engine that gives no token for this is taken as lost.
SILENT_ENGINE_S = 60.0


class BatchWorker:
    """Keeps a few ranges running at one engine."""

    def __init__(
        self,
        model: str,
        address: str,
        gate: Gate,
        engine: EngineClient,
        links: LinkPool,
        chunks: ChunkClient,
        reporter: Reporter,
    ) -> None:
        """Creates the worker.

        Args:
            model: Model behind the engine.
            address: Peer address of this sidecar.
            gate: Gate before the engine.
            engine: Client of the engine.
            links: Connections to the owners.
            chunks: Client of the bulk instances.
            reporter: Knows the owners.
        """
        self._model = model
        self._address = address
        self._gate = gate
        self._engine = engine
        self._links = links
        self._chunks = chunks
        self._inputs = ChunkCache(chunks)
        self._reporter = reporter
        self._incarnation = secrets.token_hex(8)
        self._runs: set[RangeRun] = set()
        self._rate = ItemRate()
        self._saved = anyio.Event()
        self._woken = anyio.Event()
        # Whether any owner answered last.
        self._asked = False
        self._silent_until_by_owner: dict[str, float] = {}
        self._leaving = False

    async def run(self) -> None:
        """Pulls and runs ranges until the sidecar leaves."""
        async with anyio.create_task_group() as group:
            for _ in range(RANGES):
                group.start_soon(self._pull_loop)

    def leave(self) -> None:
        """Stops pulling and hands back what is not done."""
        self._leaving = True
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

    async def _pull_loop(self) -> None:
        idle_s = IDLE_MIN_S
        while not self._leaving:
            woken = self._woken
            has_room = self._has_room()
            pulled = await self._pull() if has_room else None
            if pulled is not None:
                # The other loops find work too.
                self._wake()
                if await self._run_range(*pulled):
                    idle_s = IDLE_MIN_S
                    continue
            if not self._runs:
                self._rate.rest()
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
            others = tuple(
                offer.view
                for other, offer in offers_by_owner.items()
                if other != owner
            )
            reply = await self._ask(
                owner,
                PullWork(
                    self._model,
                    self._address,
                    self._range_items(),
                    self._incarnation,
                    self._rate.per_s,
                    others,
                ),
            )
            if isinstance(reply, RangeGrant) and reply.items:
                return owner, reply
        return None

    async def _offers(self) -> dict[str, WorkOffer]:
        """Asks all owners what they would hand out."""
        message = OfferWork(
            self._model, self._address, self._incarnation, self._rate.per_s
        )
        offers_by_owner: dict[str, WorkOffer] = {}

        async def ask(owner: str) -> None:
            reply = await self._ask(owner, message)
            if isinstance(reply, WorkOffer):
                offers_by_owner[owner] = reply

        async with anyio.create_task_group() as group:
            for owner in self._reporter.owners:
                group.start_soon(ask, owner)
        return offers_by_owner

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

    async def _run_range(self, owner: str, grant: RangeGrant) -> bool:
        """Runs a range and reports it; returns whether an item was tried."""
        run = RangeRun(owner, grant)
        self._runs.add(run)
        if self._leaving:
            run.scope.cancel()
        tried = False
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._keep, run)
                with run.scope:
                    tried = await self._run_items(run)
                await self._finish(run)
                group.cancel_scope.cancel()
        finally:
            self._runs.discard(run)
        return tried

    async def _run_items(self, run: RangeRun) -> bool:
        """Runs the items of a range; returns whether any was tried."""
        try:
            lines = await self._load(run.grant)
        except PlumvaneError:
            return False
        tried: set[int] = set()
        items = iter(lines.items())
        async with anyio.create_task_group() as group:
            for _ in range(min(QUEUED_ITEMS, len(lines))):
                group.start_soon(self._run_each, run, items, tried)
        return bool(tried)

    async def _run_each(
        self,
        run: RangeRun,
        items: Iterator[tuple[int, bytes]],
        tried: set[int],
    ) -> None:
        for index, line in items:
            while not self._has_room():
                saved = self._saved
                with anyio.move_on_after(RENEW_S):
                    await saved.wait()
            if not await self._run_item(run, index, line):
                # The engine is away; the rest is handed back.
                return
            tried.add(index)

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

    async def _keep(self, run: RangeRun) -> None:
        """Keeps the claim and saves results while the range runs."""
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
        if not run.has_unsaved or run.saving.locked():
            return False
        waited_s = clock.monotonic() - run.saved
        return waited_s >= SAVE_S or run.unsaved_bytes >= SAVE_BYTES

    async def _finish(self, run: RangeRun) -> None:
        """Stores the results and reports the range until it is taken."""
        give_up = clock.monotonic() + GIVE_UP_S
        while clock.monotonic() < give_up:
            try:
                if run.stored is not None:
                    await self._save(run, finished=False)
                await self._save(run, finished=True)
                return
            except NotFoundError:
                if run.stored is None and not run.has_unsaved:
                    return
            except PlumvaneError:
                if self._leaving:
                    give_up = min(give_up, clock.monotonic() + LEAVE_S)
                await anyio.sleep(RETRY_S)

    async def _save(self, run: RangeRun, *, finished: bool) -> None:
        """Stores unsaved results and reports them.

        Raises:
            NotFoundError: The results are taken, but no others are wanted.
            PlumvaneError: They are not known to be taken.
        """
        async with run.saving:
            if run.stored is None and run.has_unsaved:
                run.stored = await self._store(run.unsaved())
            try:
                await self._call_owner(
                    run, results=run.stored, finished=finished
                )
            except NotFoundError:
                run.taken()
                raise
            run.taken()
            self._saved.set()
            self._saved = anyio.Event()

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
            tuple(run.failed) if finished else (),
            finished,
            grant.first_item,
            grant.items,
            self._address,
            self._incarnation,
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

    async def _run_item(self, run: RangeRun, index: int, line: bytes) -> bool:
        """Runs an item; returns False if the engine could not be asked."""
        item = json.loads(line)
        request_id = f"{run.grant.claim_id}:{index}"
        try:
            body = await self._complete(
                request_id, item["body"], run.grant.job_deadline
            )
        except PlumvaneError as error:
            if isinstance(error, UpstreamLostError) and error.not_run:
                return False
            run.failed.append(FailedItem(index, str(error), _kind(error)))
            return True
        answer = {
            "id": request_id,
            "custom_id": item["custom_id"],
            "response": {"status_code": 200, "body": body},
            "error": None,
        }
        run.add(index, json.dumps(answer).encode())
        self._rate.add(clock.monotonic())
        return True

    async def _complete(
        self, request_id: str, body: dict[str, Any], deadline: float
    ) -> Any:
        """Runs one item; a preempted one resumes from its tokens."""
        text: list[str] = []
        tokens = 0
        attempt = 0
        while True:
            # Keeps the order of the jobs' deadlines at the gate.
            work = Work(online=False, deadline=deadline + LATE_ITEM_S)
            await self._gate.enter(work)
            stream_id = f"{request_id}:{attempt}"
            attempt += 1
            finish_reason = None
            ended = False
            stream = self._engine.stream(
                stream_id,
                {**body, "metadata": BATCH_METADATA},
                resume_text="".join(text),
                resume_tokens=tokens,
            )
            try:
                with work.scope:
                    async for token in _watched(stream):
                        text.append(token.text)
                        tokens += token.tokens
                        finish_reason = token.finish_reason
                    ended = True
            finally:
                self._gate.leave(work)
                if not ended:
                    await self._engine.cancel(stream_id)
            ended = ended or finish_reason is not None
            if ended and finish_reason is None:
                raise UpstreamLostError("The engine ended the stream early.")
            if ended:
                outcome = completion_outcome(
                    request_id,
                    body,
                    "".join(text),
                    tokens,
                    finish_reason or "stop",
                )
                return json.loads(outcome.body)


async def _watched(stream: AsyncIterator[Token]) -> AsyncIterator[Token]:
    """Yields the pieces of a stream.

    Raises:
        UpstreamLostError: The stream went silent.
    """
    while True:
        try:
            with anyio.fail_after(SILENT_ENGINE_S):
                token = await anext(stream)
        except StopAsyncIteration:
            return
        except TimeoutError:
            raise UpstreamLostError("The engine went silent.") from None
        yield token


def _kind(error: PlumvaneError) -> FailureKind:
    if isinstance(error, BadRequestError):
        return FailureKind.REFUSED
    if isinstance(error, UpstreamLostError):
        return FailureKind.LOST
    return FailureKind.ERROR

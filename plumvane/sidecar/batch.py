"""Pulls batch ranges from partition owners and runs their items."""

from __future__ import annotations

import json
import random
from typing import Any

import anyio
import msgspec

from plumvane import clock
from plumvane.chunks.client import ChunkClient
from plumvane.errors import BulkUnavailableError, NotFoundError, PlumvaneError
from plumvane.instances.reporter import Reporter
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    ChunkRef,
    FailedItem,
    PullWork,
    RangeDone,
    RangeGrant,
)
from plumvane.sidecar.dispatcher import completion_outcome
from plumvane.upstreams.engine import EngineClient
from plumvane.upstreams.gate import Gate, Work

__all__ = ["BatchWorker"]

# Ranges that run at once, so that the end of one leaves no gap.
RANGES = 2
ITEMS_PER_RANGE = 64
RENEW_S = 4.0
CALL_TIMEOUT_S = 5.0
RETRY_S = 0.5
IDLE_MIN_S = 0.1
IDLE_MAX_S = 2.0
# Marks batch work for the engine's own records.
BATCH_METADATA = {"kind": "batch"}


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
        self._reporter = reporter
        self.leaving = False
        self._running = 0

    async def run(self) -> None:
        """Pulls and runs ranges until the sidecar leaves."""
        async with anyio.create_task_group() as group:
            for _ in range(RANGES):
                group.start_soon(self._pull_loop)

    async def _pull_loop(self) -> None:
        idle_s = IDLE_MIN_S
        while not self.leaving:
            pulled = await self._pull()
            if pulled is None:
                await anyio.sleep(idle_s * random.uniform(0.5, 1.0))
                idle_s = min(IDLE_MAX_S, idle_s * 2)
                continue
            idle_s = IDLE_MIN_S
            owner, grant = pulled
            await self._run_range(owner, grant)

    async def _pull(self) -> tuple[str, RangeGrant] | None:
        owners = list(self._reporter.owners)
        random.shuffle(owners)
        for owner in owners:
            try:
                reply = await self._links.call(
                    owner,
                    PullWork(self._model, self._address, ITEMS_PER_RANGE),
                    deadline=clock.monotonic() + CALL_TIMEOUT_S,
                )
            except PlumvaneError:
                continue
            if isinstance(reply, RangeGrant) and reply.items:
                return owner, reply
        return None

    async def _run_range(self, owner: str, grant: RangeGrant) -> None:
        run = _RangeRun(owner, grant)
        try:
            lines = await self._load(grant)
        except (BulkUnavailableError, NotFoundError):
            await self._report(run, finished=True)
            return
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._renew, run, scope)
                async with anyio.create_task_group() as items:
                    for index, line in lines.items():
                        items.start_soon(self._run_item, run, index, line)
                group.cancel_scope.cancel()
        if not scope.cancelled_caught:
            await self._report(run, finished=True)

    async def _load(self, grant: RangeGrant) -> dict[int, bytes]:
        """Returns the input lines of a range's open items by index."""
        wanted = set(range(grant.first_item, grant.first_item + grant.items))
        wanted.difference_update(grant.skip)
        lines: dict[int, bytes] = {}
        for chunk in grant.chunks:
            data = await self._chunks.fetch(chunk.digest, chunk.bulk_addresses)
            for offset, line in enumerate(
                msgspec.msgpack.decode(data, type=list[bytes])
            ):
                if chunk.first_item + offset in wanted:
                    lines[chunk.first_item + offset] = line
        return lines

    async def _renew(self, run: _RangeRun, scope: anyio.CancelScope) -> None:
        while True:
            await anyio.sleep(RENEW_S)
            try:
                await self._call_owner(run, finished=False)
            except NotFoundError:
                scope.cancel()
            except PlumvaneError:
                continue

    async def _report(self, run: _RangeRun, *, finished: bool) -> None:
        """Stores the results and reports the range until it is taken."""
        give_up = clock.monotonic() + 60.0
        while clock.monotonic() < give_up:
            try:
                if run.lines_by_index and run.results is None:
                    run.results = await self._store_results(run)
                await self._call_owner(run, finished=finished)
                return
            except NotFoundError:
                return
            except PlumvaneError:
                await anyio.sleep(RETRY_S)

    async def _store_results(self, run: _RangeRun) -> ChunkRef:
        indexes = sorted(run.lines_by_index)
        data = msgspec.msgpack.encode(
            [(index, run.lines_by_index[index]) for index in indexes]
        )
        digest, addresses = await self._chunks.store(data)
        span = indexes[-1] - indexes[0] + 1
        return ChunkRef(
            digest,
            indexes[0],
            span,
            addresses,
            () if span == len(indexes) else tuple(indexes),
        )

    async def _call_owner(self, run: _RangeRun, *, finished: bool) -> None:
        grant = run.grant
        await self._links.call(
            run.owner,
            RangeDone(
                grant.partition,
                grant.job_id,
                grant.claim_id,
                run.results if finished else None,
                tuple(run.failed) if finished else (),
                finished,
            ),
            deadline=clock.monotonic() + CALL_TIMEOUT_S,
        )

    async def _run_item(self, run: _RangeRun, index: int, line: bytes) -> None:
        item = json.loads(line)
        request_id = f"{run.grant.claim_id}:{index}"
        try:
            body = await self._complete(
                request_id, item["body"], run.grant.job_deadline
            )
        except PlumvaneError as error:
            run.failed.append(FailedItem(index, str(error)))
            return
        answer = {
            "id": request_id,
            "custom_id": item["custom_id"],
            "response": {"status_code": 200, "body": body},
            "error": None,
        }
        run.lines_by_index[index] = json.dumps(answer).encode()

    async def _complete(
        self, request_id: str, body: dict[str, Any], deadline: float
    ) -> Any:
        """Runs one item; a preempted one resumes from its tokens."""
        text: list[str] = []
        tokens = 0
        attempt = 0
        while True:
            work = Work(online=False, deadline=max(deadline, clock.wall() + 60))
            await self._gate.enter(work)
            stream_id = f"{request_id}:{attempt}"
            attempt += 1
            finish_reason = None
            ended = False
            try:
                with work.scope:
                    async for token in self._engine.stream(
                        stream_id,
                        {**body, "metadata": BATCH_METADATA},
                        resume_text="".join(text),
                        resume_tokens=tokens,
                    ):
                        text.append(token.text)
                        tokens += token.tokens
                        finish_reason = token.finish_reason
                    ended = True
            finally:
                self._gate.leave(work)
                if not ended:
                    await self._engine.cancel(stream_id)
            ended = ended or finish_reason is not None
            if ended:
                outcome = completion_outcome(
                    request_id,
                    body,
                    "".join(text),
                    tokens,
                    finish_reason or "stop",
                )
                return json.loads(outcome.body)


class _RangeRun:
    """A range that runs here.

    Attributes:
        owner: Peer address of the owner that granted it.
        grant: The grant.
        lines_by_index: Result lines so far.
        failed: Items that failed in this attempt.
        results: The stored results.
    """

    def __init__(self, owner: str, grant: RangeGrant) -> None:
        self.owner = owner
        self.grant = grant
        self.lines_by_index: dict[int, bytes] = {}
        self.failed: list[FailedItem] = []
        self.results: ChunkRef | None = None

"""Unit tests of the request ledger."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any
from unittest import mock

import anyio

from plumvane import clock
from plumvane.errors import (
    NotFoundError,
    PlumvaneError,
    StoreUnavailableError,
)
from plumvane.partitions.log import PartitionLog
from plumvane.peers.messages import (
    Claim,
    ClaimGranted,
    ClaimResult,
    Complete,
    EntryClaims,
    Outcome,
    Settled,
)
from plumvane.requests import ledger as ledger_module
from plumvane.requests.claims import ClaimedRun
from plumvane.requests.ledger import OwnerState, RequestLedger, RunControl
from tests.faulty_store import FaultyStore

OUTER_DEADLINE_S = 30.0


class _NoSidecar(RunControl):
    async def settle(self, run: ClaimedRun) -> Settled:
        return Settled("unknown")

    async def stop(self, run: ClaimedRun) -> None:
        pass

    async def acknowledge(self, run: ClaimedRun) -> None:
        pass


@contextlib.asynccontextmanager
async def _open_ledger(
    store: FaultyStore, *, epoch: int = 1, retention_s: float = 1e9
) -> AsyncIterator[RequestLedger]:
    log = PartitionLog(store, 0, epoch)
    records = await log.recover()
    state = OwnerState(lambda: True, lambda: False, lambda: retention_s)
    async with anyio.create_task_group() as group:
        group.start_soon(log.run)
        ledger = RequestLedger(0, log, state, _NoSidecar(), group.start_soon)
        for record in records:
            ledger.apply(record)
        yield ledger
        group.cancel_scope.cancel()


def _claim(key: str, request_id: str, **fields: Any) -> Claim:
    fields = {"idempotent": True, "sidecar_address": "s", **fields}
    return Claim(
        partition=0,
        team="team",
        key=key,
        request_id=request_id,
        digest=b"",
        deadline=clock.wall() + 60.0,
        entry_address="e",
        **fields,
    )


def _complete(key: str, request_id: str) -> Complete:
    body = request_id.encode()
    return Complete(0, "team", key, request_id, b"", Outcome(200, body))


def _run(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await test()

    anyio.run(bounded)


async def _error_of(call: Awaitable[Any]) -> PlumvaneError | None:
    try:
        await call
    except PlumvaneError as error:
        return error
    return None


def test_non_idempotent_claim_is_granted_only_after_it_is_stored() -> None:
    async def test() -> None:
        store = FaultyStore()
        async with _open_ledger(store) as ledger:
            store.down = True
            claim = _claim("k", "r1", idempotent=False)
            for _ in range(2):
                error = await _error_of(ledger.claim(claim))
                assert isinstance(error, StoreUnavailableError)
                assert error.not_run
            store.down = False
            # The rejected claim was released, so another run can claim the key.
            granted = await ledger.claim(_claim("k", "r2", idempotent=False))
            assert isinstance(granted, ClaimGranted)

    _run(test)


def test_new_owner_grants_no_key_that_an_entry_may_be_running() -> None:
    async def test() -> None:
        async with _open_ledger(FaultyStore(), epoch=2) as ledger:
            with anyio.move_on_after(0.1) as waiting:
                await ledger.claim(_claim("k", "r2"))
            assert waiting.cancelled_caught
            granted = await ledger.claim(_claim("auto-1", "r3", new_key=True))
            assert isinstance(granted, ClaimGranted)
            ledger.recover_claims(EntryClaims((_claim("k", "r1"),)))
            ledger.finish_recovery()
            async with anyio.create_task_group() as group:
                group.start_soon(ledger.complete, _complete("k", "r1"))
                result = await ledger.claim(_claim("k", "r2"))
            assert isinstance(result, ClaimResult)
            assert result.request_id == "r1"

    _run(test)


def test_result_held_by_an_entry_is_kept_by_a_new_owner() -> None:
    async def test() -> None:
        store = FaultyStore()
        async with _open_ledger(store, epoch=2) as ledger:
            ledger.recover_claims(EntryClaims((), (_complete("k", "r1"),)))
            ledger.finish_recovery()
            result = await ledger.claim(_claim("k", "r2"))
            assert isinstance(result, ClaimResult)
            assert (result.request_id, result.durable) == ("r1", True)

    _run(test)


def test_result_is_removed_after_its_retention() -> None:
    async def test() -> None:
        async with _open_ledger(FaultyStore(), retention_s=0.0) as ledger:
            ledger.finish_recovery()
            await ledger.complete(_complete("k", "r1"))
            assert (await ledger.lookup("team", "k")).durable
            async with anyio.create_task_group() as group:
                group.start_soon(ledger.run)
                while len(ledger):
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
            error = await _error_of(ledger.lookup("team", "k"))
            assert isinstance(error, NotFoundError)

    _run(test)


def test_orphaned_non_idempotent_claim_is_settled_and_not_granted_again() -> (
    None
):
    async def test() -> None:
        async with _open_ledger(FaultyStore()) as ledger:
            await ledger.claim(_claim("k", "r1", idempotent=False))
            with mock.patch.object(ledger_module, "CLAIM_TIMEOUT_S", -1.0):
                ledger.reap()
            result = await ledger.claim(_claim("k", "r2", idempotent=False))
            assert isinstance(result, ClaimResult), result
            assert result.request_id == "r1"
            assert result.outcome.error is not None
            assert result.outcome.error.code == "outcome_unknown"

    _run(test)


def test_release_of_one_run_keeps_the_claim_of_another() -> None:
    async def test() -> None:
        async with _open_ledger(FaultyStore()) as ledger:
            await ledger.claim(_claim("k", "r2", idempotent=False))
            await ledger.release("team", "k", "r1")
            async with anyio.create_task_group() as group:
                group.start_soon(ledger.complete, _complete("k", "r2"))
                result = await ledger.claim(_claim("k", "r3", idempotent=False))
            assert isinstance(result, ClaimResult), result
            assert result.request_id == "r2"

    _run(test)


def test_cancelled_key_is_not_granted_again() -> None:
    async def test() -> None:
        async with _open_ledger(FaultyStore()) as ledger:
            ledger.finish_recovery()
            await ledger.claim(_claim("k", "r1", idempotent=False))
            cancelled = await ledger.cancel("team", "k")
            again = await ledger.claim(_claim("k", "r2", idempotent=False))
            assert again == cancelled
            late = await ledger.complete(_complete("k", "r1"))
            assert late.outcome == cancelled.outcome

    _run(test)


def test_result_is_durable_only_after_it_is_stored() -> None:
    async def test() -> None:
        store = FaultyStore()
        async with _open_ledger(store) as ledger:
            ledger.finish_recovery()
            store.down = True
            committed = await ledger.complete(_complete("k", "r1"))
            assert not committed.durable
            store.down = False
            while not (await ledger.lookup("team", "k")).durable:
                await anyio.sleep(0.01)

    _run(test)

"""Tests of partition ownership: lost answers, lease expiry and races."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any
from unittest import mock

import anyio
import msgspec

from plumvane import clock
from plumvane.errors import LinkLostError, NotOwnerError
from plumvane.partitions import moves
from plumvane.partitions import ownership as ownership_module
from plumvane.partitions.ownership import Ownership
from plumvane.partitions.records import RequestCompleted
from plumvane.partitions.view import Owner, owner_key
from plumvane.peers.messages import Done, Outcome, TakePartition
from plumvane.store.base import Store
from plumvane.store.memory import MemoryStore
from tests.faulty_store import Fault, FaultyStore

OUTER_DEADLINE_S = 40.0
POLL_S = 0.02


class FakeFleet:
    """Instances in one process that call each other without a network."""

    def __init__(self, store: Store, partitions: int) -> None:
        self.store = store
        self.partitions = partitions
        self.by_name: dict[str, Ownership] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.keys: dict[str, dict[int, list[str]]] = {}
        self.group: Any = None

    async def call(
        self, address: str, message: TakePartition, *, deadline: float
    ) -> Done:
        """Passes a call to an instance; replaces `LinkPool.call`."""
        if address not in self.by_name:
            raise LinkLostError(f"No instance runs at {address}.")
        instance = self.by_name[address]
        await instance.take_from_owner(message.partition, message.epoch)
        return Done()

    def peers(self) -> dict[str, str]:
        return {name: name for name in self.by_name}

    def add(self, name: str) -> Ownership:
        """Starts an instance."""
        keys_by_partition = self.keys.setdefault(name, {})
        instance = Ownership(
            self.store,
            name,
            name,
            peers=self.peers,
            on_taken=lambda n, records, _: keys_by_partition.update(
                {n: [getattr(r, "key", "") for r in records]}
            ),
            on_lost=lambda n: keys_by_partition.pop(n, None),
            links=self,  # type: ignore[arg-type]
            partitions=self.partitions,
        )
        self.by_name[name] = instance
        self.scopes[name] = anyio.CancelScope()
        self.group.start_soon(self._run, instance, self.scopes[name])
        return instance

    def kill(self, name: str) -> None:
        """Stops an instance without releasing its partitions."""
        self.by_name.pop(name)
        self.scopes.pop(name).cancel()

    def owners(self) -> dict[int, str]:
        """Returns the name of the instance that serves each partition."""
        return {
            number: name
            for name, instance in self.by_name.items()
            for number in instance.owned
        }

    async def _run(self, instance: Ownership, scope: anyio.CancelScope) -> None:
        with scope:
            await instance.run()


@contextlib.asynccontextmanager
async def running_instances(
    store: Store, partitions: int = 1
) -> AsyncIterator[FakeFleet]:
    found = FakeFleet(store, partitions)
    async with anyio.create_task_group() as group:
        found.group = group
        yield found
        group.cancel_scope.cancel()


def run_with_timeout(test: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await test()

    anyio.run(run)


async def wait_until(condition: Callable[[], Any]) -> None:
    while not condition():
        await anyio.sleep(POLL_S)


async def stored_owner(store: Store, number: int = 0) -> Owner:
    record = await store.get(owner_key(number))
    assert record is not None
    return msgspec.json.decode(record.value, type=Owner)


def test_takeover_with_a_lost_answer_is_resumed() -> None:
    async def check() -> None:
        store = FaultyStore()
        async with running_instances(store) as fleet:
            # The first write registers the lease; the second writes the owner.
            store.faults.extend([Fault.NONE, Fault.LOSE_RESPONSE])
            store_get = store.get
            failed: list[str] = []

            async def get(key: str) -> Any:
                if key == owner_key(0) and not failed:
                    failed.append(key)
                    store.down = True
                return await store_get(key)

            store.get = get  # type: ignore[method-assign]
            fleet.add("a")
            await wait_until(lambda: failed)
            store.down = False
            lease = await store.get("owners/instance/a")
            await wait_until(lambda: fleet.owners() == {0: "a"})
            owner = await stored_owner(store)
            assert owner.epoch == fleet.by_name["a"].owned[0].epoch
            # The takeover completed before the first lease expired.
            assert lease is not None
            assert owner.lease_id == lease.value.decode()

    run_with_timeout(check)


def test_release_does_not_overwrite_the_next_owner() -> None:
    async def check() -> None:
        store = MemoryStore()
        async with running_instances(store) as fleet:
            instance = fleet.add("a")
            await wait_until(lambda: 0 in instance.owned)
            partition = instance.owned[0]
            lease = await store.grant_lease(30.0)
            await store.put(
                "owners/instance/b",
                lease.lease_id.encode(),
                expected_revision=None,
                lease_id=lease.lease_id,
            )
            next_owner = Owner(partition.epoch + 1, "b", "b", lease.lease_id)
            await store.put(
                owner_key(0),
                msgspec.json.encode(next_owner),
                expected_revision=None,
            )
            await wait_until(lambda: 0 not in instance.owned)
            await instance._release(partition)
            assert await stored_owner(store) == next_owner

    run_with_timeout(check)


def test_new_lease_is_invalid_until_it_is_registered() -> None:
    async def check() -> None:
        store = MemoryStore()
        async with running_instances(store) as fleet:
            instance = fleet.add("a")
            await wait_until(
                lambda: 0 in instance.owned and instance.has_valid_lease()
            )
            former_lease_id = (await stored_owner(store)).lease_id
            store_put = store.put
            valid_at_put: list[bool] = []

            async def put(key: str, value: bytes, **options: Any) -> int:
                if key.startswith("owners/"):
                    valid_at_put.append(instance.has_valid_lease())
                return await store_put(key, value, **options)

            store.put = put  # type: ignore[method-assign]
            await store.revoke_lease(former_lease_id)
            await wait_until(lambda: len(valid_at_put) >= 2)
            await wait_until(instance.has_valid_lease)
            assert not valid_at_put[0]
            assert (await stored_owner(store)).lease_id != former_lease_id

    run_with_timeout(check)


def test_concurrent_takeovers_leave_one_owner() -> None:
    async def check() -> None:
        store = MemoryStore()
        async with running_instances(store, partitions=4) as fleet:
            for name in ("a", "b", "c"):
                fleet.add(name)
            await wait_until(lambda: len(fleet.owners()) == 4)
            fleet.kill(fleet.owners()[0])
            await wait_until(lambda: len(fleet.owners()) == 4)
            served = [n for m in fleet.by_name.values() for n in m.owned]
            assert sorted(served) == [0, 1, 2, 3]
            for number, name in fleet.owners().items():
                owner = await stored_owner(store, number)
                assert owner.name == name
                assert owner.epoch == fleet.by_name[name].owned[number].epoch

    run_with_timeout(check)


def test_takeover_after_the_store_lost_its_history() -> None:
    async def check() -> None:
        store = MemoryStore()
        async with running_instances(store) as fleet:
            fleet.add("a")
            await wait_until(lambda: fleet.owners() == {0: "a"})
            fleet.add("b")
            await wait_until(lambda: fleet.by_name["b"].owner(0))
            lease_id = (await stored_owner(store)).lease_id
            fleet.kill("a")
            # No task runs between these calls, so no watch sees the deletion.
            await store.revoke_lease(lease_id)
            store.forget_history()
            await wait_until(lambda: fleet.owners() == {0: "b"})
            assert fleet.by_name["b"].lapsed_owners() == {"a"}

    run_with_timeout(check)


def count_lease_rounds(
    rounds_by_name: dict[str, int], name: str, instance: Ownership
) -> None:
    """Counts the lease maintenance rounds of an instance."""
    maintain = instance._maintain_lease

    async def counted() -> None:
        await maintain()
        rounds_by_name[name] += 1

    instance._maintain_lease = counted  # type: ignore[method-assign]


def test_instance_without_partitions_holds_no_lease() -> None:
    async def check() -> None:
        store = MemoryStore()
        async with running_instances(store, partitions=2) as fleet:
            for number in range(12):
                fleet.add(f"m{number:02}")
            await wait_until(lambda: len(fleet.owners()) == 2)
            rounds_by_name = {name: 0 for name in fleet.by_name}
            for name, instance in fleet.by_name.items():
                count_lease_rounds(rounds_by_name, name, instance)
            # Every instance has maintained its lease several times.
            await wait_until(lambda: min(rounds_by_name.values()) > 2)
            owners = set(fleet.owners().values())
            holders = {
                n for n, m in fleet.by_name.items() if m.has_valid_lease()
            }
            assert holders == owners
            listed = await store.list("owners/instance/")
            assert len(listed.records) == len(owners)

    run_with_timeout(check)


def test_owner_keeps_its_partitions_during_a_store_outage() -> None:
    async def check() -> None:
        store = FaultyStore()
        async with running_instances(store) as fleet:
            instance = fleet.add("a")
            await wait_until(lambda: fleet.owners() == {0: "a"})
            # The other instance is preferred and would take over at once.
            fleet.add("b")
            await wait_until(lambda: fleet.by_name["b"].owner(0))
            before = await stored_owner(store)
            store.down = True
            await wait_until(lambda: not instance.has_valid_lease())
            end = clock.monotonic() + 1.0
            await wait_until(lambda: clock.monotonic() > end)
            store.down = False
            await wait_until(instance.has_valid_lease)
            after = await stored_owner(store)
            assert (after.name, after.epoch) == ("a", before.epoch)
            assert after.lease_id != before.lease_id

    def prefer_b(*words: Any) -> list[str]:
        return ["b", "a"]

    with (
        mock.patch.object(ownership_module, "successors", prefer_b),
        mock.patch.object(moves, "assign", lambda number, names: {0: "a"}),
    ):
        run_with_timeout(check)


@contextlib.contextmanager
def short_rebalance_interval() -> Any:
    with (
        mock.patch.object(moves, "STABLE_S", 0.2),
        mock.patch.object(moves, "REBALANCE_S", 0.2),
    ):
        yield


def completed(key: str) -> RequestCompleted:
    return RequestCompleted(
        "team", key, f"run-{key}", b"", Outcome(200, b""), clock.wall()
    )


def test_new_instance_gets_its_share_once() -> None:
    async def check() -> None:
        store = MemoryStore()
        async with running_instances(store, partitions=4) as fleet:
            instance = fleet.add("a")
            await wait_until(lambda: len(fleet.owners()) == 4)
            for number in range(4):
                await instance.owned[number].log.commit(completed(f"k{number}"))
            fleet.add("b")
            await wait_until(
                lambda: sorted(fleet.owners().values()) == ["a", "a", "b", "b"]
            )
            epochs = [(await stored_owner(store, n)).epoch for n in range(4)]
            start = clock.monotonic()
            await wait_until(lambda: clock.monotonic() - start > 2.0)
            again = [(await stored_owner(store, n)).epoch for n in range(4)]
            assert again == epochs and sorted(epochs) == [1, 1, 2, 2]
            for number in fleet.by_name["b"].owned:
                assert fleet.keys["b"][number] == [f"k{number}"]

    with short_rebalance_interval():
        run_with_timeout(check)


def test_leaving_instance_moves_its_partitions() -> None:
    async def check() -> None:
        store = MemoryStore()
        async with running_instances(store, partitions=4) as fleet:
            instance = fleet.add("a")
            await wait_until(lambda: len(fleet.owners()) == 4)
            fleet.add("b")
            await instance.leave()
            assert not instance.owned
            assert len(fleet.by_name["b"].owned) == 4
            for number in range(4):
                assert (await stored_owner(store, number)).epoch == 2

    run_with_timeout(check)


def test_commits_during_a_move_are_kept_or_refused() -> None:
    async def check() -> None:
        store = MemoryStore()
        async with running_instances(store) as fleet:
            instance = fleet.add("a")
            await wait_until(lambda: fleet.owners() == {0: "a"})
            acknowledged: list[str] = []

            async def commit_until_refused() -> None:
                log = instance.owned[0].log
                for number in range(10_000):
                    try:
                        await log.commit(completed(f"k{number}"))
                    except NotOwnerError:
                        return
                    acknowledged.append(f"k{number}")

            async with anyio.create_task_group() as group:
                group.start_soon(commit_until_refused)
                await wait_until(lambda: len(acknowledged) > 5)
                fleet.add("b")
                await wait_until(lambda: fleet.owners() == {0: "b"})
            assert fleet.keys["b"][0][: len(acknowledged)] == acknowledged

    with (
        mock.patch.object(moves, "assign", lambda number, names: {0: "b"}),
        short_rebalance_interval(),
    ):
        run_with_timeout(check)

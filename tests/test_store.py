"""Contract tests of the in-memory store and both HTTP clients."""

from __future__ import annotations

import contextlib
import functools
import pathlib
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import anyio

from plumvane import clock
from plumvane.errors import (
    BodyTooLargeError,
    ConflictError,
    HistoryLostError,
    NotFoundError,
    StoreUnavailableError,
)
from plumvane.platform.store import PlatformStore
from plumvane.store.base import (
    ABSENT,
    MAX_VALUE_BYTES,
    Store,
    TransactionalStore,
    Write,
    list_pages,
)
from plumvane.store.http import HttpStore
from plumvane.store.memory import MemoryStore
from standins.launcher import Fleet

OUTER_DEADLINE_S = 30.0

Check = Callable[[Store], Awaitable[None]]


@contextlib.contextmanager
def running_store_standins() -> Iterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        with Fleet(pathlib.Path(folder)) as fleet:
            fleet.start_standin("store", "store")
            fleet.start_standin("platform-store", "platform_store")
            fleet.wait_started()
            yield fleet


@contextlib.asynccontextmanager
async def http_store(fleet: Fleet) -> AsyncIterator[HttpStore]:
    store = HttpStore(fleet["store"].url)
    try:
        yield store
    finally:
        await store.aclose()


@contextlib.asynccontextmanager
async def platform_store(fleet: Fleet) -> AsyncIterator[PlatformStore]:
    store = PlatformStore(fleet["platform-store"].url)
    try:
        yield store
    finally:
        await store.aclose()


def for_all_stores(check: Check) -> Callable[[], None]:
    """Creates a test that runs a check on the in-memory and HTTP stores."""

    async def check_memory() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await check(MemoryStore())

    async def check_http(fleet: Fleet) -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with http_store(fleet) as store:
                await check(store)

    async def check_platform(fleet: Fleet) -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with platform_store(fleet) as store:
                await check(store)

    @functools.wraps(check)
    def test() -> None:
        anyio.run(check_memory)
        with running_store_standins() as fleet:
            anyio.run(check_http, fleet)
            anyio.run(check_platform, fleet)

    del test.__wrapped__  # type: ignore[attr-defined]
    return test


@contextlib.contextmanager
def raises(kind: type[Exception]) -> Iterator[None]:
    try:
        yield
    except kind:
        return
    raise AssertionError(f"{kind.__name__} was not raised")


@for_all_stores
async def test_compare_and_swap(store: Store) -> None:
    first = await store.put("a/1", b"one", expected_revision=ABSENT)
    with raises(ConflictError):
        await store.put("a/1", b"two", expected_revision=ABSENT)
    second = await store.put("a/1", b"two", expected_revision=first)
    assert second > first
    with raises(ConflictError):
        await store.put("a/1", b"three", expected_revision=first)
    with raises(ConflictError):
        await store.delete("a/1", expected_revision=first)
    record = await store.get("a/1")
    assert record is not None
    assert (record.value, record.revision) == (b"two", second)


@for_all_stores
async def test_deleted_key_is_absent(store: Store) -> None:
    first = await store.put("a/1", b"one", expected_revision=ABSENT)
    await store.delete("a/1", expected_revision=first)
    assert await store.get("a/1") is None
    assert (await store.list("a/")).records == ()
    with raises(ConflictError):
        await store.put("a/1", b"late", expected_revision=first)
    assert await store.put("a/1", b"new", expected_revision=ABSENT) > first


@for_all_stores
async def test_list_by_pages(store: Store) -> None:
    keys = [f"p/{number:02}" for number in range(7)]
    for key in reversed(keys):
        await store.put(key, key.encode(), expected_revision=ABSENT)
    await store.put("q/00", b"other", expected_revision=ABSENT)
    pages = [page async for page in list_pages(store, "p/", 3)]
    assert [len(page) for page in pages] == [3, 3, 1]
    assert [record.key for page in pages for record in page] == keys


@for_all_stores
async def test_value_over_the_limit_is_refused(store: Store) -> None:
    value = b"x" * MAX_VALUE_BYTES
    await store.put("a", value, expected_revision=None)
    with raises(BodyTooLargeError):
        await store.put("a", value + b"x", expected_revision=None)


@for_all_stores
async def test_expired_lease_deletes_its_keys(store: Store) -> None:
    lease = await store.grant_lease(0.5)
    revision = await store.put(
        "l/1", b"held", expected_revision=ABSENT, lease_id=lease.lease_id
    )
    deadline = clock.monotonic() + OUTER_DEADLINE_S
    result = await store.watch("l/", revision, deadline=deadline)
    assert [(r.key, r.deleted) for r in result.records] == [("l/1", True)]
    with raises(NotFoundError):
        await store.renew_lease(lease.lease_id)
    with raises(NotFoundError):
        await store.put(
            "l/1", b"late", expected_revision=None, lease_id=lease.lease_id
        )


@for_all_stores
async def test_key_written_without_its_lease_outlives_it(store: Store) -> None:
    lease = await store.grant_lease(30.0)
    await store.put(
        "l/1", b"held", expected_revision=ABSENT, lease_id=lease.lease_id
    )
    await store.put("l/1", b"free", expected_revision=None)
    await store.revoke_lease(lease.lease_id)
    record = await store.get("l/1")
    assert record is not None and record.value == b"free"


@for_all_stores
async def test_lease_deadline_counts_from_before_the_call(
    store: Store,
) -> None:
    before = clock.monotonic()
    lease = await store.grant_lease(5.0)
    assert lease.deadline <= clock.monotonic() + 5.0
    assert lease.deadline >= before + 4.0
    renewed = await store.renew_lease(lease.lease_id)
    assert renewed.lease_id == lease.lease_id
    assert renewed.deadline <= clock.monotonic() + 5.0


@for_all_stores
async def test_watch_returns_the_latest_change_of_each_key(
    store: Store,
) -> None:
    start = (await store.list("w/")).revision
    await store.put("w/1", b"one", expected_revision=None)
    await store.put("w/2", b"two", expected_revision=None)
    await store.put("w/1", b"three", expected_revision=None)
    await store.put("x/1", b"other", expected_revision=None)
    deadline = clock.monotonic() + OUTER_DEADLINE_S
    result = await store.watch("w/", start, deadline=deadline)
    changes = [(record.key, record.value) for record in result.records]
    assert changes == [("w/2", b"two"), ("w/1", b"three")]
    empty = await store.watch(
        "w/", result.revision, deadline=clock.monotonic() + 0.05
    )
    assert empty.records == ()


@for_all_stores
async def test_watch_wakes_on_a_change(store: Store) -> None:
    start = (await store.list("w/")).revision
    values: list[bytes] = []

    async def watch() -> None:
        deadline = clock.monotonic() + OUTER_DEADLINE_S
        result = await store.watch("w/", start, deadline=deadline)
        values.extend(record.value for record in result.records)

    async with anyio.create_task_group() as group:
        group.start_soon(watch)
        await store.put("w/1", b"one", expected_revision=None)
    assert values == [b"one"]


@for_all_stores
async def test_watch_from_a_future_revision_is_refused(store: Store) -> None:
    revision = await store.put("w/1", b"one", expected_revision=None)
    with raises(HistoryLostError):
        await store.watch(
            "w/", revision + 1000, deadline=clock.monotonic() + 1.0
        )


def test_watch_from_lost_history_is_refused() -> None:
    async def check(fleet: Fleet) -> None:
        async with http_store(fleet) as store:
            first = await store.put("w/1", b"one", expected_revision=None)
            await store.put("w/2", b"two", expected_revision=None)
            await store.delete("w/2", expected_revision=None)
            fleet.set_store_faults(forget_history=True)
            with raises(HistoryLostError):
                await store.watch("w/", first, deadline=clock.monotonic() + 1.0)
            listed = await store.list("w/")
            assert [record.key for record in listed.records] == ["w/1"]

    with running_store_standins() as fleet:
        anyio.run(check, fleet)


def test_lost_response_and_outage_raise_unavailable() -> None:
    async def check(fleet: Fleet) -> None:
        async with http_store(fleet) as store:
            fleet.set_store_faults(lose_answers=1)
            with raises(StoreUnavailableError):
                await store.put("a", b"one", expected_revision=ABSENT)
            record = await store.get("a")
            assert record is not None and record.value == b"one"
            fleet.set_store_faults(down=True)
            for call in (
                store.get("a"),
                store.list("a"),
                store.put("a", b"", expected_revision=None),
                store.delete("a", expected_revision=None),
                store.watch("a", 0, deadline=clock.monotonic() + 1.0),
                store.grant_lease(1.0),
                store.renew_lease("lease-1"),
                store.revoke_lease("lease-1"),
            ):
                with raises(StoreUnavailableError):
                    await call

    with running_store_standins() as fleet:
        anyio.run(check, fleet)


def test_transaction_is_all_or_nothing() -> None:
    async def check(store: TransactionalStore) -> None:
        first = await store.transact(
            [Write("t/1", b"one"), Write("t/2", b"two")],
            expected_by_key={"t/1": ABSENT},
        )
        records = (await store.list("t/")).records
        assert [record.revision for record in records] == [first, first]
        with raises(ConflictError):
            await store.transact(
                [Write("t/2", b"late"), Write("t/3", b"three")],
                expected_by_key={"t/1": ABSENT, "t/2": first},
            )
        assert await store.get("t/3") is None
        await store.transact(
            [Write("t/1", None), Write("t/3", b"three")],
            expected_by_key={"t/2": first},
        )
        keys = [r.key for r in (await store.list("t/")).records]
        assert keys == ["t/2", "t/3"]

    async def check_platform(fleet: Fleet) -> None:
        async with platform_store(fleet) as store:
            await check(store)
            too_many = [Write(f"m/{n}", b"") for n in range(33)]
            with raises(BodyTooLargeError):
                await store.transact(too_many, expected_by_key={})

    anyio.run(check, MemoryStore())
    with running_store_standins() as fleet:
        anyio.run(check_platform, fleet)


def test_platform_store_lists_in_pages_and_reports_not_run() -> None:
    async def check(fleet: Fleet) -> None:
        async with platform_store(fleet) as store:
            for number in range(120):
                await store.put(f"p/{number:03}", b"x", expected_revision=None)
            assert len((await store.list("p/")).records) == 120
            url = fleet["platform-store"].url
            for refusal in (429, 503):
                fleet.call("POST", f"{url}/faults", {"refusal": refusal})
                try:
                    await store.put("p/new", b"x", expected_revision=None)
                    raise AssertionError("a refused write succeeded")
                except StoreUnavailableError as error:
                    assert error.not_run
            fleet.call("POST", f"{url}/faults", {})
            fleet["platform-store"].signal(19)
            try:
                await store.put("p/new", b"x", expected_revision=None)
                raise AssertionError("a stopped store responded")
            except StoreUnavailableError as error:
                assert not error.not_run
            fleet["platform-store"].signal(18)

    with running_store_standins() as fleet:
        anyio.run(check, fleet)

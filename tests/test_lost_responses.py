"""The store's response to a watch is lost while it answers other calls."""

from __future__ import annotations

import json

import anyio
import anyio.abc

from plumvane import clock
from plumvane.batch.jobstore import LIVE_PREFIX, JobStore
from plumvane.errors import StoreUnavailableError
from plumvane.platform.store import WATCH_MARGIN_S, PlatformStore
from plumvane.store.base import WatchResult
from plumvane.store.memory import MemoryStore
from tests.raw_servers import serving
from tests.workers import (
    JOB_ROUTE,
    POLL_S,
    FakeEngine,
    items,
    make_worker,
    run_with_timeout,
    wait_until_listed,
)

WATCH_S = 0.5
# Time after which a worker's watch waits, in seconds.
SETTLING_S = 1.0


def respond(rows: list[dict[str, object]], revision: int) -> bytes:
    body = json.dumps({"events": rows, "store-revision": revision}).encode()
    return (
        b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
        b"content-length: %d\r\n\r\n%b" % (len(body), body)
    )


# Guards against changes that are unknown until a watch times out.
def test_watch_whose_response_is_lost_ends_soon_after_its_wait() -> None:
    async def steps() -> None:
        paths: list[bytes] = []
        streams: set[anyio.abc.SocketStream] = set()

        async def answer(stream: anyio.abc.SocketStream, head: bytes) -> None:
            paths.append(head.split(b" ")[1])
            streams.add(stream)
            if len(paths) > 1:
                row: dict[str, object] = {
                    "key": "p/k",
                    "revision": 7,
                    "value": "",
                }
                await stream.send(respond([row], 9))

        async with serving(answer) as port:
            store = PlatformStore(f"http://127.0.0.1:{port}")
            with anyio.fail_after(WATCH_S + 1.0):
                result = await store.watch(
                    "p/", 5, deadline=clock.monotonic() + WATCH_S
                )
        assert [record.revision for record in result.records] == [7]
        assert result.revision == 9
        assert paths[1].endswith(b"wait-ms=0"), paths
        assert len(streams) == 2, "the other connection may be silent"

    run_with_timeout(steps)


# Guards against a watch that hides that the store answers nothing.
def test_watch_fails_if_the_store_answers_nothing() -> None:
    async def steps() -> None:
        async def answer(stream: anyio.abc.SocketStream, head: bytes) -> None:
            del stream, head
            await anyio.sleep_forever()

        async with serving(answer) as port:
            store = PlatformStore(f"http://127.0.0.1:{port}")
            try:
                await store.watch("p/", 5, deadline=clock.monotonic() + WATCH_S)
                raise AssertionError("there is a result")
            except StoreUnavailableError as error:
                assert not error.not_run

    run_with_timeout(steps)


class LosingStore(MemoryStore):
    """Store that loses the response to one watch; the watch times out.

    Attributes:
        losing_prefix: Prefix of the watch whose next changes are lost, or
            empty.
    """

    losing_prefix = ""

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        result = await super().watch(prefix, after_revision, deadline=deadline)
        if result.records and prefix == self.losing_prefix:
            self.losing_prefix = ""
            await anyio.sleep(clock.remaining(deadline) + WATCH_MARGIN_S)
            raise StoreUnavailableError("lost")
        return result


# Guards against LOST: a worker without jobs learned of a new one 26 s late.
def test_job_is_run_though_the_response_that_reports_it_is_lost() -> None:
    async def steps() -> None:
        store, engine = LosingStore(), FakeEngine()
        async with anyio.create_task_group() as group:
            worker = make_worker("w1", store, engine)
            group.start_soon(worker.run)
            while not worker._is_registered():
                await anyio.sleep(POLL_S)
            await anyio.sleep(SETTLING_S)
            store.losing_prefix = LIVE_PREFIX
            await JobStore(store).accept("j", "h", items(2), JOB_ROUTE)
            await wait_until_listed(store, "j", 2)
            group.cancel_scope.cancel()
        assert not store.losing_prefix, "the response was not lost"

    run_with_timeout(steps)

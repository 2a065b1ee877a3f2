"""Responses whose status is no HTTP status, such as 000."""

from __future__ import annotations

import random

import anyio
import anyio.abc

from plumvane import clock
from plumvane.errors import OutcomeUnknownError, StoreUnavailableError
from plumvane.platform.store import PlatformStore
from plumvane.relay.reports import ReportReader
from plumvane.serving.routes import Route, RouteKind
from plumvane.serving.upstreams import UpstreamTable
from plumvane.store.base import Write
from tests.gateways import (
    FakeCaller,
    RawGateway,
    make_listed_upstream,
    make_route,
)
from tests.raw_servers import HOST, Answer, header, serving
from tests.workers import run_item_at, run_with_timeout

STATUSES = (b"000", b"001", b"099", b"0", b"20", b"2000", b"-20", b"")
EVENT = b"id: 1\ndata: t\n\n"
CALL = make_route(RouteKind.CALL)
STREAM = make_route(RouteKind.STREAM, is_resumable=True)
CALL_ONCE = make_route(RouteKind.CALL, is_idempotent=False)
STREAM_ONCE = make_route(RouteKind.STREAM, is_idempotent=False)


def answer_with(status: bytes, body: bytes = EVENT) -> Answer:
    """Returns a server that answers each request with a status and a body."""

    async def answer(stream: anyio.abc.SocketStream, head: bytes) -> None:
        request_id = header(head, "x-request-id").encode()
        await stream.send(
            b"HTTP/1.1 %b Status\r\nx-request-id: %b\r\n"
            b"x-response-signature: s\r\ncontent-length: %d\r\n\r\n%b"
            % (status, request_id, len(body), body)
        )

    return answer


# Guards against MIXED: a caller gets a response without a valid status.
def test_response_with_an_invalid_status_is_not_relayed() -> None:
    async def steps(status: bytes, route: Route) -> None:
        async with (
            serving(answer_with(status)) as port,
            serving(answer_with(b"200")) as other,
        ):
            caller = FakeCaller()
            error = await RawGateway([port, other]).forward(route, caller)
            if route.is_idempotent:
                assert (error, caller.status) == (None, 200), status
                assert caller.body == EVENT
            else:
                assert isinstance(error, OutcomeUnknownError), (status, error)
                assert not error.not_run
                assert caller.status == 0

    async def all_steps() -> None:
        for status in STATUSES:
            for route in (CALL, STREAM, CALL_ONCE, STREAM_ONCE):
                await steps(status, route)

    run_with_timeout(all_steps)


# Guards against MIXED: an item is listed with the text of such a response.
def test_item_with_an_invalid_status_has_no_outcome() -> None:
    async def steps() -> None:
        for status in STATUSES:
            async with serving(answer_with(status)) as port:
                owned, item, view = await run_item_at(port)
            assert (item.texts, item.is_done) == ([], False), status
            assert not owned.outcomes
            upstream = view.upstreams.upstreams_by_id["u0"]
            assert upstream.record_success(), (status, "it was not ejected")

    run_with_timeout(steps)


def test_load_report_with_an_invalid_status_is_a_missed_one() -> None:
    report = b'{"queue-depth":2,"active-requests":3}'

    async def steps(status: bytes) -> None:
        async with serving(answer_with(status, report)) as port:
            table = UpstreamTable("a", random.Random(1))
            table.put(make_listed_upstream("u0", port=port))
            upstream = table.upstreams_by_id["u0"]
            reader = ReportReader()
            for _ in range(3):
                await reader.read([upstream])
            assert upstream.is_silent(), status
            assert upstream.load is None

    async def all_steps() -> None:
        for status in STATUSES:
            await steps(status)

    run_with_timeout(all_steps)


# Guards against LOST: a write counts as done though nothing says so.
def test_store_call_with_an_invalid_status_has_an_unknown_outcome() -> None:
    body = b'{"revision":7,"store-revision":7,"events":[],"items":[]}'

    async def steps(status: bytes) -> None:
        async with serving(answer_with(status, body)) as port:
            store = PlatformStore(f"http://{HOST}:{port}")
            for call in (
                store.transact([Write("k", b"v")], expected_by_key={}),
                store.watch("k/", 1, deadline=clock.monotonic()),
                store.get("k"),
            ):
                try:
                    await call
                except StoreUnavailableError as error:
                    assert not error.not_run, status
                else:
                    raise AssertionError(f"status {status!r} was accepted")
            await store.aclose()

    async def all_steps() -> None:
        for status in STATUSES:
            await steps(status)

    run_with_timeout(all_steps)

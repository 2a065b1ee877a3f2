"""Tests that a stream that is slow, but sound, is neither cut nor moved.

Upstreams under load make tokens slower than usual. The users' workloads allow
pauses of 0.2 and 0.4 s and give a stream up after 2 s without data.
"""

from __future__ import annotations

import anyio
import anyio.abc

from plumvane.serving.routes import RouteKind
from tests.gateways import FakeCaller, RawGateway, make_route
from tests.raw_servers import header, serving
from tests.test_endless_responses import (
    EVENTS,
    SIGNED,
    answer_whole,
    run_together,
)

# Pause between two events, in seconds: twice what the workloads allow.
PAUSE_S = 0.8
PIECES = [part + b"\n\n" for part in EVENTS.split(b"\n\n") if part]


class SlowServer:
    """Sends its events with pauses, each in two halves.

    Attributes:
        requests: Number of requests that it got.
        is_cut: Whether a connection was closed before the last event.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.is_cut = False

    async def answer(self, stream: anyio.abc.SocketStream, head: bytes) -> None:
        self.requests += 1
        self.is_cut = True
        request_id = header(head, "x-request-id").encode()
        await stream.send(
            SIGNED.replace(b"%b", request_id)
            + b"content-length: %d\r\n\r\n" % len(b"".join(PIECES))
        )
        for piece in PIECES:
            middle = len(piece) // 2
            await anyio.sleep(PAUSE_S)
            await stream.send(piece[:middle])
            await anyio.sleep(PAUSE_S / 10)
            await stream.send(piece[middle:])
        self.is_cut = False


async def check_slow_stream(*, is_resumable: bool) -> None:
    route = make_route(
        RouteKind.STREAM, is_resumable=is_resumable, timeout_s=15.0
    )
    server = SlowServer()
    async with serving(server.answer) as port, serving(answer_whole) as other:
        gateway = RawGateway([port, other])
        caller = FakeCaller()
        assert await gateway.forward(route, caller) is None
    assert caller.body == EVENTS
    assert server.requests == 1
    assert not server.is_cut


def test_slow_stream_is_completed_by_the_upstream_that_began_it() -> None:
    async def resumable() -> None:
        await check_slow_stream(is_resumable=True)

    async def not_resumable() -> None:
        await check_slow_stream(is_resumable=False)

    run_together((resumable, not_resumable))

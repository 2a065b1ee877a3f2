"""Tests that a second copy of an answer reaches nobody.

The server answers each request on a connection once more, late: just after the
next request on that connection was written, before the right answer.
"""

from __future__ import annotations

import json
import re
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from plumvane import clock
from plumvane.errors import OverloadedError, UpstreamLostError
from plumvane.relay.client import Attempt, UpstreamClient
from plumvane.serving.upstreams import Upstream
from plumvane.upstreams.engine import EngineClient
from plumvane.upstreams.service import ServiceClient
from tests.gateways import make_listed_upstream
from tests.raw_servers import HOST, header, serving
from tests.workers import run_with_timeout

CALLS = 4

Copy = Callable[[bytes], bytes]


def whole(answer: bytes) -> bytes:
    return answer


def half(answer: bytes) -> bytes:
    return answer[: len(answer) // 2]


def without_request_id(answer: bytes) -> bytes:
    return answer.replace(b"x-request-id", b"x-other")


class RepeatingServer:
    """Answers with the identifier of each request, and repeats itself.

    Attributes:
        repeated: Number of copies that were sent.
    """

    def __init__(self, body: Callable[[bytes], bytes], copy: Copy) -> None:
        self._body = body
        self._copy = copy
        self._last_by_stream: dict[int, bytes] = {}
        self._streams: list[anyio.abc.SocketStream] = []
        self.repeated = 0

    async def answer(
        self, stream: anyio.abc.SocketStream, request: bytes
    ) -> None:
        if stream not in self._streams:
            self._streams.append(stream)
        key = self._streams.index(stream)
        last = self._last_by_stream.get(key)
        if last is not None:
            self.repeated += 1
            await stream.send(self._copy(last))
        request_id = identifier(request)
        body = self._body(request_id)
        self._last_by_stream[key] = (
            b"HTTP/1.1 200 OK\r\nx-response-signature: s\r\n"
            b"x-request-id: %b\r\ncontent-length: %d\r\n\r\n%b"
            % (request_id, len(body), body)
        )
        await stream.send(self._last_by_stream[key])


def identifier(request: bytes) -> bytes:
    for name in ("x-request-id", "idempotency-key"):
        if found := header(request, name):
            return found.encode()
    found_id = re.search(rb'"request_id": "([^"]*)"', request)
    return found_id.group(1) if found_id else b""


def events(request_id: bytes) -> bytes:
    choice = {"text": request_id.decode(), "finish_reason": "stop"}
    event = json.dumps({"choices": [choice], "tokens": 1}).encode()
    return b"data: %b\n\ndata: [DONE]\n\n" % event


Call = Callable[[str, int], Awaitable[bytes]]


async def answers(call: Call, port: int) -> list[bytes]:
    """Returns the answers, empty for those that were lost."""
    found = []
    for number in range(CALLS):
        try:
            found.append(await call(f"r{number}", port))
        except UpstreamLostError:
            found.append(b"")
    return found


def test_second_copy_reaches_no_caller_of_a_gateway_or_an_item() -> None:
    """Requests whose answer may be the copy count as lost, not as not run."""
    client = UpstreamClient()

    async def call(request_id: str, port: int) -> bytes:
        upstream = Upstream(make_listed_upstream("u", port=port))
        attempt = Attempt(
            request_id=request_id,
            method="GET",
            target=b"/p/x",
            headers=[(b"host", b"h"), (b"x-request-id", request_id.encode())],
            body=b"",
            deadline=clock.monotonic() + 10.0,
            last_event_id=None,
            is_idempotent=True,
            read_timeout_s=0.3,
        )
        async with client.send(upstream, attempt) as response:
            return b"".join([part async for part in response.iter_body()])

    async def steps() -> None:
        for copy in (whole, half, without_request_id):
            server = RepeatingServer(lambda request_id: request_id, copy)
            async with serving(server.answer) as port:
                found = await answers(call, port)
            assert found == [b"r0", b"", b"r2", b""], copy
            assert server.repeated == CALLS // 2

    run_with_timeout(steps)


class RefusingServer:
    """Refuses the first request, and repeats that on each kept connection.

    Each other request gets its answer, after the copy of the refusal if its
    connection has been used before.

    Attributes:
        runs: Requests that it ran.
        repeated: Number of copies that were sent.
    """

    def __init__(self) -> None:
        self.runs: list[bytes] = []
        self.repeated = 0
        self._refusal = b""
        self._used: list[anyio.abc.SocketStream] = []

    async def answer(
        self, stream: anyio.abc.SocketStream, request: bytes
    ) -> None:
        request_id = identifier(request)
        if not self._refusal:
            self._refusal = (
                b"HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\n"
                b"x-request-id: %b\r\ncontent-length: 0\r\n\r\n" % request_id
            )
            self._used.append(stream)
            await stream.send(self._refusal)
            return
        self.runs.append(request_id)
        if stream in self._used:
            self.repeated += 1
            await stream.send(self._refusal)
        self._used.append(stream)
        await stream.send(
            b"HTTP/1.1 200 OK\r\nx-response-signature: s\r\n"
            b"x-request-id: %b\r\ncontent-length: 2\r\n\r\nok" % request_id
        )


# Guards against a promise that a request has not run, given for an earlier one:
# the refusal of another request, or of the same item at an earlier attempt.
def test_repeated_refusal_is_taken_for_no_answer() -> None:
    client = UpstreamClient()

    async def outcome(
        request_id: str, port: int, *, is_idempotent: bool
    ) -> str:
        upstream = Upstream(make_listed_upstream("u", port=port))
        attempt = Attempt(
            request_id=request_id,
            method="POST",
            target=b"/p/x",
            headers=[(b"host", b"h"), (b"x-request-id", request_id.encode())],
            body=b"",
            deadline=clock.monotonic() + 10.0,
            last_event_id=None,
            is_idempotent=is_idempotent,
            read_timeout_s=1.0,
        )
        try:
            async with client.send(upstream, attempt) as response:
                async for _ in response.iter_body():
                    continue
                return str(response.status)
        except OverloadedError:
            return "not run"
        except UpstreamLostError:
            return "lost"

    async def steps() -> None:
        for is_idempotent in (True, False):
            server = RefusingServer()
            async with serving(server.answer) as port:
                found = [
                    await outcome(request_id, port, is_idempotent=is_idempotent)
                    for request_id in ("a", "a", "b", "c", "d")
                ]
            assert found.count("not run") == 1, found
            assert found[0] == "not run"
            assert len(server.runs) == 4
            # Only idempotent requests use a connection again, and the copy is
            # lost with it.
            assert server.repeated == found.count("lost")
            assert bool(server.repeated) == is_idempotent

    run_with_timeout(steps)


def test_second_copy_reaches_no_caller_of_a_service() -> None:
    async def steps() -> None:
        server = RepeatingServer(lambda request_id: request_id, whole)
        async with serving(server.answer) as port:
            client = ServiceClient(f"http://{HOST}:{port}")

            async def call(request_id: str, port: int) -> bytes:
                return (await client.call(request_id, "/x", b"{}")).body

            found = await answers(call, port)
        assert found == [b"r0", b"r1", b"r2", b"r3"]

    run_with_timeout(steps)


def test_second_copy_reaches_no_stream_of_an_engine() -> None:
    async def steps() -> None:
        server = RepeatingServer(events, whole)
        async with serving(server.answer) as port:
            client = EngineClient(f"http://{HOST}:{port}", lambda _: None)

            async def call(request_id: str, port: int) -> bytes:
                chunks = client.stream(request_id, {"prompt": "p"})
                text = "".join([chunk.text async for chunk in chunks])
                return text.encode()

            found = await answers(call, port)
        assert found == [b"r0", b"r1", b"r2", b"r3"]

    run_with_timeout(steps)

"""Bytes without end from what answers at a peer's address, or calls a peer."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from plumvane import clock
from plumvane.errors import DeadlineExceededError, LinkLostError, PlumvaneError
from plumvane.peers.link import LinkPool
from plumvane.peers.messages.stores import ReadStore, StoreRecords
from plumvane.peers.server import Call, PeerServer
from plumvane.peers.wire import MAX_FRAME_BYTES
from standins.launcher import free_port
from tests.raw_servers import HOST
from tests.workers import run_with_timeout

# Bytes after which a sender gives up, and the most that it may get rid of
# besides one frame; the kernel buffers some megabytes.
MAX_SENT_BYTES = 256 * 1024 * 1024
MAX_TAKEN_BYTES = MAX_FRAME_BYTES + 24 * 1024 * 1024
# Time for which bytes are sent, in seconds.
SENDING_S = 1.0
CALL_S = 1.0
PIECE_BYTES = 65_536
# Greeting and handshake of ZMTP 3.0, without security.
GREETING = (
    b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
)


def handshake(socket_type: bytes) -> bytes:
    """Returns what a ZeroMQ socket sends before its messages."""
    ready = (
        b"\x05READY\x0bSocket-Type"
        + len(socket_type).to_bytes(4, "big")
        + socket_type
        + b"\x08Identity"
        + bytes(4)
    )
    return GREETING + b"\x04" + bytes([len(ready)]) + ready


def starts_by_name(socket_type: bytes) -> dict[str, tuple[bytes, bytes]]:
    """Returns what is sent before a pattern that repeats, and the pattern.

    Args:
        socket_type: Type of the socket that the peer expects.
    """
    # 8 GiB, which malloc grants as long as they are not touched.
    size = (1 << 33).to_bytes(8, "big")
    return {
        "text": (b"HTTP/1.1 400 Bad Request\r\n\r\n", b"x"),
        "frames of ZMTP 1.0": (b"", b"y"),
        "zeros": (b"", b"\0"),
        "greetings": (b"", GREETING),
        "frame of ZMTP 3.0": (handshake(socket_type) + b"\x02" + size, b"x"),
        "command of ZMTP 3.0": (GREETING + b"\x06" + size, b"x"),
    }


class EndlessPeer:
    """Sends a start and then repeats a pattern until the other side closes.

    Attributes:
        sent_bytes: Number of bytes sent on all connections.
    """

    def __init__(self, start: bytes, pattern: bytes) -> None:
        self._start = start
        self._piece = pattern * (PIECE_BYTES // len(pattern))
        self.sent_bytes = 0

    async def send_all(self, stream: anyio.abc.SocketStream) -> None:
        """Sends on a connection until it is closed."""
        async with stream, anyio.create_task_group() as group:
            group.start_soon(self._drain, stream)
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(self._start or self._piece)
                while self.sent_bytes < MAX_SENT_BYTES:
                    await stream.send(self._piece)
                    self.sent_bytes += len(self._piece)
            group.cancel_scope.cancel()

    async def _drain(self, stream: anyio.abc.SocketStream) -> None:
        with contextlib.suppress(anyio.BrokenResourceError, anyio.EndOfStream):
            while True:
                await stream.receive()


@contextlib.asynccontextmanager
async def listening(peer: EndlessPeer) -> AsyncIterator[str]:
    """Accepts connections to an endless peer and yields its address."""
    listener = await anyio.create_tcp_listener(local_host=HOST)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, peer.send_all)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f"{HOST}:{port}"
        group.cancel_scope.cancel()


# Guards against LOST: a process keeps all bytes that come without end from the
# address of a peer, and ends with its memory.
def test_bytes_without_end_from_a_peer_are_not_kept() -> None:
    async def steps(name: str, start: bytes, pattern: bytes) -> None:
        peer = EndlessPeer(start, pattern)
        async with listening(peer) as address, anyio.create_task_group() as g:
            links = LinkPool("a")
            g.start_soon(links.run)
            until = clock.monotonic() + SENDING_S
            while clock.remaining(until) > 0:
                deadline = clock.monotonic() + CALL_S
                try:
                    await links.call(address, ReadStore("k"), deadline=deadline)
                except (DeadlineExceededError, LinkLostError):
                    continue
                raise AssertionError(f"{name}: the call had a reply")
            g.cancel_scope.cancel()
        assert peer.sent_bytes < MAX_TAKEN_BYTES, (name, peer.sent_bytes)

    for name, (start, pattern) in starts_by_name(b"ROUTER").items():
        run_with_timeout(lambda n=name, s=start, p=pattern: steps(n, s, p))


# The same from what connects to it; calls of its peers are answered meanwhile.
def test_bytes_without_end_from_a_caller_are_not_kept() -> None:
    async def read(call: Call, message: ReadStore) -> StoreRecords:
        return StoreRecords(())

    async def steps(name: str, start: bytes, pattern: bytes) -> None:
        port = free_port(HOST)
        address = f"{HOST}:{port}"
        server = PeerServer(address)
        server.handle(ReadStore, read)
        peer = EndlessPeer(start, pattern)
        async with anyio.create_task_group() as group:
            await group.start(server.run)
            links = LinkPool("a")
            group.start_soon(links.run)
            stream = await anyio.connect_tcp(HOST, port)
            group.start_soon(peer.send_all, stream)
            until = clock.monotonic() + SENDING_S
            while clock.remaining(until) > 0:
                try:
                    await links.call(
                        address,
                        ReadStore("k"),
                        deadline=clock.monotonic() + CALL_S,
                    )
                except PlumvaneError as error:
                    raise AssertionError(name) from error
                await anyio.sleep(0.1)
            group.cancel_scope.cancel()
        assert peer.sent_bytes < MAX_TAKEN_BYTES, (name, peer.sent_bytes)

    for name, (start, pattern) in starts_by_name(b"DEALER").items():
        run_with_timeout(lambda n=name, s=start, p=pattern: steps(n, s, p))

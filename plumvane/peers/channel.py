"""Non-blocking I/O on a pyzmq socket with anyio."""

from __future__ import annotations

import anyio
import zmq

from plumvane.peers import wire

__all__ = ["Channel", "ConnectionMonitor", "limit_input"]

# Messages received in a row before the receiver yields to other tasks.
MESSAGES_PER_YIELD = 64
# ZAP domain of sockets without keys; no authenticator handles it.
OPEN_DOMAIN = b"plumvane"


def limit_input(socket: zmq.Socket[bytes], *, has_keys: bool) -> None:
    """Limits what a socket keeps of bytes that are no message of a peer.

    Whatever has taken over a peer's address may send anything.

    Args:
        socket: A socket that is neither bound nor connected yet.
        has_keys: Whether the socket has keys.
    """
    socket.setsockopt(zmq.MAXMSGSIZE, wire.MAX_FRAME_BYTES)
    if not has_keys:
        # ZMTP 1.0 has no handshake: any bytes are frames, and a message has no
        # maximum number of them. Sockets with a ZAP domain refuse it.
        socket.setsockopt(zmq.ZAP_DOMAIN, OPEN_DOMAIN)


class Channel:
    """Sends and receives multipart messages without blocking.

    The file descriptor of a ZeroMQ socket is edge-triggered, and a send may
    consume the edge that signals new messages. The channel therefore checks
    the socket's events after each send, and reads until the socket is empty
    before it waits again.
    """

    def __init__(self, socket: zmq.Socket[bytes]) -> None:
        """Wraps a connected or bound socket.

        Args:
            socket: The socket, which `close` of the channel closes.
        """
        self._socket = socket
        self._readable = anyio.Event()
        self._drained = anyio.Event()
        self._messages_since_yield = 0

    async def watch(self) -> None:
        """Wakes the receiver whenever the socket may be readable.

        Runs until it is cancelled or the socket is closed.
        """
        while not self._socket.closed:
            await anyio.wait_readable(self._socket.fileno())
            self._drained = anyio.Event()
            self._readable.set()
            await self._drained.wait()

    def send(self, *frames: bytes) -> bool:
        """Sends one multipart message.

        Returns:
            Whether it was queued; False if the peer is disconnected or the
            send queue is full.
        """
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        if self._has_frames():
            self._readable.set()
        return True

    async def receive(self) -> list[bytes]:
        """Returns the frames of the next multipart message."""
        while True:
            self._messages_since_yield += 1
            if self._messages_since_yield >= MESSAGES_PER_YIELD:
                self._messages_since_yield = 0
                await anyio.lowlevel.checkpoint()
            try:
                return self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                self._readable = anyio.Event()
                self._drained.set()
            if self._has_frames():
                continue
            await self._readable.wait()

    def close(self) -> None:
        """Closes the socket and discards messages not yet sent."""
        self._socket.close(linger=0)

    def _has_frames(self) -> bool:
        events = self._socket.getsockopt(zmq.EVENTS)
        return isinstance(events, int) and bool(events & zmq.POLLIN)


class ConnectionMonitor:
    """Detects that the connection of a socket is lost or refused.

    ZeroMQ reconnects on its own and may have dropped messages in between, so
    the owner of the socket must be notified.
    """

    def __init__(self, socket: zmq.Socket[bytes]) -> None:
        """Starts monitoring a socket.

        Args:
            socket: A socket that is not connected yet.
        """
        self._socket = socket
        self._monitor = socket.get_monitor_socket(
            zmq.EVENT_DISCONNECTED | zmq.EVENT_CLOSED
        )

    async def wait_lost(self) -> None:
        """Returns when the connection is lost or refused."""
        while True:
            try:
                self._monitor.recv_multipart(zmq.NOBLOCK)
                return
            except zmq.Again:
                pass
            await anyio.wait_readable(self._monitor.fileno())

    def close(self) -> None:
        """Stops monitoring."""
        self._socket.disable_monitor()
        self._monitor.close(linger=0)

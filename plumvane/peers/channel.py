"""A pyzmq socket driven by anyio."""

from __future__ import annotations

import anyio
import zmq

__all__ = ["Channel", "ConnectionMonitor"]

# Frames taken from a socket before other tasks get a turn.
FRAMES_PER_TURN = 64


class Channel:
    """Sends and receives multipart frames without blocking.

    ZeroMQ signals new frames by an edge on its file descriptor, and a send
    may consume that edge. So the channel looks at the socket's state after
    each send, and reads until the socket is empty before it waits again.
    """

    def __init__(self, socket: zmq.Socket[bytes]) -> None:
        """Wraps a connected or bound socket.

        Args:
            socket: The socket; the channel closes it.
        """
        self._socket = socket
        self._readable = anyio.Event()
        self._drained = anyio.Event()
        self._turn = 0

    async def watch(self) -> None:
        """Wakes the receiver when the socket may be readable; runs always."""
        while not self._socket.closed:
            await anyio.wait_readable(self._socket.fileno())
            self._drained = anyio.Event()
            self._readable.set()
            await self._drained.wait()

    def send(self, *frames: bytes) -> bool:
        """Sends one multipart frame.

        Returns:
            Whether the socket took it; False if the peer is gone or slow.
        """
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        if self._has_frames():
            self._readable.set()
        return True

    async def receive(self) -> list[bytes]:
        """Returns the next multipart frame."""
        while True:
            self._turn += 1
            if self._turn >= FRAMES_PER_TURN:
                self._turn = 0
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
        """Closes the socket; frames not yet sent are dropped."""
        self._socket.close(linger=0)

    def _has_frames(self) -> bool:
        events = self._socket.getsockopt(zmq.EVENTS)
        return isinstance(events, int) and bool(events & zmq.POLLIN)


class ConnectionMonitor:
    """Tells when the connection of a socket is lost or refused.

    ZeroMQ connects again by itself and may have dropped frames meanwhile, so
    the socket's owner has to know.
    """

    def __init__(self, socket: zmq.Socket[bytes]) -> None:
        """Watches a socket that is not connected yet.

        Args:
            socket: The socket.
        """
        self._watched = socket
        self._monitor = socket.get_monitor_socket(
            zmq.EVENT_DISCONNECTED | zmq.EVENT_CLOSED
        )

    async def lost(self) -> None:
        """Returns once the connection is lost, or was refused."""
        while True:
            try:
                self._monitor.recv_multipart(zmq.NOBLOCK)
                return
            except zmq.Again:
                pass
            await anyio.wait_readable(self._monitor.fileno())

    def close(self) -> None:
        """Stops watching."""
        self._watched.disable_monitor()
        self._monitor.close(linger=0)

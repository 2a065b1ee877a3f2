"""Client side of a connection to one peer."""

from __future__ import annotations

import contextlib
import itertools
import secrets
from collections import deque
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.abc
import msgspec
import zmq

from plumvane import clock, events
from plumvane.errors import (
    DeadlineExceededError,
    LinkLostError,
    PlumvaneError,
    ProtocolError,
    error_from_code,
)
from plumvane.peers import wire
from plumvane.peers.channel import Channel, ConnectionMonitor
from plumvane.peers.keys import PeerKeys
from plumvane.peers.messages import Failure, Message, decode, encode

__all__ = ["Link", "LinkPool", "PartHandler", "Pending"]

PartHandler = Callable[[Message], None]

# A connection with calls in flight and no round trip for this is probed.
HEARTBEAT_S = 0.5
# A connection with calls in flight and no round trip for this is replaced.
SILENCE_S = 2.0
# Frames that may wait for a peer that does not read.
SEND_QUEUE_FRAMES = 100_000
# Pause before a peer that refused the connection is tried again.
RECONNECT_S = 0.05
# A connection without calls is closed after this.
IDLE_S = 30.0


class Pending:
    """The end of one call.

    Attributes:
        call_id: Number of the call.
        sent: Monotonic time at which it was sent; 0 before.
    """

    def __init__(self, call_id: int, on_part: PartHandler | None) -> None:
        self.call_id = call_id
        self.sent = 0.0
        self._on_part = on_part
        self._reply: Message | None = None
        self._error: PlumvaneError | None = None
        self._ended = anyio.Event()

    def take_part(self, part: Message) -> None:
        """Passes a part of the reply on; its refusal fails the call."""
        if self._on_part is None or self._error is not None:
            return
        try:
            self._on_part(part)
        except PlumvaneError as error:
            self.fail(error)

    def end(self, reply: Message) -> None:
        """Takes the reply in."""
        self._reply = reply
        self._ended.set()

    def fail(self, error: PlumvaneError) -> None:
        """Ends the call with an error."""
        self._error = error
        self._ended.set()

    async def reply(self) -> Message:
        """Returns the reply, after all parts were passed on.

        Raises:
            PlumvaneError: The call failed.
        """
        await self._ended.wait()
        if self._error is not None:
            raise self._error
        if self._reply is None:
            raise ProtocolError("The call ended without a reply.")
        return self._reply


class Link:
    """Calls one peer; replaces its connection when it goes silent."""

    def __init__(
        self,
        name: str,
        address: str,
        context: zmq.Context[zmq.Socket[bytes]],
        keys: PeerKeys | None = None,
    ) -> None:
        """Creates the link; `run` opens the connection when it is needed.

        Args:
            name: Name of this instance, for the greeting.
            address: The peer's address as IP:PORT.
            context: ZeroMQ context.
            keys: Keys to call with, or None.
        """
        self._keys = keys
        self._attempts = itertools.count()
        self.address = address
        self._name = name
        self._context = context
        self._call_ids = itertools.count(1)
        self._pending_by_call: dict[int, Pending] = {}
        self._channel: Channel | None = None
        self._welcomed = anyio.Event()
        self._wanted = anyio.Event()
        self._called = anyio.Event()
        # When the last frame was sent that the peer has answered.
        self._answered = 0.0
        self._ping_times: deque[float] = deque()
        self._refusal: ProtocolError | None = None

    async def run(self) -> None:
        """Opens the connection when calls wait, and keeps it; runs always."""
        while True:
            await self._wanted.wait()
            await self._run_session()

    async def call(self, message: Message, *, deadline: float) -> Message:
        """Sends a message and returns the reply.

        Args:
            message: What to send.
            deadline: Monotonic time in seconds.

        Raises:
            DeadlineExceededError: No reply by the deadline.
            LinkLostError: The connection was lost; the peer may have got it.
            PlumvaneError: The error that the peer replied with.
        """
        try:
            with anyio.fail_after(clock.remaining(deadline)):
                async with self.open_call(message) as pending:
                    return await pending.reply()
        except TimeoutError:
            raise DeadlineExceededError(
                f"{self.address} did not reply in time."
            ) from None

    @contextlib.asynccontextmanager
    async def open_call(
        self, message: Message, on_part: PartHandler | None = None
    ) -> AsyncIterator[Pending]:
        """Sends a message whose reply may come in parts.

        Leaving the context before the reply cancels the call at the peer.

        Args:
            message: What to send.
            on_part: Called with each part as it comes; an error that it
                raises fails the call.
        """
        pending = Pending(next(self._call_ids), on_part)
        self._pending_by_call[pending.call_id] = pending
        self._wanted.set()
        self._called.set()
        try:
            await self._welcomed.wait()
            self._send_call(pending, message)
            yield pending
        finally:
            if self._pending_by_call.pop(pending.call_id, None) is not None:
                self._send(wire.Kind.CANCEL, pending.call_id)

    def _send_call(self, pending: Pending, message: Message) -> None:
        """Sends a call, or fails it as not sent."""
        if pending.call_id not in self._pending_by_call:
            return
        pending.sent = clock.monotonic()
        if not self._send(wire.Kind.CALL, pending.call_id, encode(message)):
            pending.fail(
                LinkLostError(
                    f"The connection to {self.address} takes no call.",
                    not_run=True,
                )
            )

    async def _run_session(self) -> None:
        socket = self._context.socket(zmq.DEALER)
        socket.setsockopt(zmq.IDENTITY, secrets.token_bytes(12))
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
        if self._keys is not None:
            self._keys.set_client(socket, next(self._attempts))
        monitor = ConnectionMonitor(socket)
        socket.connect(f"tcp://{self.address}")
        self._channel = Channel(socket)
        self._answered = clock.monotonic()
        self._ping_times.clear()
        hello = f"{wire.PROTOCOL_VERSION} {self._name}".encode()
        self._channel.send(wire.pack(wire.Kind.HELLO), hello)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._channel.watch)
                group.start_soon(self._receive, self._channel, group)
                group.start_soon(self._end_when_lost, monitor, group)
                await self._keep_alive()
                group.cancel_scope.cancel()
        finally:
            monitor.close()
            self._channel.close()
            self._channel = None
            self._fail_all()

    async def _end_when_lost(
        self, monitor: ConnectionMonitor, group: anyio.abc.TaskGroup
    ) -> None:
        """Ends the session with its connection, which may have lost frames."""
        await monitor.wait_lost()
        await anyio.sleep(RECONNECT_S)
        group.cancel_scope.cancel()

    async def _keep_alive(self) -> None:
        """Returns when the connection is silent or no longer needed."""
        while True:
            if not self._pending_by_call:
                await self._wait_for_call()
            if not self._pending_by_call:
                self._wanted = anyio.Event()
                return
            await anyio.sleep(HEARTBEAT_S / 2)
            silent_s = clock.monotonic() - self._answered
            if not self._pending_by_call:
                continue
            if silent_s >= SILENCE_S:
                events.log(events.Event.PEER_SILENT, peer=self.address)
                return
            if silent_s >= HEARTBEAT_S:
                self._ping_times.append(clock.monotonic())
                self._send(wire.Kind.PING, 0)

    async def _wait_for_call(self) -> None:
        """Returns when a call is made, or after the time without any."""
        self._called = anyio.Event()
        with anyio.move_on_after(IDLE_S):
            await self._called.wait()
        self._answered = clock.monotonic()

    def _fail_all(self) -> None:
        pending_by_call, self._pending_by_call = self._pending_by_call, {}
        for pending in pending_by_call.values():
            pending.fail(
                self._refusal
                or LinkLostError(
                    f"The connection to {self.address} was lost.",
                    not_run=not pending.sent,
                )
            )
        self._refusal = None
        # Calls still waiting for the greeting must see their failure.
        self._welcomed.set()
        self._welcomed = anyio.Event()
        self._wanted = anyio.Event()

    def _send(self, kind: wire.Kind, call_id: int, body: bytes = b"") -> bool:
        if self._channel is None:
            return False
        return self._channel.send(wire.pack(kind, call_id), body)

    async def _receive(
        self, channel: Channel, group: anyio.abc.TaskGroup
    ) -> None:
        while True:
            frames = await channel.receive()
            header, body = wire.unpack(frames[0]), frames[1]
            if header.kind == wire.Kind.WELCOME:
                self._answered = clock.monotonic()
                self._welcomed.set()
            elif header.kind == wire.Kind.UNKNOWN_SESSION:
                group.cancel_scope.cancel()
            elif header.kind == wire.Kind.REFUSED:
                self._refusal = ProtocolError(body.decode())
                events.log(events.Event.PEER_REFUSED, peer=self.address)
                group.cancel_scope.cancel()
            elif header.kind == wire.Kind.PONG:
                if self._ping_times:
                    self._take_proof(self._ping_times.popleft())
            else:
                for index in range(0, len(frames), 2):
                    self._take(wire.unpack(frames[index]), frames[index + 1])

    def _take_proof(self, sent: float) -> None:
        """Takes in that the peer has answered a frame."""
        self._answered = max(self._answered, sent)

    def _take(self, header: wire.Header, body: bytes) -> None:
        pending = self._pending_by_call.get(header.call_id)
        if pending is None:
            return
        self._take_proof(pending.sent)
        try:
            message = decode(body)
        except msgspec.DecodeError as error:
            pending.fail(ProtocolError(f"{self.address}: {error}."))
            return
        if header.kind == wire.Kind.PART:
            pending.take_part(message)
            return
        del self._pending_by_call[header.call_id]
        if isinstance(message, Failure):
            pending.fail(
                error_from_code(
                    message.code,
                    message.detail,
                    remedy=message.remedy,
                    not_run=message.not_run,
                    retry_after_s=message.retry_after_s,
                )
            )
        else:
            pending.end(message)


class LinkPool:
    """The links of one process, by address."""

    def __init__(self, name: str, keys: PeerKeys | None = None) -> None:
        """Creates an empty pool.

        Args:
            name: Name of this instance.
            keys: Keys to call peers with, or None.
        """
        self._keys = keys
        self._name = name
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._links_by_address: dict[str, Link] = {}
        self._group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Runs the links; ends when cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            for link in self._links_by_address.values():
                group.start_soon(link.run)
            await anyio.sleep_forever()

    def link(self, address: str) -> Link:
        """Returns the link to an address, made if it is new."""
        link = self._links_by_address.get(address)
        if link is None:
            link = Link(self._name, address, self._context, self._keys)
            self._links_by_address[address] = link
            if self._group is not None:
                self._group.start_soon(link.run)
        return link

    async def call(
        self, address: str, message: Message, *, deadline: float
    ) -> Message:
        """Calls the peer at an address; see `Link.call`."""
        return await self.link(address).call(message, deadline=deadline)

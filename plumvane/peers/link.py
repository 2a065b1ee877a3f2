"""Client side of the connections between peers."""

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
from plumvane.peers.channel import Channel, ConnectionMonitor, limit_input
from plumvane.peers.keys import PeerKeys
from plumvane.peers.messages import Failure, Message, decode, encode

__all__ = ["Link", "LinkPool", "PartHandler", "PendingCall"]

PartHandler = Callable[[Message], None]

# If calls are in flight, a ping is sent when no round trip has been confirmed
# for this time.
HEARTBEAT_INTERVAL_S = 0.5
# A connection with calls in flight is replaced if no round trip has been
# confirmed for this time.
SILENCE_TIMEOUT_S = 2.0
# Limit of messages queued for a peer that does not read.
SEND_QUEUE_MESSAGES = 100_000
# Delay before reconnecting after the connection was lost or refused.
RECONNECT_DELAY_S = 0.05
# A connection without calls is closed after this time.
IDLE_TIMEOUT_S = 30.0


class PendingCall:
    """A call that waits for its reply.

    Attributes:
        call_id: Number of the call.
        sent_at: Monotonic time at which it was sent; 0 until then.
    """

    def __init__(self, call_id: int, on_part: PartHandler | None) -> None:
        self.call_id = call_id
        self.sent_at = 0.0
        self._on_part = on_part
        self._reply: Message | None = None
        self._error: PlumvaneError | None = None
        self._finished = anyio.Event()

    def add_part(self, part: Message) -> None:
        """Passes a part of the reply to the handler.

        An error that the handler raises fails the call.
        """
        if self._on_part is None or self._error is not None:
            return
        try:
            self._on_part(part)
        except PlumvaneError as error:
            self.fail(error)

    def finish(self, reply: Message) -> None:
        """Completes the call with its reply."""
        self._reply = reply
        self._finished.set()

    def fail(self, error: PlumvaneError) -> None:
        """Completes the call with an error."""
        self._error = error
        self._finished.set()

    async def reply(self) -> Message:
        """Waits for the reply, which follows all parts, and returns it.

        Raises:
            PlumvaneError: The call failed.
        """
        await self._finished.wait()
        if self._error is not None:
            raise self._error
        if self._reply is None:
            raise ProtocolError("The call was completed without a reply.")
        return self._reply


class Link:
    """Calls one peer and replaces the connection when it stops responding."""

    def __init__(
        self,
        name: str,
        address: str,
        context: zmq.Context[zmq.Socket[bytes]],
        keys: PeerKeys | None = None,
    ) -> None:
        """Creates the link; `run` opens the connection when a call needs it.

        Args:
            name: Name of this instance, sent in the HELLO frame.
            address: Address of the peer as IP:PORT.
            context: ZeroMQ context.
            keys: Keys of this process, or None to connect unencrypted.
        """
        self._keys = keys
        self._attempts = itertools.count()
        self.address = address
        self._name = name
        self._context = context
        self._call_ids = itertools.count(1)
        self._pending_by_call_id: dict[int, PendingCall] = {}
        self._channel: Channel | None = None
        self._session_opened = anyio.Event()
        self._connection_needed = anyio.Event()
        self._call_started = anyio.Event()
        # Monotonic time at which the latest answered frame was sent, or at
        # which the session opened or was last idle, if that is later.
        self._last_answered_send = 0.0
        self._ping_times: deque[float] = deque()
        self._refusal: ProtocolError | None = None

    async def run(self) -> None:
        """Connects whenever calls are waiting, until cancelled."""
        while True:
            await self._connection_needed.wait()
            await self._run_session()

    async def call(self, message: Message, *, deadline: float) -> Message:
        """Sends a message and returns the reply.

        Args:
            message: Message to send.
            deadline: Monotonic time in seconds.

        Raises:
            DeadlineExceededError: No reply arrived by the deadline.
            LinkLostError: The connection was lost; the peer may have received
                the message unless `not_run` is set.
            PlumvaneError: The error that the peer replied with.
        """
        try:
            with anyio.fail_after(clock.remaining(deadline)):
                async with self.open_call(message) as pending:
                    return await pending.reply()
        except TimeoutError:
            raise DeadlineExceededError(
                f"{self.address} did not reply by the deadline."
            ) from None

    @contextlib.asynccontextmanager
    async def open_call(
        self, message: Message, on_part: PartHandler | None = None
    ) -> AsyncIterator[PendingCall]:
        """Sends a message whose reply may arrive in parts.

        Leaving the context before the reply cancels the call at the peer.

        Args:
            message: Message to send.
            on_part: Called with each part as it arrives; a `PlumvaneError`
                that it raises fails the call.
        """
        pending = PendingCall(next(self._call_ids), on_part)
        self._pending_by_call_id[pending.call_id] = pending
        self._connection_needed.set()
        self._call_started.set()
        try:
            await self._session_opened.wait()
            self._send_call(pending, message)
            yield pending
        finally:
            if self._pending_by_call_id.pop(pending.call_id, None) is not None:
                self._send(wire.Kind.CANCEL, pending.call_id)

    def _send_call(self, pending: PendingCall, message: Message) -> None:
        """Sends a call, or fails it with `not_run` set."""
        if pending.call_id not in self._pending_by_call_id:
            return
        pending.sent_at = clock.monotonic()
        if not self._send(wire.Kind.CALL, pending.call_id, encode(message)):
            pending.fail(
                LinkLostError(
                    f"The connection to {self.address} accepts no calls.",
                    not_run=True,
                )
            )

    async def _run_session(self) -> None:
        socket = self._context.socket(zmq.DEALER)
        socket.setsockopt(zmq.IDENTITY, secrets.token_bytes(12))
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        limit_input(socket, has_keys=self._keys is not None)
        if self._keys is not None:
            self._keys.set_client(socket, next(self._attempts))
        monitor = ConnectionMonitor(socket)
        socket.connect(f"tcp://{self.address}")
        self._channel = Channel(socket)
        self._last_answered_send = clock.monotonic()
        self._ping_times.clear()
        hello = f"{wire.PROTOCOL_VERSION} {self._name}".encode()
        self._channel.send(wire.pack(wire.Kind.HELLO), hello)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._channel.watch)
                group.start_soon(self._receive, self._channel, group)
                group.start_soon(self._close_when_lost, monitor, group)
                await self._monitor_session()
                group.cancel_scope.cancel()
        finally:
            monitor.close()
            self._channel.close()
            self._channel = None
            self._fail_all()

    async def _close_when_lost(
        self, monitor: ConnectionMonitor, group: anyio.abc.TaskGroup
    ) -> None:
        """Ends the session when its connection is lost.

        ZeroMQ would reconnect, but frames may have been lost.
        """
        await monitor.wait_lost()
        await anyio.sleep(RECONNECT_DELAY_S)
        group.cancel_scope.cancel()

    async def _monitor_session(self) -> None:
        """Sends pings; returns when the connection is silent or idle."""
        while True:
            if not self._pending_by_call_id:
                await self._wait_for_call()
            if not self._pending_by_call_id:
                self._connection_needed = anyio.Event()
                return
            await anyio.sleep(HEARTBEAT_INTERVAL_S / 2)
            silence_s = clock.monotonic() - self._last_answered_send
            if not self._pending_by_call_id:
                continue
            if silence_s >= SILENCE_TIMEOUT_S:
                events.log(events.Event.PEER_SILENT, peer=self.address)
                return
            if silence_s >= HEARTBEAT_INTERVAL_S:
                self._ping_times.append(clock.monotonic())
                self._send(wire.Kind.PING, 0)

    async def _wait_for_call(self) -> None:
        """Returns at the next call, or after `IDLE_TIMEOUT_S` without one."""
        self._call_started = anyio.Event()
        with anyio.move_on_after(IDLE_TIMEOUT_S):
            await self._call_started.wait()
        self._last_answered_send = clock.monotonic()

    def _fail_all(self) -> None:
        pending_by_call_id, self._pending_by_call_id = (
            self._pending_by_call_id,
            {},
        )
        for pending in pending_by_call_id.values():
            pending.fail(
                self._refusal
                or LinkLostError(
                    f"The connection to {self.address} was lost.",
                    not_run=not pending.sent_at,
                )
            )
        self._refusal = None
        # Wakes calls that still wait for the WELCOME frame, so that they see
        # their failure.
        self._session_opened.set()
        self._session_opened = anyio.Event()
        self._connection_needed = anyio.Event()

    def _send(self, kind: wire.Kind, call_id: int, body: bytes = b"") -> bool:
        if self._channel is None:
            return False
        return self._channel.send(wire.pack(kind, call_id), body)

    async def _receive(
        self, channel: Channel, group: anyio.abc.TaskGroup
    ) -> None:
        while True:
            try:
                rows = wire.split(await channel.receive())
            except ProtocolError as error:
                events.log(
                    events.Event.PEER_MALFORMED,
                    peer=self.address,
                    error=error.detail,
                )
                group.cancel_scope.cancel()
                continue
            header, body = rows[0]
            if header.kind == wire.Kind.WELCOME:
                self._last_answered_send = clock.monotonic()
                self._session_opened.set()
            elif header.kind == wire.Kind.UNKNOWN_SESSION:
                group.cancel_scope.cancel()
            elif header.kind == wire.Kind.REFUSED:
                self._refusal = ProtocolError(body.decode(errors="replace"))
                events.log(events.Event.PEER_REFUSED, peer=self.address)
                group.cancel_scope.cancel()
            elif header.kind == wire.Kind.PONG:
                if self._ping_times:
                    self._record_answered_send(self._ping_times.popleft())
            else:
                for row in rows:
                    self._handle_reply(*row)

    def _record_answered_send(self, sent_at: float) -> None:
        """Records when a frame was sent that the peer has answered."""
        self._last_answered_send = max(self._last_answered_send, sent_at)

    def _handle_reply(self, header: wire.Header, body: bytes) -> None:
        pending = self._pending_by_call_id.get(header.call_id)
        if pending is None:
            return
        self._record_answered_send(pending.sent_at)
        try:
            message = decode(body)
        except msgspec.DecodeError as error:
            pending.fail(ProtocolError(f"{self.address}: {error}."))
            return
        if header.kind == wire.Kind.PART:
            pending.add_part(message)
            return
        del self._pending_by_call_id[header.call_id]
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
            pending.finish(message)


class LinkPool:
    """Links of one process, by address of the peer."""

    def __init__(self, name: str, keys: PeerKeys | None = None) -> None:
        """Creates an empty pool.

        Args:
            name: Name of this instance.
            keys: Keys of this process, or None to connect unencrypted.
        """
        self._keys = keys
        self._name = name
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._links_by_address: dict[str, Link] = {}
        self._group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Runs the links until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            for link in self._links_by_address.values():
                group.start_soon(link.run)
            await anyio.sleep_forever()

    def link(self, address: str) -> Link:
        """Returns the link to an address; creates it on first use."""
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

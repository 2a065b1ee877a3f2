"""Server side of the connections from peers."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import anyio.abc
import msgspec
import zmq

from plumvane import clock
from plumvane.errors import PlumvaneError, ProtocolError, SettingsError
from plumvane.peers import wire
from plumvane.peers.channel import Channel
from plumvane.peers.keys import PeerKeys, run_authenticator
from plumvane.peers.messages import Failure, Message, decode, encode

__all__ = ["Call", "PeerServer", "failure_from_error"]

# Parts of replies to one peer are joined into frames for this.
JOIN_S = 0.005
# A peer that has said nothing for this and has no calls is forgotten.
SESSION_IDLE_S = 120.0
# A peer with calls in flight asks for signs of life; one silent for this is
# gone, and its calls are cancelled.
SESSION_SILENCE_S = 10.0
SWEEP_S = 2.0

M = TypeVar("M", bound=Message)
Handler = Callable[["Call", Any], Awaitable[Message]]
# Answers without waiting, so that it needs no task.
ImmediateHandler = Callable[[Any], Message]


def failure_from_error(error: PlumvaneError) -> Failure:
    """Returns the message that carries an error to a peer."""
    return Failure(
        code=error.code,
        detail=error.detail,
        remedy=error.remedy,
        not_run=error.not_run,
        retry_after_s=error.retry_after_s,
    )


@dataclasses.dataclass(slots=True)
class _Session:
    """One connection from a peer.

    Attributes:
        identity: ZeroMQ identity of the connection.
        name: Name of the peer.
        heard: Monotonic time of its last frame.
        scopes_by_call: Cancel scopes of its running calls.
        outbox: Headers and bodies that wait to be sent in one frame.
    """

    identity: bytes
    name: str
    heard: float
    scopes_by_call: dict[int, anyio.CancelScope]
    outbox: list[bytes] = dataclasses.field(default_factory=list)

    def flush(self, channel: Channel) -> None:
        """Sends what waits as one multipart frame."""
        if self.outbox:
            frames, self.outbox = self.outbox, []
            channel.send(self.identity, *frames)


class _PartJoiner:
    """Joins the parts of all calls of a session into few frames.

    An engine gives all its streams a token in one step, so the parts of
    many calls are made within a short time.
    """

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._waiting: list[_Session] = []
        self._wanted = anyio.Event()

    def add(self, session: _Session) -> None:
        """Has a session's outbox sent within `JOIN_S`."""
        self._waiting.append(session)
        self._wanted.set()

    async def run(self) -> None:
        """Sends what waits; runs always."""
        while True:
            await self._wanted.wait()
            await anyio.sleep(JOIN_S)
            self._wanted = anyio.Event()
            waiting, self._waiting = self._waiting, []
            for session in waiting:
                session.flush(self._channel)


class Call:
    """A call that is being served.

    Attributes:
        peer_name: Name of the calling instance.
    """

    def __init__(
        self,
        channel: Channel,
        joiner: _PartJoiner,
        session: _Session,
        call_id: int,
    ) -> None:
        self.peer_name = session.name
        self._channel = channel
        self._joiner = joiner
        self._session = session
        self._call_id = call_id
        self._sequence = 0

    def send_part(self, part: Message) -> None:
        """Sends a part of the reply, the first at once, others joined."""
        head = wire.pack(wire.Kind.PART, self._call_id, self._sequence)
        self._sequence += 1
        is_empty = not self._session.outbox
        self._session.outbox += (head, encode(part))
        if self._sequence == 1:
            self._session.flush(self._channel)
        elif is_empty:
            self._joiner.add(self._session)

    def finish(self, reply: Message) -> None:
        """Sends the reply and ends the call."""
        kind = wire.Kind.REPLY
        if isinstance(reply, Failure):
            kind = wire.Kind.ERROR
        head = wire.pack(kind, self._call_id)
        self._session.outbox += (head, encode(reply))
        self._session.flush(self._channel)


class PeerServer:
    """Serves calls by handlers registered for each message type."""

    def __init__(self, address: str, keys: PeerKeys | None = None) -> None:
        """Creates the server.

        Args:
            address: IP:PORT to bind.
            keys: Keys to serve with, or None to serve everybody.
        """
        self._keys = keys
        self._address = address
        self._handlers_by_type: dict[type[Message], Handler] = {}
        self._immediate_by_type: dict[type[Message], ImmediateHandler] = {}
        self._sessions_by_identity: dict[bytes, _Session] = {}

    def handle(
        self,
        message_type: type[M],
        handler: Callable[[Call, M], Awaitable[Message]],
    ) -> None:
        """Registers the handler of a message type."""
        self._handlers_by_type[message_type] = handler

    def handle_sync(
        self, message_type: type[M], handler: Callable[[M], Message]
    ) -> None:
        """Registers the handler of a message type that never waits."""
        self._immediate_by_type[message_type] = handler

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Binds and serves until cancelled."""
        context: zmq.Context[zmq.Socket[bytes]] = zmq.Context.instance()
        async with anyio.create_task_group() as group:
            if self._keys is not None:
                await group.start(run_authenticator, context, self._keys)
            await self._serve_on(context, task_status)

    async def _serve_on(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        task_status: anyio.abc.TaskStatus[None],
    ) -> None:
        socket = context.socket(zmq.ROUTER)
        if self._keys is not None:
            self._keys.set_server(socket)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        socket.setsockopt(zmq.SNDHWM, 100_000)
        try:
            socket.bind(f"tcp://{self._address}")
        except zmq.ZMQError as error:
            socket.close()
            raise SettingsError(
                f"Cannot listen on {self._address} for peers: {error}.",
                remedy="Correct peer_address or listen_address in section "
                "[process], or stop what listens there.",
            ) from error
        channel = Channel(socket)
        try:
            async with anyio.create_task_group() as group:
                joiner = _PartJoiner(channel)
                group.start_soon(channel.watch)
                group.start_soon(joiner.run)
                group.start_soon(self._sweep)
                task_status.started()
                await self._receive(channel, joiner, group)
        finally:
            channel.close()

    async def _receive(
        self,
        channel: Channel,
        joiner: _PartJoiner,
        group: anyio.abc.TaskGroup,
    ) -> None:
        while True:
            identity, head, body = await channel.receive()
            header = wire.unpack(head)
            if header.kind == wire.Kind.HELLO:
                self._greet(channel, identity, body)
                continue
            session = self._sessions_by_identity.get(identity)
            if session is None:
                channel.send(
                    identity, wire.pack(wire.Kind.UNKNOWN_SESSION), b""
                )
                continue
            session.heard = clock.monotonic()
            if header.kind == wire.Kind.PING:
                channel.send(identity, wire.pack(wire.Kind.PONG), b"")
            elif header.kind == wire.Kind.CALL:
                call = Call(channel, joiner, session, header.call_id)
                self._start(session, call, header, body, group)
            elif header.kind == wire.Kind.CANCEL:
                scope = session.scopes_by_call.get(header.call_id)
                if scope is not None:
                    scope.cancel()

    def _greet(self, channel: Channel, identity: bytes, body: bytes) -> None:
        version, _, name = body.decode(errors="replace").partition(" ")
        if version != str(wire.PROTOCOL_VERSION):
            text = (
                f"Protocol version {version} does not match "
                f"{wire.PROTOCOL_VERSION}."
            )
            channel.send(identity, wire.pack(wire.Kind.REFUSED), text.encode())
            return
        self._sessions_by_identity[identity] = _Session(
            identity, name, clock.monotonic(), {}
        )
        channel.send(identity, wire.pack(wire.Kind.WELCOME), b"")

    def _start(
        self,
        session: _Session,
        call: Call,
        header: wire.Header,
        body: bytes,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Answers a call, or starts the task that does."""
        try:
            message = _decode(body)
            handler = self._immediate_by_type.get(type(message))
            if handler is not None:
                call.finish(handler(message))
                return
        except PlumvaneError as error:
            call.finish(failure_from_error(error))
            return
        group.start_soon(self._serve, session, call, header, message)

    async def _serve(
        self,
        session: _Session,
        call: Call,
        header: wire.Header,
        message: Message,
    ) -> None:
        with anyio.CancelScope() as scope:
            session.scopes_by_call[header.call_id] = scope
            try:
                call.finish(await self._handle(call, message))
            except PlumvaneError as error:
                call.finish(failure_from_error(error))
            finally:
                session.scopes_by_call.pop(header.call_id, None)

    async def _handle(self, call: Call, message: Message) -> Message:
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            raise ProtocolError(f"{type(message).__name__} is not served here.")
        return await handler(call, message)

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_S)
            now = clock.monotonic()
            for identity, session in list(self._sessions_by_identity.items()):
                limit_s = SESSION_IDLE_S
                if session.scopes_by_call:
                    limit_s = SESSION_SILENCE_S
                if now - session.heard < limit_s:
                    continue
                del self._sessions_by_identity[identity]
                for scope in list(session.scopes_by_call.values()):
                    scope.cancel()


def _decode(body: bytes) -> Message:
    try:
        return decode(body)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"Unreadable message: {error}.") from error

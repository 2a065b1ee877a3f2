"""Server side of the connections between peers."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import anyio.abc
import msgspec
import zmq

from plumvane import clock, events
from plumvane.errors import PlumvaneError, ProtocolError, SettingsError
from plumvane.peers import wire
from plumvane.peers.channel import Channel, limit_input
from plumvane.peers.keys import PeerKeys, run_authenticator
from plumvane.peers.messages import Failure, Message, decode, encode

__all__ = ["Call", "PeerServer", "failure_from_error"]

# Longest time for which parts of replies to one peer are collected into one
# message.
PART_BATCHING_S = 0.005
# A session without running calls expires if no frame arrives for this time.
SESSION_IDLE_TIMEOUT_S = 120.0
# A client with calls in flight sends pings. If no frame arrives for this time,
# the client is considered gone and its calls are cancelled.
SESSION_TIMEOUT_S = 10.0
EXPIRY_CHECK_INTERVAL_S = 2.0

M = TypeVar("M", bound=Message)
Handler = Callable[["Call", Any], Awaitable[Message]]
# Returns the reply without awaiting, so the call needs no task.
SyncHandler = Callable[[Any], Message]


def failure_from_error(error: PlumvaneError) -> Failure:
    """Converts an error to the message that is sent to a peer."""
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
        last_received: Monotonic time at which the last frame arrived.
        scopes_by_call_id: Cancel scopes of the running calls.
        outbox: Headers and bodies to be sent in the next multipart message.
    """

    identity: bytes
    name: str
    last_received: float
    scopes_by_call_id: dict[int, anyio.CancelScope]
    outbox: list[bytes] = dataclasses.field(default_factory=list)

    def flush(self, channel: Channel) -> None:
        """Sends the content of the outbox as one multipart message."""
        if self.outbox:
            frames, self.outbox = self.outbox, []
            channel.send(self.identity, *frames)


class _PartBatcher:
    """Batches the parts of all calls of a session into few messages.

    An engine step produces a token for each of its streams, so parts of many
    calls are sent within a short time.
    """

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._queued: list[_Session] = []
        self._part_added = anyio.Event()

    def add(self, session: _Session) -> None:
        """Schedules a flush of a session's outbox after `PART_BATCHING_S`."""
        self._queued.append(session)
        self._part_added.set()

    async def run(self) -> None:
        """Flushes the scheduled outboxes until cancelled."""
        while True:
            await self._part_added.wait()
            await anyio.sleep(PART_BATCHING_S)
            self._part_added = anyio.Event()
            queued, self._queued = self._queued, []
            for session in queued:
                session.flush(self._channel)


class Call:
    """A call that is being served.

    Attributes:
        peer_name: Name of the calling instance.
    """

    def __init__(
        self,
        channel: Channel,
        batcher: _PartBatcher,
        session: _Session,
        call_id: int,
    ) -> None:
        self.peer_name = session.name
        self._channel = channel
        self._batcher = batcher
        self._session = session
        self._call_id = call_id
        self._sequence = 0

    def send_part(self, part: Message) -> None:
        """Sends a part of the reply.

        The first part is sent immediately, later ones are batched.
        """
        header = wire.pack(wire.Kind.PART, self._call_id, self._sequence)
        self._sequence += 1
        is_empty = not self._session.outbox
        self._session.outbox += (header, encode(part))
        if self._sequence == 1:
            self._session.flush(self._channel)
        elif is_empty:
            self._batcher.add(self._session)

    def finish(self, reply: Message) -> None:
        """Sends the reply and ends the call."""
        kind = wire.Kind.REPLY
        if isinstance(reply, Failure):
            kind = wire.Kind.ERROR
        header = wire.pack(kind, self._call_id)
        self._session.outbox += (header, encode(reply))
        self._session.flush(self._channel)


class PeerServer:
    """Serves calls with the handlers registered for each message type."""

    def __init__(self, address: str, keys: PeerKeys | None = None) -> None:
        """Creates the server.

        Args:
            address: IP:PORT to bind.
            keys: Keys of this process, or None to accept all clients
                unencrypted.
        """
        self._keys = keys
        self._address = address
        self._handlers_by_type: dict[type[Message], Handler] = {}
        self._sync_handlers_by_type: dict[type[Message], SyncHandler] = {}
        self._sessions_by_identity: dict[bytes, _Session] = {}

    def handle(
        self,
        message_type: type[M],
        handler: Callable[[Call, M], Awaitable[Message]],
    ) -> None:
        """Registers the asynchronous handler of a message type."""
        self._handlers_by_type[message_type] = handler

    def handle_sync(
        self, message_type: type[M], handler: Callable[[M], Message]
    ) -> None:
        """Registers the synchronous handler of a message type.

        It runs in the receiving task, so it must not block.
        """
        self._sync_handlers_by_type[message_type] = handler

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Binds the address and serves calls until cancelled."""
        context: zmq.Context[zmq.Socket[bytes]] = zmq.Context.instance()
        async with anyio.create_task_group() as group:
            if self._keys is not None:
                await group.start(run_authenticator, context, self._keys)
            await self._serve_socket(context, task_status)

    async def _serve_socket(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        task_status: anyio.abc.TaskStatus[None],
    ) -> None:
        socket = context.socket(zmq.ROUTER)
        limit_input(socket, has_keys=self._keys is not None)
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
                "[process], or stop the program that uses this address.",
            ) from error
        channel = Channel(socket)
        try:
            async with anyio.create_task_group() as group:
                batcher = _PartBatcher(channel)
                group.start_soon(channel.watch)
                group.start_soon(batcher.run)
                group.start_soon(self._expire_sessions)
                task_status.started()
                await self._receive(channel, batcher, group)
        finally:
            channel.close()

    async def _receive(
        self,
        channel: Channel,
        batcher: _PartBatcher,
        group: anyio.abc.TaskGroup,
    ) -> None:
        while True:
            identity, *frames = await channel.receive()
            try:
                header, body = wire.split(frames)[0]
            except ProtocolError as error:
                events.log(
                    events.Event.PEER_MALFORMED,
                    peer=identity.hex(),
                    error=error.detail,
                )
                continue
            if header.kind == wire.Kind.HELLO:
                self._open_session(channel, identity, body)
                continue
            session = self._sessions_by_identity.get(identity)
            if session is None:
                channel.send(
                    identity, wire.pack(wire.Kind.UNKNOWN_SESSION), b""
                )
                continue
            session.last_received = clock.monotonic()
            if header.kind == wire.Kind.PING:
                channel.send(identity, wire.pack(wire.Kind.PONG), b"")
            elif header.kind == wire.Kind.CALL:
                call = Call(channel, batcher, session, header.call_id)
                self._start_call(session, call, header, body, group)
            elif header.kind == wire.Kind.CANCEL:
                scope = session.scopes_by_call_id.get(header.call_id)
                if scope is not None:
                    scope.cancel()

    def _open_session(
        self, channel: Channel, identity: bytes, body: bytes
    ) -> None:
        version, _, name = body.decode(errors="replace").partition(" ")
        if version != str(wire.PROTOCOL_VERSION):
            detail = (
                f"Protocol version {version} does not match "
                f"{wire.PROTOCOL_VERSION}."
            )
            channel.send(
                identity, wire.pack(wire.Kind.REFUSED), detail.encode()
            )
            return
        self._sessions_by_identity[identity] = _Session(
            identity, name, clock.monotonic(), {}
        )
        channel.send(identity, wire.pack(wire.Kind.WELCOME), b"")

    def _start_call(
        self,
        session: _Session,
        call: Call,
        header: wire.Header,
        body: bytes,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Runs a synchronous handler, or starts a task for the call."""
        try:
            message = _decode_message(body)
            handler = self._sync_handlers_by_type.get(type(message))
            if handler is not None:
                call.finish(handler(message))
                return
        except PlumvaneError as error:
            call.finish(failure_from_error(error))
            return
        except Exception as error:
            self._finish_failed(session, call, error)
            return
        group.start_soon(self._run_call, session, call, header, message)

    async def _run_call(
        self,
        session: _Session,
        call: Call,
        header: wire.Header,
        message: Message,
    ) -> None:
        with anyio.CancelScope() as scope:
            session.scopes_by_call_id[header.call_id] = scope
            try:
                call.finish(await self._dispatch(call, message))
            except PlumvaneError as error:
                call.finish(failure_from_error(error))
            except Exception as error:
                self._finish_failed(session, call, error)
            finally:
                session.scopes_by_call_id.pop(header.call_id, None)

    def _finish_failed(
        self, session: _Session, call: Call, error: Exception
    ) -> None:
        """Ends a call whose handler failed unexpectedly, and only that call."""
        events.log(
            events.Event.PEER_CALL_FAILED, peer=session.name, error=repr(error)
        )
        detail = "The call failed because of an internal error."
        call.finish(failure_from_error(ProtocolError(detail)))

    async def _dispatch(self, call: Call, message: Message) -> Message:
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            raise ProtocolError(
                f"No handler for {type(message).__name__} messages."
            )
        return await handler(call, message)

    async def _expire_sessions(self) -> None:
        while True:
            await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
            now = clock.monotonic()
            for identity, session in list(self._sessions_by_identity.items()):
                timeout_s = SESSION_IDLE_TIMEOUT_S
                if session.scopes_by_call_id:
                    timeout_s = SESSION_TIMEOUT_S
                if now - session.last_received < timeout_s:
                    continue
                del self._sessions_by_identity[identity]
                for scope in list(session.scopes_by_call_id.values()):
                    scope.cancel()


def _decode_message(body: bytes) -> Message:
    try:
        return decode(body)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"Cannot decode message: {error}.") from error

"""HTTP server on uvicorn that runs inside an anyio task group."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import select
import socket
from collections.abc import Iterator
from typing import Any

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from plumvane import events
from plumvane.errors import SettingsError

__all__ = ["HttpServer", "Tls", "bind"]

START_POLL_INTERVAL_S = 0.02
# Time within which a new connection must send a request, and a keep-alive one
# the next, in seconds.
IDLE_TIMEOUT_S = 30
# Time within which the head of a request must be complete, in seconds, and its
# largest size in bytes.
HEAD_TIMEOUT_S = 10.0
MAX_HEAD_BYTES = 262_144
# Interval in seconds in which the body of a request must progress, and by how
# many bytes; a slow caller sends thousands a second.
BODY_CHECK_INTERVAL_S = 10.0
MIN_BODY_PROGRESS_BYTES = 1_000
# When the server stops: time for which idle connections are kept, since a
# request may be on its way, and time for a head that has begun to arrive, in
# seconds.
STOP_IDLE_S = 0.2
STOP_HEAD_S = 1.0
# Longest time for accepting connections that the kernel has accepted already.
STOP_ACCEPT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """Certificate files of a TLS server.

    Attributes:
        certificate_file: Path of the PEM certificate chain.
        key_file: Path of the PEM private key.
    """

    certificate_file: str
    key_file: str


class _Connection(HttpToolsProtocol):
    """A caller's connection whose requests must arrive in bounded time.

    When the server stops, a connection on which a request is arriving stays
    open until that request is answered.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        self._timer: asyncio.TimerHandle | None = None
        self._is_head_open = False
        self._is_body_open = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._is_stopping = False

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """See base class."""
        super().connection_made(transport)
        if getattr(self.server_state, "is_stopping", False):
            self.shutdown()
        else:
            self._start_timer(IDLE_TIMEOUT_S, self._close_if_idle)

    def connection_lost(self, exc: Exception | None) -> None:
        """See base class."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """See base class; refuses a head that is too large."""
        if self._is_head_open:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._refuse(431, "The request's head is too large.")
                return
        if not self.transport.is_closing():
            super().data_received(data)
        if self._timer is None and self._is_idle():
            # Line feeds before a request do not begin one.
            self._start_timer(IDLE_TIMEOUT_S, self._close_if_idle)

    def on_message_begin(self) -> None:
        """See base class."""
        super().on_message_begin()
        self._is_head_open = True
        self._head_bytes = 0
        timeout_s = STOP_HEAD_S if self._is_stopping else HEAD_TIMEOUT_S
        self._start_timer(timeout_s, self._refuse_stalled)

    def on_headers_complete(self) -> None:
        """See base class."""
        super().on_headers_complete()
        self._is_head_open = False
        self._is_body_open = True
        self._body_bytes = 0
        if self._is_stopping and self.cycle is not None:
            self.cycle.keep_alive = False
        self._start_timer(BODY_CHECK_INTERVAL_S, self._check_body)

    def on_body(self, body: bytes) -> None:
        """See base class."""
        self._body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """See base class."""
        self._is_body_open = False
        self._stop_timer()
        super().on_message_complete()

    def shutdown(self) -> None:
        """See base class; waits for requests that are arriving."""
        self._is_stopping = True
        if not self._is_idle():
            super().shutdown()
        elif self._is_head_open:
            self._start_timer(STOP_HEAD_S, self._refuse_stalled)
        else:
            self._start_timer(STOP_IDLE_S, self._close_if_idle)

    def _start_timer(self, timeout_s: float, expire: Any) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(timeout_s, expire)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _is_idle(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    def _close_if_idle(self) -> None:
        if self._is_idle() and not self._is_head_open:
            self.transport.close()

    def _check_body(self) -> None:
        """Ends a request whose body does not progress.

        While the application does not read, the caller cannot send.
        """
        is_waiting_for_caller = not self.flow.read_paused
        if is_waiting_for_caller and self._body_bytes < MIN_BODY_PROGRESS_BYTES:
            self._refuse_stalled()
            return
        self._body_bytes = 0
        self._start_timer(BODY_CHECK_INTERVAL_S, self._check_body)

    def _refuse_stalled(self) -> None:
        if self._is_head_open and not self._is_idle():
            # The response to the request before is still being sent.
            self._start_timer(HEAD_TIMEOUT_S, self._refuse_stalled)
            return
        self._refuse(408, "The request did not arrive in time.")

    def _refuse(self, status: int, detail: str) -> None:
        """Answers a request that is incomplete, so that it has not run."""
        events.log(
            events.Event.ARRIVAL_REFUSED,
            caller=str(self.client),
            status=status,
            error=detail,
            head_bytes=self._head_bytes,
        )
        if self._is_idle() or not (
            self.cycle.response_started or self.pipeline or self._is_head_open
        ):
            self.transport.write(
                b"HTTP/1.1 %d Refused\r\ncontent-type: text/plain\r\n"
                b"content-length: %d\r\nconnection: close\r\n\r\n%b"
                % (status, len(detail), detail.encode())
            )
        self.transport.close()


class _Server(uvicorn.Server):
    """A uvicorn server without signal handlers.

    `plumvane.process` handles the signals of the process.
    """

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """See base class; first accepts the connections that wait for it.

        Closing the listening socket would reset them, though their callers may
        have sent a request.
        """
        with anyio.move_on_after(STOP_ACCEPT_S):
            while _has_waiting_connection(sockets or []):
                # Leaves the loop time to set up what it accepts.
                await anyio.sleep(START_POLL_INTERVAL_S)
        # Connections that are accepted but not set up yet learn of it so.
        self.server_state.is_stopping = True  # type: ignore[attr-defined]
        await super().shutdown(sockets)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Overrides uvicorn's handlers with a context that does nothing."""
        yield


def bind(host: str, port: int) -> socket.socket:
    """Returns a TCP socket bound to an address.

    Args:
        host: IP address.
        port: Port; 0 lets the kernel choose one.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets whose protocol number is
    # IPPROTO_TCP, not the default 0.
    bound_socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound_socket.bind((host, port))
    except OSError as error:
        bound_socket.close()
        raise SettingsError(
            f"Cannot listen on {host}:{port} for HTTP: {error.strerror}.",
            remedy="Correct the address in the settings, or stop what "
            "listens there.",
        ) from error
    return bound_socket


class HttpServer:
    """Serves one ASGI application until `stop` is called."""

    def __init__(
        self, app: Any, bound_socket: socket.socket, tls: Tls | None = None
    ) -> None:
        """Creates the server.

        Args:
            app: ASGI application.
            bound_socket: Bound socket to listen on.
            tls: Certificate files, or None for plain HTTP.
        """
        self._bound_socket = bound_socket
        config = uvicorn.Config(
            app,
            log_config=None,
            log_level="warning",
            access_log=False,
            lifespan="off",
            ws="none",
            backlog=1024,
            timeout_keep_alive=IDLE_TIMEOUT_S,
            http=_Connection,
            ssl_certfile=tls.certificate_file if tls else None,
            ssl_keyfile=tls.key_file if tls else None,
        )
        self._server = _Server(config)
        self._stopped = anyio.Event()

    async def run(self) -> None:
        """Serves until `stop` is called and the open requests have ended."""
        try:
            await self._server.serve(sockets=[self._bound_socket])
        finally:
            self._stopped.set()

    async def wait_stopped(self) -> None:
        """Waits until `run` has ended after `stop` and the last request."""
        await self._stopped.wait()

    async def wait_started(self) -> None:
        """Waits until the server accepts connections."""
        while not self._server.started:
            await anyio.sleep(START_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Makes `run` close the listening socket and drain open requests."""
        self._server.should_exit = True


def _has_waiting_connection(sockets: list[socket.socket]) -> bool:
    """Returns whether a listening socket has connections to accept."""
    poll = select.poll()
    for listening in sockets:
        poll.register(listening, select.POLLIN)
    return bool(poll.poll(0))

"""HTTP server on uvicorn that runs inside an anyio task group."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
from collections.abc import Iterator
from typing import Any

import anyio
import uvicorn

from plumvane.errors import SettingsError

__all__ = ["HttpServer", "Tls", "bind"]

START_POLL_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """Certificate files of a TLS server.

    Attributes:
        certificate_file: Path of the PEM certificate chain.
        key_file: Path of the PEM private key.
    """

    certificate_file: str
    key_file: str


class _Server(uvicorn.Server):
    """A uvicorn server without signal handlers.

    `plumvane.process` handles the signals of the process.
    """

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
            timeout_keep_alive=30,
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

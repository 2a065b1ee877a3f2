"""HTTP serving by uvicorn inside an anyio task group."""

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

DRAIN_POLL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """Files of a server's certificate.

    Attributes:
        certificate_file: Path of the PEM certificate chain.
        key_file: Path of the PEM private key.
    """

    certificate_file: str
    key_file: str


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no handlers."""
        yield


def bind(host: str, port: int) -> socket.socket:
    """Returns a TCP socket bound to an address.

    Args:
        host: IP number.
        port: Port; 0 lets the kernel choose.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets that name their protocol.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, port))
    except OSError as error:
        bound.close()
        raise SettingsError(
            f"Cannot listen on {host}:{port} for HTTP: {error.strerror}.",
            remedy="Correct the address in the settings, or stop what "
            "listens there.",
        ) from error
    return bound


class HttpServer:
    """Serves one ASGI application until it is told to stop."""

    def __init__(
        self, app: Any, bound: socket.socket, tls: Tls | None = None
    ) -> None:
        """Creates the server.

        Args:
            app: ASGI application.
            bound: Bound socket to listen on.
            tls: Certificate files, or None for plain HTTP.
        """
        self._bound = bound
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
        """Serves until `stop`, then until the open requests have ended."""
        try:
            await self._server.serve(sockets=[self._bound])
        finally:
            self._stopped.set()

    async def wait_stopped(self) -> None:
        """Waits until the last open request has ended after `stop`."""
        await self._stopped.wait()

    async def wait_started(self) -> None:
        """Waits until the server accepts connections."""
        while not self._server.started:
            await anyio.sleep(DRAIN_POLL_S)

    def stop(self) -> None:
        """Closes the listening socket and drains."""
        self._server.should_exit = True

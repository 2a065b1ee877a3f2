"""Runs a stand-in as a program."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import anyio
from absl import app, flags

from plumvane.web import HttpServer, bind

__all__ = ["StandIn", "run_app"]

_HOST = flags.DEFINE_string("host", "127.0.0.1", "Loopback address.")
_PORT = flags.DEFINE_integer("port", 0, "Port on the loopback address.")


class StandIn(Protocol):
    """An HTTP application with an optional background task."""

    def application(self) -> Any:
        """Returns the ASGI application."""

    async def run(self) -> None:
        """Runs the background task; may return at once."""


def run_app(make: Callable[[], StandIn]) -> None:
    """Serves a stand-in until the process is stopped.

    Args:
        make: Creates the stand-in; called after the flags are parsed.
    """

    async def serve() -> None:
        stand_in = make()
        server = HttpServer(
            stand_in.application(), bind(_HOST.value, _PORT.value)
        )
        async with anyio.create_task_group() as group:
            group.start_soon(stand_in.run)
            await server.run()
            group.cancel_scope.cancel()

    def main(argv: list[str]) -> None:
        del argv
        anyio.run(serve, backend_options={"use_uvloop": True})

    app.run(main)

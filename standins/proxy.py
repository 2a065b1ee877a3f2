"""Fault proxy: passes TCP connections on, or cuts, freezes or delays them.

`PUT /routes/{name}` with `{"port": P, "target": "IP:PORT"}` opens a route.
`POST /routes/{name}/faults` sets its faults:

- `mode`: `pass`; `cut` (open connections are reset, new ones refused);
  `freeze`, `freeze_in` or `freeze_out` (bytes of open connections are kept
  back in both directions, towards the target, or back from it; connections
  opened later are passed on if `new_pass` is true).
- `delay_s`: seconds by which each block of bytes is late.
"""

from __future__ import annotations

import dataclasses

import anyio
import anyio.abc
from absl import flags
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route as HttpRoute

from standins.program import run_app

__all__ = ["ProxyApp", "main"]

_TARGET_HOST = flags.DEFINE_string(
    "route_host", "127.0.0.1", "Loopback address that the routes listen on."
)

BLOCK_BYTES = 65_536
THAW_POLL_S = 0.02


@dataclasses.dataclass(slots=True)
class _Faults:
    """Faults of the connections opened under them."""

    mode: str = "pass"
    delay_s: float = 0.0


class _Route:
    """One route and its open connections."""

    def __init__(self, target: str) -> None:
        self.host, _, port = target.rpartition(":")
        self.port = int(port)
        self.faults = _Faults()
        self.new_faults = self.faults
        self.scopes: set[anyio.CancelScope] = set()

    def set_faults(self, mode: str, delay_s: float, new_pass: bool) -> None:
        """Sets the faults of open connections and of later ones."""
        self.faults.mode = mode
        self.faults.delay_s = delay_s
        if new_pass:
            self.new_faults = self.faults = _Faults()
        if mode == "cut":
            for scope in list(self.scopes):
                scope.cancel()

    async def serve(self, client: anyio.abc.SocketStream) -> None:
        """Passes one connection on."""
        faults = self.new_faults
        async with client:
            if faults.mode == "cut":
                return
            try:
                target = await anyio.connect_tcp(self.host, self.port)
            except OSError:
                return
            async with target:
                with anyio.CancelScope() as scope:
                    self.scopes.add(scope)
                    try:
                        async with anyio.create_task_group() as group:
                            group.start_soon(
                                _pass_on, client, target, faults, "in", scope
                            )
                            group.start_soon(
                                _pass_on, target, client, faults, "out", scope
                            )
                    finally:
                        self.scopes.discard(scope)


class ProxyApp:
    """Control interface of the proxy."""

    def __init__(self, host: str) -> None:
        """Creates a proxy without routes.

        Args:
            host: Loopback address that the routes listen on.
        """
        self._host = host
        self._routes_by_name: dict[str, _Route] = {}
        self._ports_by_name: dict[str, int] = {}
        self._opened = anyio.Event()

    async def run(self) -> None:
        """Listens for the routes."""
        async with anyio.create_task_group() as group:
            listening: set[str] = set()
            while True:
                self._opened = anyio.Event()
                for name in self._ports_by_name.keys() - listening:
                    listening.add(name)
                    listener = await anyio.create_tcp_listener(
                        local_host=self._host,
                        local_port=self._ports_by_name[name],
                    )
                    route = self._routes_by_name[name]
                    group.start_soon(listener.serve, route.serve)
                await self._opened.wait()

    def application(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                HttpRoute("/routes/{name}", self.put, methods=["PUT"]),
                HttpRoute(
                    "/routes/{name}/faults", self.set_faults, methods=["POST"]
                ),
            ]
        )

    async def put(self, http: Request) -> Response:
        """Opens a route."""
        wanted = await http.json()
        name = http.path_params["name"]
        self._routes_by_name[name] = _Route(wanted["target"])
        self._ports_by_name[name] = int(wanted["port"])
        self._opened.set()
        return JSONResponse({})

    async def set_faults(self, http: Request) -> Response:
        """Sets a route's faults."""
        wanted = await http.json()
        self._routes_by_name[http.path_params["name"]].set_faults(
            wanted.get("mode", "pass"),
            float(wanted.get("delay_s", 0.0)),
            bool(wanted.get("new_pass", False)),
        )
        return JSONResponse({})


async def _pass_on(
    source: anyio.abc.SocketStream,
    sink: anyio.abc.SocketStream,
    faults: _Faults,
    direction: str,
    scope: anyio.CancelScope,
) -> None:
    try:
        while True:
            data = await source.receive(BLOCK_BYTES)
            if faults.delay_s:
                await anyio.sleep(faults.delay_s)
            while faults.mode in ("freeze", f"freeze_{direction}"):
                await anyio.sleep(THAW_POLL_S)
            await sink.send(data)
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
        scope.cancel()


def main() -> None:
    """Runs the stand-in."""
    run_app(lambda: ProxyApp(_TARGET_HOST.value))


if __name__ == "__main__":
    main()

"""Fault proxy: forwards TCP connections, or cuts, freezes or delays them.

`PUT /routes/{name}` with `{"port": P, "target": "IP:PORT"}` opens a route.
`POST /routes/{name}/faults` sets its faults:

- `mode`: `pass`; `cut` (open connections are reset, new ones refused);
  `freeze`, `freeze_in` or `freeze_out` (bytes of open connections are held
  back in both directions, towards the target, or from the target; connections
  opened later are forwarded if `new_pass` is true).
- `delay_s`: seconds by which each received block of bytes is delayed.
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

_ROUTE_HOST = flags.DEFINE_string(
    "route_host", "127.0.0.1", "Loopback address that the routes listen on."
)

READ_BYTES = 65_536
FREEZE_POLL_S = 0.02


@dataclasses.dataclass(slots=True)
class _Faults:
    """Faults shared by the connections that were opened while they were set."""

    mode: str = "pass"
    delay_s: float = 0.0


class _Route:
    """A route and its open connections."""

    def __init__(self, target: str) -> None:
        self.host, _, port = target.rpartition(":")
        self.port = int(port)
        self.faults = _Faults()
        self.faults_of_new_connections = self.faults
        self.scopes: set[anyio.CancelScope] = set()

    def set_faults(self, mode: str, delay_s: float, new_pass: bool) -> None:
        """Sets the faults of open connections, and of later ones.

        With `new_pass`, later connections have no faults.
        """
        self.faults.mode = mode
        self.faults.delay_s = delay_s
        if new_pass:
            self.faults_of_new_connections = self.faults = _Faults()
        if mode == "cut":
            for scope in list(self.scopes):
                scope.cancel()

    async def serve(self, client: anyio.abc.SocketStream) -> None:
        """Forwards one connection until either side closes it or it is cut."""
        faults = self.faults_of_new_connections
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
                                _relay, client, target, faults, "in", scope
                            )
                            group.start_soon(
                                _relay, target, client, faults, "out", scope
                            )
                    finally:
                        self.scopes.discard(scope)


class ProxyApp:
    """The proxy and its control API."""

    def __init__(self, host: str) -> None:
        """Creates a proxy without routes.

        Args:
            host: Loopback address that the routes listen on.
        """
        self._host = host
        self._routes_by_name: dict[str, _Route] = {}
        self._ports_by_name: dict[str, int] = {}
        self._route_added = anyio.Event()

    async def run(self) -> None:
        """Listens on the port of each route, including routes added later."""
        async with anyio.create_task_group() as group:
            listening: set[str] = set()
            while True:
                self._route_added = anyio.Event()
                for name in self._ports_by_name.keys() - listening:
                    listening.add(name)
                    listener = await anyio.create_tcp_listener(
                        local_host=self._host,
                        local_port=self._ports_by_name[name],
                    )
                    route = self._routes_by_name[name]
                    group.start_soon(listener.serve, route.serve)
                await self._route_added.wait()

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
        """Adds a route."""
        body = await http.json()
        name = http.path_params["name"]
        self._routes_by_name[name] = _Route(body["target"])
        self._ports_by_name[name] = int(body["port"])
        self._route_added.set()
        return JSONResponse({})

    async def set_faults(self, http: Request) -> Response:
        """Sets a route's faults."""
        body = await http.json()
        self._routes_by_name[http.path_params["name"]].set_faults(
            body.get("mode", "pass"),
            float(body.get("delay_s", 0.0)),
            bool(body.get("new_pass", False)),
        )
        return JSONResponse({})


async def _relay(
    source: anyio.abc.SocketStream,
    destination: anyio.abc.SocketStream,
    faults: _Faults,
    direction: str,
    scope: anyio.CancelScope,
) -> None:
    try:
        while True:
            data = await source.receive(READ_BYTES)
            if faults.delay_s:
                await anyio.sleep(faults.delay_s)
            while faults.mode in ("freeze", f"freeze_{direction}"):
                await anyio.sleep(FREEZE_POLL_S)
            await destination.send(data)
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
        scope.cancel()


def main() -> None:
    """Runs the stand-in."""
    run_app(lambda: ProxyApp(_ROUTE_HOST.value))


if __name__ == "__main__":
    main()

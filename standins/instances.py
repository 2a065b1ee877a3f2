"""Stand-in for the platform's list of live and leaving instances.

`PUT /instances/{name}` and `DELETE /instances/{name}` change the list;
`GET /instances` returns it as it was `--lag_s` seconds ago.
"""

from __future__ import annotations

import collections
import copy
import hashlib
from typing import Any

from absl import flags
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from plumvane import clock
from standins.program import run_app

__all__ = ["InstancesApp", "main"]

_LAG_S = flags.DEFINE_float(
    "lag_s", 0.5, "Seconds by which the list lags behind."
)


class InstancesApp:
    """Keeps the list and its earlier states."""

    def __init__(self, lag_s: float) -> None:
        """Creates an empty list.

        Args:
            lag_s: Seconds by which the returned list lags behind.
        """
        self._lag_s = lag_s
        self._current: dict[str, dict[str, Any]] = {}
        self._visible: dict[str, dict[str, Any]] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._history: collections.deque[
            tuple[float, dict[str, dict[str, Any]]]
        ] = collections.deque()

    async def run(self) -> None:
        """Returns at once; there is no background work."""

    def application(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/instances", self.show, methods=["GET"]),
                Route("/counts", self.counts, methods=["GET"]),
                Route("/instances/{name}", self.put, methods=["PUT"]),
                Route("/instances/{name}", self.delete, methods=["DELETE"]),
            ]
        )

    async def show(self, http: Request) -> Response:
        """Returns the list as it was `lag_s` ago; honours `if-none-match`."""
        now = clock.monotonic()
        while self._history and self._history[0][0] + self._lag_s <= now:
            self._visible = self._history.popleft()[1]
        response = JSONResponse({"instances": list(self._visible.values())})
        etag = f'"{hashlib.blake2b(response.body, digest_size=8).hexdigest()}"'
        if http.headers.get("if-none-match") == etag:
            self._counts["unchanged"] += 1
            return Response(status_code=304, headers={"etag": etag})
        self._counts["sent"] += 1
        response.headers["etag"] = etag
        return response

    async def counts(self, http: Request) -> Response:
        """Returns how often the list was sent, and how often unchanged."""
        return JSONResponse(dict(self._counts))

    async def put(self, http: Request) -> Response:
        """Adds or changes an instance."""
        self._current[http.path_params["name"]] = await http.json()
        self._record_state()
        return Response()

    async def delete(self, http: Request) -> Response:
        """Removes an instance."""
        self._current.pop(http.path_params["name"], None)
        self._record_state()
        return Response()

    def _record_state(self) -> None:
        self._history.append((clock.monotonic(), copy.deepcopy(self._current)))


def main() -> None:
    """Runs the stand-in."""
    run_app(lambda: InstancesApp(_LAG_S.value))


if __name__ == "__main__":
    main()

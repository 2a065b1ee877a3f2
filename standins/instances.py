"""Stand-in of the platform's list of live and leaving instances.

`PUT /instances/{name}` and `DELETE /instances/{name}` change the truth;
`GET /instances` shows it as it was `--lag_s` ago.
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

_LAG_S = flags.DEFINE_float("lag_s", 0.5, "Seconds that the list lags.")


class InstancesApp:
    """Keeps the list and its past states."""

    def __init__(self, lag_s: float) -> None:
        """Creates an empty list.

        Args:
            lag_s: Seconds that the shown list lags behind the truth.
        """
        self._lag_s = lag_s
        self._truth: dict[str, dict[str, Any]] = {}
        self._shown: dict[str, dict[str, Any]] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._past: collections.deque[
            tuple[float, dict[str, dict[str, Any]]]
        ] = collections.deque()

    async def run(self) -> None:
        """Has no work beside the requests."""

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
        """Serves the list as it was."""
        now = clock.monotonic()
        while self._past and self._past[0][0] + self._lag_s <= now:
            self._shown = self._past.popleft()[1]
        answer = JSONResponse({"instances": list(self._shown.values())})
        tag = f'"{hashlib.blake2b(answer.body, digest_size=8).hexdigest()}"'
        if http.headers.get("if-none-match") == tag:
            self._counts["unchanged"] += 1
            return Response(status_code=304, headers={"etag": tag})
        self._counts["sent"] += 1
        answer.headers["etag"] = tag
        return answer

    async def counts(self, http: Request) -> Response:
        """Serves how often the list was sent, and found unchanged."""
        return JSONResponse(dict(self._counts))

    async def put(self, http: Request) -> Response:
        """Adds or changes an instance."""
        self._truth[http.path_params["name"]] = await http.json()
        self._remember()
        return Response()

    async def delete(self, http: Request) -> Response:
        """Removes an instance."""
        self._truth.pop(http.path_params["name"], None)
        self._remember()
        return Response()

    def _remember(self) -> None:
        self._past.append((clock.monotonic(), copy.deepcopy(self._truth)))


def main() -> None:
    """Runs the stand-in."""
    run_app(lambda: InstancesApp(_LAG_S.value))


if __name__ == "__main__":
    main()

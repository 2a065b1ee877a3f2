"""Stand-in for a plain service that counts executions by idempotency key."""

from __future__ import annotations

import collections

import anyio
from absl import flags
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.program import run_app

__all__ = ["ServiceApp", "main"]

_DELAY_S = flags.DEFINE_float("delay_s", 0.0, "Seconds that each call takes.")


class ServiceApp:
    """Executes calls and counts the executions."""

    def __init__(self, delay_s: float) -> None:
        """Creates the service.

        Args:
            delay_s: Seconds that each call takes.
        """
        self._delay_s = delay_s
        self._executions_by_key: collections.Counter[str] = (
            collections.Counter()
        )
        self._executions_by_body: collections.Counter[str] = (
            collections.Counter()
        )

    async def run(self) -> None:
        """Returns at once; there is no background work."""

    def application(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/call", self.call, methods=["POST"]),
                Route("/executions", self.executions, methods=["GET"]),
            ]
        )

    async def call(self, http: Request) -> Response:
        """Executes a call."""
        body = (await http.body()).decode()
        key = http.headers.get("idempotency-key", "")
        self._executions_by_key[key] += 1
        self._executions_by_body[body] += 1
        if self._delay_s:
            await anyio.sleep(self._delay_s)
        return JSONResponse({"key": key, "echo": body})

    async def executions(self, http: Request) -> Response:
        """Returns the number of executions by idempotency key and by body."""
        return JSONResponse(
            {
                "by_key": dict(self._executions_by_key),
                "by_body": dict(self._executions_by_body),
            }
        )


def main() -> None:
    """Runs the stand-in."""
    run_app(lambda: ServiceApp(_DELAY_S.value))


if __name__ == "__main__":
    main()

"""Stand-in of the platform's store, over HTTP.

`POST /faults` sets faults: `down` (answers 503), `delay_s`, `lose_answers`
(how many writes take effect but answer 503) and `forget_history` (watches
from before must list again).
"""

from __future__ import annotations

import base64
import collections

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from plumvane import clock
from plumvane.errors import (
    BodyTooLargeError,
    ConflictError,
    HistoryLostError,
    NotFoundError,
)
from plumvane.store.base import WatchResult
from plumvane.store.memory import MemoryStore
from standins.program import run_app

__all__ = ["StoreApp", "main"]


class StoreApp:
    """Serves a `MemoryStore` and counts its calls."""

    def __init__(self) -> None:
        self._store = MemoryStore()
        self._counts: collections.Counter[str] = collections.Counter()
        self._down = False
        self._delay_s = 0.0
        self._lose_answers = 0

    async def run(self) -> None:
        """Has no work beside the requests."""

    def application(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/keys/{key:path}", self.get, methods=["GET"]),
                Route("/keys/{key:path}", self.put, methods=["PUT"]),
                Route("/keys/{key:path}", self.delete, methods=["DELETE"]),
                Route("/list", self.list, methods=["GET"]),
                Route("/watch", self.watch, methods=["GET"]),
                Route("/leases", self.grant, methods=["POST"]),
                Route("/leases/{lease}/renew", self.renew, methods=["POST"]),
                Route("/leases/{lease}", self.revoke, methods=["DELETE"]),
                Route("/faults", self.faults, methods=["POST"]),
                Route("/counts", self.counts, methods=["GET"]),
            ]
        )

    async def get(self, http: Request) -> Response:
        """Serves a read."""
        if await self._fails("read"):
            return Response(status_code=503)
        record = await self._store.get(http.path_params["key"])
        if record is None:
            return Response(status_code=404)
        return Response(
            record.value, headers={"revision": str(record.revision)}
        )

    async def put(self, http: Request) -> Response:
        """Serves a conditional write."""
        value = await http.body()
        if await self._fails("write"):
            return Response(status_code=503)
        try:
            revision = await self._store.put(
                http.path_params["key"],
                value,
                expected_revision=_expected(http),
                lease_id=http.headers.get("lease-id"),
            )
        except BodyTooLargeError:
            return Response(status_code=413)
        except ConflictError:
            return Response(status_code=409)
        except NotFoundError:
            return Response(status_code=404)
        return self._answer(Response(headers={"revision": str(revision)}))

    async def delete(self, http: Request) -> Response:
        """Serves a conditional delete."""
        if await self._fails("write"):
            return Response(status_code=503)
        try:
            await self._store.delete(
                http.path_params["key"], expected_revision=_expected(http)
            )
        except ConflictError:
            return Response(status_code=409)
        return self._answer(Response())

    async def list(self, http: Request) -> Response:
        """Serves all records below a prefix."""
        if await self._fails("read"):
            return Response(status_code=503)
        limit = http.query_params.get("limit")
        return _records(
            await self._store.list(
                http.query_params["prefix"],
                after_key=http.query_params.get("after_key", ""),
                limit=None if limit is None else int(limit),
            )
        )

    async def watch(self, http: Request) -> Response:
        """Serves changes below a prefix as a long poll."""
        if await self._fails("watch"):
            return Response(status_code=503)
        deadline = clock.monotonic() + float(http.query_params["wait_s"])
        while True:
            step = min(deadline, clock.monotonic() + 0.5)
            try:
                result = await self._store.watch(
                    http.query_params["prefix"],
                    int(http.query_params["after"]),
                    deadline=step,
                )
            except HistoryLostError:
                return Response(status_code=410)
            if self._down:
                return Response(status_code=503)
            if result.records or clock.monotonic() >= deadline:
                return _records(result)

    async def grant(self, http: Request) -> Response:
        """Serves a new lease."""
        if await self._fails("write"):
            return Response(status_code=503)
        lease = await self._store.grant_lease(float(http.query_params["ttl_s"]))
        return self._answer(JSONResponse({"lease_id": lease.lease_id}))

    async def renew(self, http: Request) -> Response:
        """Serves a renewal."""
        if await self._fails("write"):
            return Response(status_code=503)
        try:
            lease = await self._store.renew_lease(http.path_params["lease"])
        except NotFoundError:
            return Response(status_code=404)
        left_s = lease.deadline - clock.monotonic()
        return self._answer(JSONResponse({"ttl_s": left_s}))

    async def revoke(self, http: Request) -> Response:
        """Serves the end of a lease."""
        if await self._fails("write"):
            return Response(status_code=503)
        await self._store.revoke_lease(http.path_params["lease"])
        return self._answer(Response())

    async def faults(self, http: Request) -> Response:
        """Sets faults."""
        wanted = await http.json()
        self._down = bool(wanted.get("down", self._down))
        self._delay_s = float(wanted.get("delay_s", self._delay_s))
        self._lose_answers = int(wanted.get("lose_answers", self._lose_answers))
        if wanted.get("forget_history"):
            self._store.forget_history()
        return JSONResponse({})

    async def counts(self, http: Request) -> Response:
        """Serves how many calls of each kind came."""
        return JSONResponse(dict(self._counts))

    async def _fails(self, kind: str) -> bool:
        self._counts[kind] += 1
        if self._delay_s:
            await anyio.sleep(self._delay_s)
        return self._down

    def _answer(self, response: Response) -> Response:
        if self._lose_answers > 0:
            self._lose_answers -= 1
            return Response(status_code=503)
        return response


def _expected(http: Request) -> int | None:
    text = http.headers.get("expected-revision")
    return None if text is None else int(text)


def _records(result: WatchResult) -> Response:
    return JSONResponse(
        {
            "revision": result.revision,
            "records": [
                {
                    "key": record.key,
                    "value": base64.b64encode(record.value).decode(),
                    "revision": record.revision,
                    "deleted": record.deleted,
                }
                for record in result.records
            ],
        }
    )


def main() -> None:
    """Runs the stand-in."""
    run_app(lambda: StoreApp())


if __name__ == "__main__":
    main()

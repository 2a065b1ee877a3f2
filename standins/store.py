"""Stand-in for the platform's store, over HTTP.

`POST /faults` sets faults: `down` (all calls get 503), `delay_s`,
`lose_answers` (the number of writes that take effect but get 503) and
`forget_history` (the change history is dropped, so that earlier watches must
list again).
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
    """Serves a `MemoryStore` with faults and counts the calls."""

    def __init__(self) -> None:
        self._store = MemoryStore()
        self._counts: collections.Counter[str] = collections.Counter()
        self._down = False
        self._delay_s = 0.0
        self._answers_to_lose = 0

    async def run(self) -> None:
        """Returns at once; there is no background work."""

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
        """Returns the record of a key."""
        if await self._is_refused("read"):
            return Response(status_code=503)
        record = await self._store.get(http.path_params["key"])
        if record is None:
            return Response(status_code=404)
        return Response(
            record.value, headers={"revision": str(record.revision)}
        )

    async def put(self, http: Request) -> Response:
        """Writes a record if its revision is as expected."""
        value = await http.body()
        if await self._is_refused("write"):
            return Response(status_code=503)
        try:
            revision = await self._store.put(
                http.path_params["key"],
                value,
                expected_revision=_expected_revision(http),
                lease_id=http.headers.get("lease-id"),
            )
        except BodyTooLargeError:
            return Response(status_code=413)
        except ConflictError:
            return Response(status_code=409)
        except NotFoundError:
            return Response(status_code=404)
        return self._apply_answer_faults(
            Response(headers={"revision": str(revision)})
        )

    async def delete(self, http: Request) -> Response:
        """Deletes a record if its revision is as expected."""
        if await self._is_refused("write"):
            return Response(status_code=503)
        try:
            await self._store.delete(
                http.path_params["key"],
                expected_revision=_expected_revision(http),
            )
        except ConflictError:
            return Response(status_code=409)
        return self._apply_answer_faults(Response())

    async def list(self, http: Request) -> Response:
        """Lists the records below a prefix."""
        if await self._is_refused("read"):
            return Response(status_code=503)
        limit = http.query_params.get("limit")
        return _records_response(
            await self._store.list(
                http.query_params["prefix"],
                after_key=http.query_params.get("after_key", ""),
                limit=None if limit is None else int(limit),
            )
        )

    async def watch(self, http: Request) -> Response:
        """Returns changes below a prefix, by long polling."""
        if await self._is_refused("watch"):
            return Response(status_code=503)
        deadline = clock.monotonic() + float(http.query_params["wait_s"])
        while True:
            poll_deadline = min(deadline, clock.monotonic() + 0.5)
            try:
                result = await self._store.watch(
                    http.query_params["prefix"],
                    int(http.query_params["after"]),
                    deadline=poll_deadline,
                )
            except HistoryLostError:
                return Response(status_code=410)
            if self._down:
                return Response(status_code=503)
            if result.records or clock.monotonic() >= deadline:
                return _records_response(result)

    async def grant(self, http: Request) -> Response:
        """Grants a lease."""
        if await self._is_refused("write"):
            return Response(status_code=503)
        lease = await self._store.grant_lease(float(http.query_params["ttl_s"]))
        return self._apply_answer_faults(
            JSONResponse({"lease_id": lease.lease_id})
        )

    async def renew(self, http: Request) -> Response:
        """Renews a lease."""
        if await self._is_refused("write"):
            return Response(status_code=503)
        try:
            lease = await self._store.renew_lease(http.path_params["lease"])
        except NotFoundError:
            return Response(status_code=404)
        remaining_s = lease.deadline - clock.monotonic()
        return self._apply_answer_faults(JSONResponse({"ttl_s": remaining_s}))

    async def revoke(self, http: Request) -> Response:
        """Revokes a lease."""
        if await self._is_refused("write"):
            return Response(status_code=503)
        await self._store.revoke_lease(http.path_params["lease"])
        return self._apply_answer_faults(Response())

    async def faults(self, http: Request) -> Response:
        """Sets faults; see the module's description."""
        body = await http.json()
        self._down = bool(body.get("down", self._down))
        self._delay_s = float(body.get("delay_s", self._delay_s))
        self._answers_to_lose = int(
            body.get("lose_answers", self._answers_to_lose)
        )
        if body.get("forget_history"):
            self._store.forget_history()
        return JSONResponse({})

    async def counts(self, http: Request) -> Response:
        """Returns the number of calls of each kind."""
        return JSONResponse(dict(self._counts))

    async def _is_refused(self, kind: str) -> bool:
        """Counts and delays a call; returns whether it gets status 503."""
        self._counts[kind] += 1
        if self._delay_s:
            await anyio.sleep(self._delay_s)
        return self._down

    def _apply_answer_faults(self, response: Response) -> Response:
        """Returns a write's response, or status 503 if it is to be lost."""
        if self._answers_to_lose > 0:
            self._answers_to_lose -= 1
            return Response(status_code=503)
        return response


def _expected_revision(http: Request) -> int | None:
    text = http.headers.get("expected-revision")
    return None if text is None else int(text)


def _records_response(result: WatchResult) -> Response:
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

"""Stand-in of the users' platform store, over its published HTTP calls."""

from __future__ import annotations

import base64
import json
from typing import Any

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
from plumvane.store.base import Record, Write
from plumvane.store.memory import MemoryStore
from standins.program import run_app

__all__ = ["PlatformStoreApp", "main"]

PAGE = 50


class PlatformStoreApp:
    """Serves a `MemoryStore` in the platform's words.

    Attributes:
        store: What it serves.
    """

    def __init__(self) -> None:
        self.store = MemoryStore()
        self._lease_ids_by_number: dict[int, str] = {}
        self._refusal = 0

    async def run(self) -> None:
        """Has no work beside the requests."""

    def application(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/kv-key", self.key),
                Route("/v1/kv-range", self.range),
                Route("/v1/kv-watch", self.watch),
                Route("/v1/kv-txn", self.transact, methods=["POST"]),
                Route("/v1/kv-lease", self.grant, methods=["POST"]),
                Route("/v1/kv-keep/{lease:int}", self.keep, methods=["POST"]),
                Route(
                    "/v1/kv-lease-end/{lease:int}",
                    self.end_lease,
                    methods=["DELETE"],
                ),
                Route("/faults", self.faults, methods=["POST"]),
            ]
        )

    async def faults(self, http: Request) -> Response:
        """Sets `refusal`, a status for all calls, or forgets the history."""
        wanted = json.loads(await http.body())
        self._refusal = wanted.get("refusal", 0)
        if wanted.get("forget_history"):
            self.store.forget_history()
        return Response()

    async def key(self, http: Request) -> Response:
        """Serves one key."""
        if self._refusal:
            return Response(status_code=self._refusal)
        record = await self.store.get(http.query_params["key"])
        if record is None:
            return Response(status_code=404)
        revision = (await self.store.list("")).revision
        return JSONResponse({**_item(record), "store-revision": revision})

    async def range(self, http: Request) -> Response:
        """Serves a page of keys below a prefix."""
        if self._refusal:
            return Response(status_code=self._refusal)
        found = await self.store.list(
            http.query_params["path-prefix"],
            after_key=http.query_params.get("after", ""),
        )
        return JSONResponse(
            {
                "items": [_item(record) for record in found.records[:PAGE]],
                "has-more": len(found.records) > PAGE,
                "store-revision": found.revision,
            }
        )

    async def watch(self, http: Request) -> Response:
        """Serves changes below a prefix as a long poll."""
        if self._refusal:
            return Response(status_code=self._refusal)
        wait_s = int(http.query_params["wait-ms"]) / 1000
        try:
            found = await self.store.watch(
                http.query_params["path-prefix"],
                int(http.query_params["after"]),
                deadline=clock.monotonic() + wait_s,
            )
        except HistoryLostError:
            return Response(status_code=410)
        rows = [
            {"key": r.key, "revision": r.revision, "tombstone": True}
            if r.deleted
            else _item(r)
            for r in found.records
        ]
        return JSONResponse({"events": rows, "store-revision": found.revision})

    async def transact(self, http: Request) -> Response:
        """Serves a transaction."""
        body = json.loads(await http.body())
        if self._refusal:
            return Response(status_code=self._refusal)
        writes = [
            Write(
                row["key"],
                base64.b64decode(row["value"], validate=True),
                self._lease_ids_by_number.get(row.get("lease", 0)),
            )
            for row in body["writes"]
        ]
        if any(
            row.get("lease", 0) not in (0, *self._lease_ids_by_number)
            for row in body["writes"]
        ):
            return Response(status_code=404)
        writes += [Write(key, None) for key in body["remove"]]
        expected = {r["key"]: r["revision"] for r in body["expected-rev"]}
        try:
            revision = await self.store.transact(
                writes, expected_by_key=expected
            )
        except ConflictError:
            return JSONResponse({"items": []}, status_code=412)
        except NotFoundError:
            return Response(status_code=404)
        except BodyTooLargeError:
            return Response(status_code=413)
        return JSONResponse({"revision": revision})

    async def grant(self, http: Request) -> Response:
        """Serves a new lease."""
        ttl_ms = json.loads(await http.body())["ttl-ms"]
        lease = await self.store.grant_lease(ttl_ms / 1000)
        number = len(self._lease_ids_by_number) + 1
        self._lease_ids_by_number[number] = lease.lease_id
        return JSONResponse({"lease": number, "ttl-ms": ttl_ms})

    async def keep(self, http: Request) -> Response:
        """Serves the renewal of a lease."""
        lease_id = self._lease_ids_by_number.get(http.path_params["lease"], "")
        try:
            lease = await self.store.renew_lease(lease_id)
        except NotFoundError:
            return Response(status_code=404)
        ttl_ms = round(clock.remaining(lease.deadline) * 1000)
        return JSONResponse({"ttl-ms": ttl_ms})

    async def end_lease(self, http: Request) -> Response:
        """Serves the end of a lease."""
        lease_id = self._lease_ids_by_number.get(http.path_params["lease"], "")
        await self.store.revoke_lease(lease_id)
        return Response()


def _item(record: Record) -> dict[str, Any]:
    return {
        "key": record.key,
        "value": base64.b64encode(record.value).decode(),
        "revision": record.revision,
        "create-rev": record.revision,
        "lease": 0,
    }


def main() -> None:
    """Runs the program."""
    run_app(PlatformStoreApp)


if __name__ == "__main__":
    main()

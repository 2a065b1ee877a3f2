"""Stand-in for the users' platform store, with its published HTTP API."""

from __future__ import annotations

import base64
import json
import random
from collections.abc import Awaitable, Callable, MutableMapping
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

PAGE_SIZE = 50

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


class PlatformStoreApp:
    """Serves a `MemoryStore` over the platform's HTTP API.

    Attributes:
        store: The store that it serves.
    """

    def __init__(self) -> None:
        self.store = MemoryStore()
        self._lease_ids_by_number: dict[int, str] = {}
        self._refusal_status = 0
        self._loss_share = 0.0
        self._loss_rng = random.Random()

    async def run(self) -> None:
        """Returns at once; there is no background work."""

    def application(self) -> Callable[[Message, Receive, Send], Any]:
        """Returns the ASGI application."""
        app = self._routes()

        async def serve(scope: Message, receive: Receive, send: Send) -> None:
            if scope["type"] == "http" and scope["path"] != "/faults":
                await self._serve_or_lose(app, scope, receive, send)
            else:
                await app(scope, receive, send)

        return serve

    async def _serve_or_lose(
        self, app: Starlette, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Serves a call; its response may be lost when it is due."""

        async def send_or_lose(message: Message) -> None:
            is_start = message["type"] == "http.response.start"
            if is_start and self._loss_rng.random() < self._loss_share:
                # The connection returns nothing further.
                while (await receive())["type"] != "http.disconnect":
                    pass
            await send(message)

        await app(scope, receive, send_or_lose)

    def _routes(self) -> Starlette:
        return Starlette(
            routes=[
                Route("/v1/kv-key", self.key),
                Route("/v1/kv-range", self.range),
                Route("/v1/kv-watch", self.watch),
                Route("/v1/kv-txn", self.transact, methods=["POST"]),
                Route("/v1/kv-lease", self.grant, methods=["POST"]),
                Route("/v1/kv-keep/{lease:int}", self.renew, methods=["POST"]),
                Route(
                    "/v1/kv-lease-end/{lease:int}",
                    self.revoke,
                    methods=["DELETE"],
                ),
                Route("/faults", self.faults, methods=["POST"]),
            ]
        )

    async def faults(self, http: Request) -> Response:
        """Sets the faults; those that are not named end.

        `refusal` is the status of refused calls, `loss` the share of lost
        responses, drawn from `seed`, and `forget_history` drops the history.
        """
        body = json.loads(await http.body())
        self._refusal_status = body.get("refusal", 0)
        self._loss_share = body.get("loss", 0.0)
        if "seed" in body:
            self._loss_rng.seed(body["seed"])
        if body.get("forget_history"):
            self.store.forget_history()
        return Response()

    async def key(self, http: Request) -> Response:
        """Returns the record of a key."""
        if self._refusal_status:
            return Response(status_code=self._refusal_status)
        record = await self.store.get(http.query_params["key"])
        if record is None:
            return Response(status_code=404)
        revision = (await self.store.list("")).revision
        return JSONResponse({**_item(record), "store-revision": revision})

    async def range(self, http: Request) -> Response:
        """Returns a page of the records below a prefix."""
        if self._refusal_status:
            return Response(status_code=self._refusal_status)
        result = await self.store.list(
            http.query_params["path-prefix"],
            after_key=http.query_params.get("after", ""),
        )
        return JSONResponse(
            {
                "items": [
                    _item(record) for record in result.records[:PAGE_SIZE]
                ],
                "has-more": len(result.records) > PAGE_SIZE,
                "store-revision": result.revision,
            }
        )

    async def watch(self, http: Request) -> Response:
        """Returns changes below a prefix, by long polling."""
        if self._refusal_status:
            return Response(status_code=self._refusal_status)
        wait_s = int(http.query_params["wait-ms"]) / 1000
        try:
            result = await self.store.watch(
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
            for r in result.records
        ]
        return JSONResponse({"events": rows, "store-revision": result.revision})

    async def transact(self, http: Request) -> Response:
        """Commits a transaction of conditional writes and removals."""
        body = json.loads(await http.body())
        if self._refusal_status:
            return Response(status_code=self._refusal_status)
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
        """Grants a lease."""
        ttl_ms = json.loads(await http.body())["ttl-ms"]
        lease = await self.store.grant_lease(ttl_ms / 1000)
        number = len(self._lease_ids_by_number) + 1
        self._lease_ids_by_number[number] = lease.lease_id
        return JSONResponse({"lease": number, "ttl-ms": ttl_ms})

    async def renew(self, http: Request) -> Response:
        """Renews a lease."""
        lease_id = self._lease_ids_by_number.get(http.path_params["lease"], "")
        try:
            lease = await self.store.renew_lease(lease_id)
        except NotFoundError:
            return Response(status_code=404)
        ttl_ms = round(clock.remaining(lease.deadline) * 1000)
        return JSONResponse({"ttl-ms": ttl_ms})

    async def revoke(self, http: Request) -> Response:
        """Revokes a lease."""
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
    """Runs the stand-in."""
    run_app(PlatformStoreApp)


if __name__ == "__main__":
    main()

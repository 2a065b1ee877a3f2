"""HTTP API for operators: fleet document, audit trail and instances."""

from __future__ import annotations

import json

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from plumvane.entry.fields import base_revision, bearer_token, read_body
from plumvane.entry.problems import Handler
from plumvane.entry.status import FleetStatus
from plumvane.errors import (
    ConflictError,
    ForbiddenError,
    PlumvaneError,
    StoreUnavailableError,
    UnauthorizedError,
)
from plumvane.fleet.current import CurrentDocument
from plumvane.fleet.document import token_digest
from plumvane.fleet.revisions import DocumentStore

__all__ = ["FleetApi"]

# Operator recorded for the first document, which defines the real operators.
FIRST_OPERATOR = "first-operator"


class FleetApi:
    """Serves the fleet document, its audit trail and the instances."""

    def __init__(
        self,
        current: CurrentDocument,
        documents: DocumentStore,
        status: FleetStatus,
    ) -> None:
        """Creates the API.

        Args:
            current: Fleet document in force.
            documents: Stores the fleet document's revisions.
            status: Collects the status of all instances.
        """
        self._current = current
        self._documents = documents
        self._status = status

    def routes(self) -> list[tuple[str, str, Handler]]:
        """Returns the methods, paths and handlers."""
        return [
            ("GET", "/v1/fleet/document", self.show_document),
            ("PUT", "/v1/fleet/document", self.apply_document),
            ("GET", "/v1/fleet/audit", self.show_audit),
            ("GET", "/v1/fleet/instances", self.show_instances),
        ]

    async def show_document(self, http: Request) -> Response:
        """Serves GET /v1/fleet/document."""
        await self._authorize(http, "view")
        try:
            revision, _ = await self._documents.read()
        except StoreUnavailableError:
            # While the store is unavailable, the document in force here
            # remains in force.
            return _document_response(
                self._current.revision, self._current.data, from_store=False
            )
        return _document_response(
            revision.number, revision.document, from_store=True
        )

    async def apply_document(self, http: Request) -> Response:
        """Serves PUT /v1/fleet/document."""
        operator = await self._authorize(http, "view")
        from_revision = 0
        body = b""
        try:
            from_revision = base_revision(http)
            body = await read_body(http)
            await self._authorize(http, "change")
            if operator == FIRST_OPERATOR and from_revision != 0:
                raise ConflictError(
                    "The first document must be based on revision 0."
                )
            revision = await self._documents.apply(
                body, from_revision=from_revision, operator=operator
            )
        except PlumvaneError as error:
            await self._documents.record_refusal(
                from_revision=from_revision,
                operator=operator,
                refusal=error.code,
                document=body,
            )
            raise
        if revision.document:
            self._current.offer(revision)
        return JSONResponse({"revision": revision.number})

    async def show_audit(self, http: Request) -> Response:
        """Serves GET /v1/fleet/audit."""
        await self._authorize(http, "view")
        changes = await self._documents.audit()
        return JSONResponse({"changes": msgspec.to_builtins(changes)})

    async def show_instances(self, http: Request) -> Response:
        """Serves GET /v1/fleet/instances."""
        await self._authorize(http, "view")
        instances = await self._status.instances()
        return JSONResponse(
            {"revision": self._current.revision, "instances": instances}
        )

    async def _authorize(self, http: Request, role: str) -> str:
        if self._current.revision == 0:
            revision, _ = await self._documents.read()
            if revision.number == 0:
                # No operators are defined before the first document.
                return FIRST_OPERATOR
            self._current.offer(revision)
        operators = self._current.document.operators
        digest = token_digest(bearer_token(http))
        for name, operator in operators.items():
            if operator.token_sha256 == digest:
                if role == "change" and operator.role != "change":
                    raise ForbiddenError(
                        f"Operator {name!r} has no permission for changes."
                    )
                return name
        raise UnauthorizedError("The token does not belong to an operator.")


def _document_response(
    revision: int, document: bytes, *, from_store: bool
) -> Response:
    return JSONResponse(
        {"revision": revision, "document": json.loads(document)},
        headers={"plumvane-from-store": "true" if from_store else "false"},
    )

"""Serves the console over HTTP as plain HTML forms without scripts."""

from __future__ import annotations

import hmac
import json
import pathlib
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import RedirectResponse, Response
from starlette.routing import Mount, Route
from starlette.staticfiles import StaticFiles

from plumvane import clock
from plumvane.console.forms import NEW_TOKEN, SECTIONS_BY_NAME, Form, Section
from plumvane.console.pages import render
from plumvane.console.sessions import SESSION_LIFETIME_S, Session, Sessions
from plumvane.errors import (
    BadRequestError,
    BodyTooLargeError,
    ConfigurationError,
    ConflictError,
    ForbiddenError,
    NotFoundError,
    PlumvaneError,
)
from plumvane.fleet import document as fleet_document
from plumvane.fleet.current import CurrentDocument
from plumvane.fleet.revisions import DocumentStore, Revision
from plumvane.peers.messages import JobState

__all__ = ["Console"]

COOKIE_NAME = "plumvane_session"
FIRST_OPERATOR = "first-operator"
MAX_FORM_BYTES = 256 * 1024
MAX_SHOWN_CHANGES = 500

PageHandler = Callable[[Request, Session], Awaitable[Response]]


class Console:
    """Operator console of one entry."""

    def __init__(
        self,
        current: CurrentDocument,
        documents: DocumentStore,
        sessions: Sessions,
        *,
        names_by_policy: Mapping[str, Iterable[str]],
        instances: Callable[[], Awaitable[list[dict[str, Any]]]],
        jobs: Callable[[str], Awaitable[list[JobState]]],
        is_secure: bool,
    ) -> None:
        """Creates the console.

        Args:
            current: Fleet document in force at this entry.
            documents: Reads and changes the stored fleet document.
            sessions: Signs and verifies session cookies.
            names_by_policy: Allowed values of each policy field.
            instances: Returns the state of all instances.
            jobs: Returns the jobs of a team.
            is_secure: Whether the console is served over TLS.
        """
        self._current = current
        self._documents = documents
        self._sessions = sessions
        self._names_by_policy = names_by_policy
        self._instances = instances
        self._jobs = jobs
        self._is_secure = is_secure

    def application(self) -> Starlette:
        """Returns the ASGI application to mount under `/console`."""
        static = pathlib.Path(__file__).parent / "static"
        entry_path = "/document/{section}/entry"
        return Starlette(
            routes=[
                Mount("/static", StaticFiles(directory=static)),
                Route(
                    "/first",
                    _with_error_pages(self.create_first_operator),
                    methods=["GET", "POST"],
                ),
                Route(
                    "/login",
                    _with_error_pages(self.log_in),
                    methods=["GET", "POST"],
                ),
                self._route("/logout", self.log_out, "POST"),
                self._route("/", self.show_fleet, "GET"),
                self._route("/document", self.show_document, "GET"),
                self._route(entry_path, self.show_entry, "GET"),
                self._route(entry_path, self.change_entry, "POST"),
                self._route(
                    "/document/{section}/remove", self.remove_entry, "POST"
                ),
                self._route("/jobs", self.show_jobs, "GET"),
                self._route("/audit", self.show_audit, "GET"),
            ]
        )

    async def create_first_operator(self, request: Request) -> Response:
        """Creates the first operator of a fleet that has no document."""
        revision, _ = await self._documents.read()
        if revision.number:
            self._current.offer(revision)
            return _redirect(request, "/login")
        if request.method == "GET":
            return render("first", name="", error="")
        submitted = await _read_form(request)
        _check_origin(request)
        name = str(submitted.get("name", "")).strip()
        form = self._make_form(SECTIONS_BY_NAME["operators"])
        operator: dict[str, Any] = {"role": "change", "token_sha256": ""}
        token = form.add_token(operator)
        try:
            accepted = await self._documents.apply(
                json.dumps({"operators": {name: operator}}).encode(),
                from_revision=0,
                operator=FIRST_OPERATOR,
            )
        except ConfigurationError as error:
            return render("first", name=name, error=str(error), status=422)
        self._current.offer(accepted)
        return render("token", session=None, name=name, token=token, back="")

    async def log_in(self, request: Request) -> Response:
        """Shows the login form and logs an operator in by token."""
        if self._current.revision == 0:
            revision, _ = await self._documents.read()
            if revision.number == 0:
                return _redirect(request, "/first")
            self._current.offer(revision)
        if request.method == "GET":
            return render("login", error="")
        submitted = await _read_form(request)
        _check_origin(request)
        cookie = await self._sessions.log_in(
            self._current.document, str(submitted.get("token", "")).strip()
        )
        if cookie is None:
            error = (
                "The token belongs to no operator. Copy the whole token again."
            )
            return render("login", error=error, status=401)
        response = _redirect(request, "/")
        response.set_cookie(
            COOKIE_NAME,
            cookie,
            max_age=int(SESSION_LIFETIME_S),
            path="/console",
            secure=self._is_secure,
            httponly=True,
            samesite="strict",
        )
        return response

    async def log_out(self, request: Request, session: Session) -> Response:
        """Deletes the session cookie."""
        response = _redirect(request, "/login")
        response.delete_cookie(COOKIE_NAME, path="/console")
        return response

    async def show_fleet(self, request: Request, session: Session) -> Response:
        """Shows each instance with its revision in force."""
        return render(
            "fleet",
            session=session,
            revision=self._current.revision,
            instances=await self._instances(),
        )

    async def show_document(
        self, request: Request, session: Session
    ) -> Response:
        """Shows the whole document with links to its forms."""
        revision = await self._read_latest()
        return render(
            "document",
            session=session,
            revision=revision.number,
            document=_as_dict(revision),
            sections=SECTIONS_BY_NAME.values(),
        )

    async def show_entry(self, request: Request, session: Session) -> Response:
        """Shows the form for one entry."""
        section, name = _section_and_name(request)
        revision = await self._read_latest()
        form = self._make_form(section, revision)
        form.fill(section.read(_as_dict(revision), name))
        return self._entry_page(session, form, name, revision.number)

    async def change_entry(
        self, request: Request, session: Session
    ) -> Response:
        """Applies the submitted form of one entry as a new revision."""
        section, name = _section_and_name(request)
        submitted = await _read_form(request)
        is_new = not name and not section.is_single
        if is_new:
            name = str(submitted.get("entry_name", "")).strip()
        latest = await self._read_latest()
        form = self._make_form(section, latest)
        form.fill_submitted(submitted)
        if is_new and section.read(_as_dict(latest), name):
            message = (
                f"{name!r} is there already; edit it or choose another name."
            )
            return self._entry_page(
                session,
                form,
                name,
                latest.number,
                faults=[message],
                is_new=True,
                status=ConflictError.status,
            )
        entry = form.build_entry()
        token = form.add_token(entry) if NEW_TOKEN in submitted else ""
        changed = section.write(_as_dict(latest), name, entry)
        response = await self._apply(
            session,
            form,
            name,
            changed,
            _base_revision(submitted),
            is_new=is_new,
        )
        if response is not None:
            return response
        if token:
            return render(
                "token",
                session=session,
                name=name,
                token=token,
                back="document",
            )
        return _redirect(request, "/document")

    async def remove_entry(
        self, request: Request, session: Session
    ) -> Response:
        """Removes one entry and applies the result as a new revision."""
        section, name = _section_and_name(request)
        submitted = await _read_form(request)
        latest = await self._read_latest()
        form = self._make_form(section, latest)
        form.fill(section.read(_as_dict(latest), name))
        changed = section.remove(_as_dict(latest), name)
        response = await self._apply(
            session, form, name, changed, _base_revision(submitted)
        )
        return response or _redirect(request, "/document")

    async def show_jobs(self, request: Request, session: Session) -> Response:
        """Shows a team's jobs with their progress and deadlines."""
        teams = sorted(self._current.document.teams)
        team = request.query_params.get("team") or (teams[0] if teams else "")
        jobs = await self._jobs(team) if team in teams else []
        return render(
            "jobs",
            session=session,
            teams=teams,
            team=team,
            jobs=jobs,
            now=clock.wall(),
        )

    async def show_audit(self, request: Request, session: Session) -> Response:
        """Shows the most recent changes, accepted and refused."""
        changes = await self._documents.audit()
        recent = changes[: -MAX_SHOWN_CHANGES - 1 : -1]
        return render("audit", session=session, changes=recent)

    def _route(self, path: str, handler: PageHandler, method: str) -> Route:
        async def handle(request: Request) -> Response:
            session = await self._sessions.check(
                self._current.document, request.cookies.get(COOKIE_NAME, "")
            )
            if session is None:
                return _redirect(request, "/login")
            if request.method == "POST":
                submitted = await _read_form(request)
                csrf_token = str(submitted.get("csrf_token", ""))
                if not hmac.compare_digest(
                    csrf_token.encode(), session.csrf_token.encode()
                ):
                    raise ForbiddenError(
                        "The form belongs to another session.",
                        remedy="Reload the page and submit the form again.",
                    )
            return await handler(request, session)

        return Route(path, _with_error_pages(handle), methods=[method])

    def _make_form(
        self, section: Section, revision: Revision | None = None
    ) -> Form:
        document = revision.parsed() if revision else self._current.document
        return Form(section, document, self._names_by_policy)

    async def _read_latest(self) -> Revision:
        revision, _ = await self._documents.read()
        self._current.offer(revision)
        return revision

    async def _apply(
        self,
        session: Session,
        form: Form,
        name: str,
        document: dict[str, Any],
        base: int,
        *,
        is_new: bool = False,
    ) -> Response | None:
        """Applies a document; returns an error page if it is refused."""
        data = json.dumps(document).encode()
        try:
            if not session.may_change:
                raise ForbiddenError(
                    f"Operator {session.operator!r} has read-only access."
                )
            accepted = await self._documents.apply(
                data, from_revision=base, operator=session.operator
            )
        except PlumvaneError as error:
            await self._documents.record_refusal(
                from_revision=base,
                operator=session.operator,
                refusal=error.code,
                document=data,
            )
            if isinstance(error, ConflictError):
                return await self._conflict_page(session, form, name, is_new)
            faults: list[str] = [str(error)]
            if isinstance(error, ConfigurationError):
                faults = form.assign_faults(error.faults, name)
            return self._entry_page(
                session,
                form,
                name,
                base,
                faults=faults,
                is_new=is_new,
                status=error.status,
            )
        if accepted.document:
            self._current.offer(accepted)
        return None

    async def _conflict_page(
        self, session: Session, form: Form, name: str, is_new: bool
    ) -> Response:
        latest = await self._read_latest()
        theirs = self._make_form(form.section, latest)
        theirs.fill(form.section.read(_as_dict(latest), name))
        return self._entry_page(
            session,
            form,
            name,
            latest.number,
            theirs=theirs,
            latest=latest,
            is_new=is_new,
            status=ConflictError.status,
        )

    def _entry_page(
        self,
        session: Session,
        form: Form,
        name: str,
        base: int,
        *,
        faults: Iterable[str] = (),
        theirs: Form | None = None,
        latest: Revision | None = None,
        is_new: bool = False,
        status: int = 200,
    ) -> Response:
        return render(
            "entry",
            session=session,
            section=form.section,
            fields=form.fields,
            has_tokens=any(f.kind == "digests" for f in form.fields),
            name=name,
            base=base,
            is_new=is_new,
            faults=list(faults),
            theirs=theirs.fields if theirs else None,
            change=latest.change if latest else None,
            status=status,
        )


def _with_error_pages(
    handler: Callable[[Request], Awaitable[Response]],
) -> Callable[[Request], Awaitable[Response]]:
    """Wraps a handler to render errors as pages with their remedies."""

    async def handle(request: Request) -> Response:
        try:
            return await handler(request)
        except PlumvaneError as error:
            return render("error", error=error, status=error.status)

    return handle


def _redirect(request: Request, path: str) -> Response:
    root = request.scope.get("root_path", "")
    return RedirectResponse(f"{root}{path}", status_code=303)


async def _read_form(request: Request) -> Mapping[str, Any]:
    length = request.headers.get("content-length", "")
    if not length.isdecimal() or int(length) > MAX_FORM_BYTES:
        raise BodyTooLargeError(
            f"Form exceeds the limit of {MAX_FORM_BYTES} bytes."
        )
    return await request.form()


def _check_origin(request: Request) -> None:
    """Refuses cross-site submissions of forms that precede a session.

    Such forms carry no CSRF token.
    """
    if request.headers.get("sec-fetch-site", "same-origin") not in (
        "same-origin",
        "none",
    ):
        raise ForbiddenError(
            "The form was submitted from another site.",
            remedy="Submit the form from the console's own page.",
        )


def _section_and_name(request: Request) -> tuple[Section, str]:
    section = SECTIONS_BY_NAME.get(request.path_params["section"])
    if section is None:
        raise NotFoundError("The fleet document has no such section.")
    return section, request.query_params.get("name", "")


def _base_revision(submitted: Mapping[str, Any]) -> int:
    number = str(submitted.get("base_revision", ""))
    if not (number.isascii() and number.isdigit() and len(number) < 19):
        raise BadRequestError("The form has no valid base revision.")
    return int(number)


def _as_dict(revision: Revision) -> dict[str, Any]:
    document = fleet_document.parse(revision.document)
    return document.model_dump(mode="json")

"""The console's pages over HTTP: plain forms, no scripts."""

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
from plumvane.console.sessions import SESSION_S, Session, Sessions
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

COOKIE = "plumvane_session"
FIRST_OPERATOR = "first-operator"
MAX_FORM_BYTES = 256 * 1024
SHOWN_CHANGES = 500

Page = Callable[[Request, Session], Awaitable[Response]]


class Console:
    """The operators' console of one entry."""

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
            current: Fleet document in force here.
            documents: Changes the fleet document.
            sessions: Signs sessions.
            names_by_policy: Names that each policy field may hold.
            instances: Returns the state of all instances.
            jobs: Returns the jobs of a team.
            is_secure: Whether it is served by TLS.
        """
        self._current = current
        self._documents = documents
        self._sessions = sessions
        self._names_by_policy = names_by_policy
        self._instances = instances
        self._jobs = jobs
        self._is_secure = is_secure

    def application(self) -> Starlette:
        """Returns the ASGI application, to be mounted."""
        static = pathlib.Path(__file__).parent / "static"
        entry = "/document/{section}/entry"
        return Starlette(
            routes=[
                Mount("/static", StaticFiles(directory=static)),
                Route("/first", _guarded(self.first), methods=["GET", "POST"]),
                Route("/login", _guarded(self.log_in), methods=["GET", "POST"]),
                self._route("/logout", self.log_out, "POST"),
                self._route("/", self.fleet, "GET"),
                self._route("/document", self.document, "GET"),
                self._route(entry, self.show_entry, "GET"),
                self._route(entry, self.change_entry, "POST"),
                self._route(
                    "/document/{section}/remove", self.remove_entry, "POST"
                ),
                self._route("/jobs", self.jobs, "GET"),
                self._route("/audit", self.audit, "GET"),
            ]
        )

    async def first(self, http: Request) -> Response:
        """Makes the first operator of a fleet without a document."""
        revision, _ = await self._documents.read()
        if revision.number:
            self._current.offer(revision)
            return _redirect(http, "/login")
        if http.method == "GET":
            return render("first", name="", error="")
        typed = await _form(http)
        _check_origin(http)
        name = str(typed.get("name", "")).strip()
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

    async def log_in(self, http: Request) -> Response:
        """Shows the login form and takes an operator's token."""
        if self._current.revision == 0:
            revision, _ = await self._documents.read()
            if revision.number == 0:
                return _redirect(http, "/first")
            self._current.offer(revision)
        if http.method == "GET":
            return render("login", error="")
        typed = await _form(http)
        _check_origin(http)
        cookie = await self._sessions.log_in(
            self._current.document, str(typed.get("token", "")).strip()
        )
        if cookie is None:
            error = "The token is no operator's. Copy it again, in full."
            return render("login", error=error, status=401)
        response = _redirect(http, "/")
        response.set_cookie(
            COOKIE,
            cookie,
            max_age=int(SESSION_S),
            path="/console",
            secure=self._is_secure,
            httponly=True,
            samesite="strict",
        )
        return response

    async def log_out(self, http: Request, session: Session) -> Response:
        """Ends the session in the browser."""
        response = _redirect(http, "/login")
        response.delete_cookie(COOKIE, path="/console")
        return response

    async def fleet(self, http: Request, session: Session) -> Response:
        """Shows each instance and its revision in force."""
        return render(
            "fleet",
            session=session,
            revision=self._current.revision,
            instances=await self._instances(),
        )

    async def document(self, http: Request, session: Session) -> Response:
        """Shows the whole document, with a way to each form."""
        revision = await self._newest()
        return render(
            "document",
            session=session,
            revision=revision.number,
            document=_as_dict(revision),
            sections=SECTIONS_BY_NAME.values(),
        )

    async def show_entry(self, http: Request, session: Session) -> Response:
        """Shows the form of one entry."""
        section, name = _section_of(http)
        revision = await self._newest()
        form = self._make_form(section, revision)
        form.fill(section.read(_as_dict(revision), name))
        return self._entry_page(session, form, name, revision.number)

    async def change_entry(self, http: Request, session: Session) -> Response:
        """Takes the form of one entry and makes the next revision."""
        section, name = _section_of(http)
        typed = await _form(http)
        is_new = not name and not section.is_single
        if is_new:
            name = str(typed.get("entry_name", "")).strip()
        newest = await self._newest()
        form = self._make_form(section, newest)
        form.fill_typed(typed)
        if is_new and section.read(_as_dict(newest), name):
            fault = f"{name!r} is there already; open it, or take another name."
            return self._entry_page(
                session,
                form,
                name,
                newest.number,
                faults=[fault],
                is_new=True,
                status=ConflictError.status,
            )
        entry = form.entry()
        token = form.add_token(entry) if NEW_TOKEN in typed else ""
        changed = section.write(_as_dict(newest), name, entry)
        response = await self._apply(
            session, form, name, changed, _base(typed), is_new=is_new
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
        return _redirect(http, "/document")

    async def remove_entry(self, http: Request, session: Session) -> Response:
        """Removes one entry and makes the next revision."""
        section, name = _section_of(http)
        typed = await _form(http)
        newest = await self._newest()
        form = self._make_form(section, newest)
        form.fill(section.read(_as_dict(newest), name))
        changed = section.remove(_as_dict(newest), name)
        response = await self._apply(session, form, name, changed, _base(typed))
        return response or _redirect(http, "/document")

    async def jobs(self, http: Request, session: Session) -> Response:
        """Shows a team's jobs with their progress against the deadline."""
        teams = sorted(self._current.document.teams)
        team = http.query_params.get("team") or (teams[0] if teams else "")
        jobs = await self._jobs(team) if team in teams else []
        return render(
            "jobs",
            session=session,
            teams=teams,
            team=team,
            jobs=jobs,
            now=clock.wall(),
        )

    async def audit(self, http: Request, session: Session) -> Response:
        """Shows the newest changes, accepted and refused."""
        changes = await self._documents.audit()
        shown = changes[: -SHOWN_CHANGES - 1 : -1]
        return render("audit", session=session, changes=shown)

    def _route(self, path: str, page: Page, method: str) -> Route:
        async def serve(http: Request) -> Response:
            session = await self._sessions.check(
                self._current.document, http.cookies.get(COOKIE, "")
            )
            if session is None:
                return _redirect(http, "/login")
            if http.method == "POST":
                typed = await _form(http)
                sent = str(typed.get("csrf_token", ""))
                if not hmac.compare_digest(
                    sent.encode(), session.csrf_token.encode()
                ):
                    raise ForbiddenError(
                        "The form is not of this session.",
                        remedy="Open the page again and send the form anew.",
                    )
            return await page(http, session)

        return Route(path, _guarded(serve), methods=[method])

    def _make_form(
        self, section: Section, revision: Revision | None = None
    ) -> Form:
        document = revision.parsed() if revision else self._current.document
        return Form(section, document, self._names_by_policy)

    async def _newest(self) -> Revision:
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
        """Applies a document; returns the page that says why it failed."""
        data = json.dumps(document).encode()
        try:
            if not session.may_change:
                raise ForbiddenError(
                    f"Operator {session.operator!r} may only view."
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
                faults = form.take_faults(error.faults, name)
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
        newest = await self._newest()
        theirs = self._make_form(form.section, newest)
        theirs.fill(form.section.read(_as_dict(newest), name))
        return self._entry_page(
            session,
            form,
            name,
            newest.number,
            theirs=theirs,
            newest=newest,
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
        newest: Revision | None = None,
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
            change=newest.change if newest else None,
            status=status,
        )


def _guarded(
    serve: Callable[[Request], Awaitable[Response]],
) -> Callable[[Request], Awaitable[Response]]:
    """Turns errors into pages that name the remedy."""

    async def guarded(http: Request) -> Response:
        try:
            return await serve(http)
        except PlumvaneError as error:
            return render("error", error=error, status=error.status)

    return guarded


def _redirect(http: Request, path: str) -> Response:
    root = http.scope.get("root_path", "")
    return RedirectResponse(f"{root}{path}", status_code=303)


async def _form(http: Request) -> Mapping[str, Any]:
    length = http.headers.get("content-length", "")
    if not length.isdecimal() or int(length) > MAX_FORM_BYTES:
        raise BodyTooLargeError(f"A form has at most {MAX_FORM_BYTES} bytes.")
    return await http.form()


def _check_origin(http: Request) -> None:
    """Refuses a form of another site where no session protects it yet."""
    if http.headers.get("sec-fetch-site", "same-origin") not in (
        "same-origin",
        "none",
    ):
        raise ForbiddenError(
            "The form came from another site.",
            remedy="Open the console's own page.",
        )


def _section_of(http: Request) -> tuple[Section, str]:
    section = SECTIONS_BY_NAME.get(http.path_params["section"])
    if section is None:
        raise NotFoundError("The document has no such section.")
    return section, http.query_params.get("name", "")


def _base(typed: Mapping[str, Any]) -> int:
    text = str(typed.get("base_revision", ""))
    if not (text.isascii() and text.isdigit() and len(text) < 19):
        raise BadRequestError("The form names no revision.")
    return int(text)


def _as_dict(revision: Revision) -> dict[str, Any]:
    parsed = fleet_document.parse(revision.document)
    return parsed.model_dump(mode="json")

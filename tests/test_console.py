"""Tests the console over HTTP, with a client that submits HTML forms."""

from __future__ import annotations

import contextlib
import html.parser
import json
import pathlib
import re
import tempfile
from collections.abc import Iterator
from typing import Any
from urllib.parse import urlencode

from plumvane.fleet.document import token_digest
from standins.launcher import MODEL, OPERATOR_TOKEN, Fleet, Process
from tests.fleets import OPERATOR, Caller, running_fleet, wait_for

VIEW_TOKEN = "view-token"


def test_fleet_can_be_configured_by_forms_alone() -> None:
    with running_fleet(entries=2) as fleet:
        browser = Browser(fleet, fleet["entry-0"])
        browser.log_in(OPERATOR_TOKEN)
        page = browser.get("/document/models/entry")
        assert "checks_orders" in page.text
        assert "Whether its engines refuse an order" in page.text
        browser.get("/document/models/entry").submit(entry_name="recall-lm")
        browser.get("/document/workloads/entry").submit(
            entry_name="recalls", model="recall-lm", kind="online", rank="3"
        )
        page = browser.get("/document/teams/entry").submit(
            entry_name="dealers", new_token="true"
        )
        token = re.search(r'class="token">([^<]+)<', page.text)
        browser.get("/document/policies/entry").submit(routing="random")
        browser.get("/document/retention/entry").submit(retention_s="7200")
        found = document(fleet)
        assert token
        dealer = {"authorization": f"Bearer {token[1]}"}

        def is_token_accepted() -> bool:
            body = {"model": MODEL, "prompt": "airbag", "max_tokens": 2}
            url = f"{fleet['entry-1'].url}/v1/completions"
            return fleet.call("POST", url, body, dealer)[0] == 200

        wait_for(
            is_token_accepted,
            "acceptance of the new team's token at the other entry",
        )
        fleet_page = browser.get("/").text
        audit_page = browser.get("/audit").text
        document_page = browser.get("/document").text
    assert found["revision"] == 6
    configured = found["document"]
    assert configured["workloads"]["recalls"]["rank"] == 3
    assert configured["policies"]["routing"] == "random"
    assert configured["retention_s"] == 7200
    assert configured["teams"]["dealers"]["token_sha256"] == [
        token_digest(token[1])
    ]
    assert "engine-0-sidecar" in fleet_page
    assert "workloads.recalls" in audit_page
    assert "Document, revision 6" in document_page


def test_field_error_is_shown_at_the_field_and_input_is_kept() -> None:
    with running_fleet(entries=1, engines=0) as fleet:
        browser = Browser(fleet, fleet["entry-0"])
        browser.log_in(OPERATOR_TOKEN)
        page = browser.get("/document/workloads/entry?name=notes").submit(
            timeout_s="soon", rank="7"
        )
        invalid_name = browser.get("/document/models/entry").submit(
            entry_name="a/b"
        )
        duplicate = browser.get("/document/models/entry").submit(
            entry_name=MODEL
        )
        removal = browser.get(f"/document/models/entry?name={MODEL}").submit(
            form=-1
        )
        revision = document(fleet)["revision"]
    assert page.status == 422
    field = page.text[page.text.index('name="timeout_s"') :]
    field = field[: field.index("</p>")]
    assert 'value="soon"' in field
    assert "valid integer" in field
    assert 'name="rank" value="7"' in page.text
    assert invalid_name.status == 422 and "models.a/b" in invalid_name.text
    assert duplicate.status == 409 and "is there already" in duplicate.text
    assert removal.status == 422 and "not among the models" in removal.text
    assert revision == 1


def test_conflict_shows_both_versions_and_keeps_input() -> None:
    with running_fleet(entries=2) as fleet:
        first_browser = Browser(fleet, fleet["entry-0"])
        second_browser = Browser(fleet, fleet["entry-1"])
        first_browser.log_in(OPERATOR_TOKEN)
        second_browser.log_in(OPERATOR_TOKEN)
        path = "/document/workloads/entry?name=notes"
        first, second = first_browser.get(path), second_browser.get(path)
        assert first.submit(rank="11").status == 200
        conflict = second.submit(rank="22", first_token_ms="450")
        after_conflict = document(fleet)
        resubmitted = conflict.submit()
        final = document(fleet)
        url = f"{fleet['entry-0'].url}/v1/fleet/audit"
        audit = json.loads(fleet.call("GET", url, None, OPERATOR)[1])
    assert conflict.status == 409
    assert after_conflict["revision"] == 2
    assert after_conflict["document"]["workloads"]["notes"]["rank"] == 11
    assert "<td>rank</td><td>11</td><td>22</td>" in conflict.text
    assert 'name="rank" value="22"' in conflict.text
    assert 'name="first_token_ms" value="450"' in conflict.text
    assert "by\nop at" in conflict.text
    assert resubmitted.status == 200
    assert final["document"]["workloads"]["notes"]["rank"] == 22
    assert [c["refusal"] for c in audit["changes"]] == [
        None,
        None,
        "conflict",
        None,
    ]


def test_session_is_valid_at_each_entry_and_cannot_be_forged() -> None:
    with running_fleet(entries=2) as fleet:
        browser = Browser(fleet, fleet["entry-0"])
        wrong = browser.get("/login").submit(token="wrong")
        browser.log_in(OPERATOR_TOKEN)
        other = Browser(fleet, fleet["entry-1"])
        other.cookie = browser.cookie
        accepted = other.get("/")
        forged = Browser(fleet, fleet["entry-1"])
        name, deadline, signature = browser.cookie.split("=", 1)[1].split(".")
        new_deadline = str(int(deadline) + 1)
        forged.cookie = f"plumvane_session={name}.{new_deadline}.{signature}"
        refused = forged.get("/")
        page = browser.get("/document/retention/entry")
        wrong_token = page.submit(csrf_token="0" * 64, retention_s="7200")
        missing_token = page.submit(csrf_token=None, retention_s="7200")
        cross_site = browser.request(
            "POST",
            "/login",
            urlencode({"token": OPERATOR_TOKEN}),
            {"sec-fetch-site": "cross-site"},
        )
        oversized = browser.request("POST", "/login", "token=" + "x" * 300_000)
        revision = document(fleet)["revision"]
        change_token(fleet)
        ended = browser.get("/")
    assert wrong.status == 401 and "no operator" in wrong.text
    assert accepted.status == 200 and "Fleet" in accepted.text
    assert refused.path == "/login"
    assert (wrong_token.status, missing_token.status, cross_site.status) == (
        403,
        403,
        403,
    )
    assert oversized.status == 413
    assert revision == 1
    assert ended.path == "/login"
    assert (
        "httponly" in browser.cookie_flags
        and "samesite=strict" in browser.cookie_flags
    )


def test_viewer_can_read_pages_but_change_nothing() -> None:
    with running_fleet(entries=1, bulks=2) as fleet:
        url = f"{fleet['entry-0'].url}/v1/fleet/document"
        new_document = fleet.default_document()
        new_document["operators"]["eye"] = {
            "token_sha256": token_digest(VIEW_TOKEN)
        }
        fleet.call("PUT", url, new_document, {**OPERATOR, "if-match": "1"})
        line = {"model": MODEL, "prompt": "plan", "max_tokens": 2}
        lines = json.dumps({"custom_id": "i", "body": line}).encode()
        Caller(fleet).submit(fleet["entry-0"], lines, key="j")
        browser = Browser(fleet, fleet["entry-0"])
        browser.log_in(VIEW_TOKEN)
        page = browser.get("/document/retention/entry")
        refused = page.submit(retention_s="7200")
        jobs = browser.get("/jobs?team=intake").text
        audit = browser.get("/audit").text
        revision = document(fleet)["revision"]
    assert "Your role has read-only access." in page.text
    assert refused.status == 403
    assert "batch-" in jobs and "of 1" in jobs
    assert "forbidden" in audit
    assert revision == 2


def test_first_operator_can_be_created_only_once() -> None:
    with fleet_without_document() as fleet:
        browser = Browser(fleet, fleet["entry-0"])
        start = browser.get("/")
        created = start.submit(name="ana")
        token = re.search(r'class="token">([^<]+)<', created.text)
        again = browser.get("/first")
        assert token
        browser.log_in(token[1])
        home = browser.get("/")
    assert start.path == "/first"
    assert again.path == "/login"
    assert home.path == "/" and "ana (change)" in home.text


def test_submitted_text_is_escaped() -> None:
    sent = '<script>alert("x")</script>'
    with running_fleet(entries=1, engines=0) as fleet:
        browser = Browser(fleet, fleet["entry-0"])
        browser.log_in(OPERATOR_TOKEN)
        page = browser.get("/document/models/entry").submit(
            entry_name=sent, max_tokens=sent
        )
    assert page.status == 422
    assert sent not in page.text
    assert "&lt;script&gt;" in page.text


def document(fleet: Fleet) -> Any:
    url = f"{fleet['entry-0'].url}/v1/fleet/document"
    return json.loads(fleet.call("GET", url, None, OPERATOR)[1])


def change_token(fleet: Fleet) -> None:
    new_document = fleet.default_document()
    new_document["operators"]["op"]["token_sha256"] = token_digest("next")
    url = f"{fleet['entry-0'].url}/v1/fleet/document"
    status, _ = fleet.call(
        "PUT", url, new_document, {**OPERATOR, "if-match": "1"}
    )
    assert status == 200


@contextlib.contextmanager
def fleet_without_document() -> Iterator[Fleet]:
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(pathlib.Path(folder)) as fleet,
    ):
        fleet.start_platform()
        fleet.start_entry("entry-0")
        fleet.wait_started()
        yield fleet


class _FormParser(html.parser.HTMLParser):
    """Parses the forms of a page with the values that they would submit."""

    def __init__(self) -> None:
        super().__init__()
        self.forms: list[tuple[str, dict[str, str]]] = []
        self._field_name = ""
        self._options: list[tuple[str, bool]] = []
        self._open_element: tuple[str, str] | None = None

    def handle_starttag(self, tag: str, attributes: Any) -> None:
        found = dict(attributes)
        if tag == "form":
            self.forms.append((found["action"], {}))
        elif tag == "input" and (
            found.get("type") != "checkbox" or "checked" in found
        ):
            self.forms[-1][1][found["name"]] = found.get("value", "")
        elif tag == "select":
            self._field_name, self._options = found["name"], []
        elif tag == "option":
            self._open_element = ("option", "")
            self._options.append(("", "selected" in found))
        elif tag == "textarea":
            self._field_name = found["name"]
            self._open_element = ("textarea", "")

    def handle_data(self, data: str) -> None:
        if self._open_element:
            self._open_element = (
                self._open_element[0],
                self._open_element[1] + data,
            )

    def handle_endtag(self, tag: str) -> None:
        if tag == "option" and self._open_element:
            self._options[-1] = (self._open_element[1], self._options[-1][1])
        elif tag == "textarea" and self._open_element:
            self.forms[-1][1][self._field_name] = self._open_element[1]
        elif tag == "select" and self._options:
            selected_texts = [
                text for text, selected in self._options if selected
            ]
            text = selected_texts[-1] if selected_texts else self._options[0][0]
            self.forms[-1][1][self._field_name] = text
        if tag in ("option", "textarea"):
            self._open_element = None


class Page:
    """A page as received."""

    def __init__(
        self, browser: Browser, path: str, status: int, text: str
    ) -> None:
        self.path = path
        self.status = status
        self.text = text
        self._browser = browser

    def submit(
        self, *, form: int | None = None, **values_by_name: str | None
    ) -> Page:
        """Submits a form of the page with some values replaced or removal."""
        parser = _FormParser()
        parser.feed(self.text)
        forms = [f for f in parser.forms if not f[0].endswith("/logout")]
        action, values = forms[0 if form is None else form]
        for name, value in values_by_name.items():
            if value is None:
                values.pop(name, None)
            else:
                values[name] = value
        path = action.removeprefix("/console")
        return self._browser.request("POST", path, urlencode(values))


class Browser:
    """HTTP client that keeps a cookie and follows redirects."""

    def __init__(self, fleet: Fleet, entry: Process) -> None:
        self.cookie = ""
        self.cookie_flags = ""
        self._fleet = fleet
        self._entry = entry

    def log_in(self, token: str) -> None:
        assert self.get("/login").submit(token=token).path == "/"

    def get(self, path: str) -> Page:
        return self.request("GET", path)

    def request(
        self,
        method: str,
        path: str,
        body: str = "",
        headers: dict[str, str] | None = None,
    ) -> Page:
        response = self._fleet.http.request(
            method,
            f"{self._entry.url}/console{path}",
            headers={
                "cookie": self.cookie,
                "content-type": "application/x-www-form-urlencoded",
                **(headers or {}),
            },
            content=body.encode(),
        )
        found = {name.lower(): value for name, value in response.headers}
        if b"set-cookie" in found:
            text = found[b"set-cookie"].decode()
            self.cookie, _, self.cookie_flags = text.partition("; ")
            self.cookie_flags = self.cookie_flags.lower()
        if response.status == 303:
            path = found[b"location"].decode().removeprefix("/console")
            return self.get(path)
        return Page(self, path, response.status, response.content.decode())

"""The console's forms, driven over HTTP as a browser without scripts."""

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
        browser.get("/document/models/entry").send(entry_name="recall-lm")
        browser.get("/document/workloads/entry").send(
            entry_name="recalls", model="recall-lm", kind="online", rank="3"
        )
        page = browser.get("/document/teams/entry").send(
            entry_name="dealers", new_token="true"
        )
        token = re.search(r'class="token">([^<]+)<', page.text)
        browser.get("/document/policies/entry").send(routing="random")
        browser.get("/document/retention/entry").send(retention_s="7200")
        found = document(fleet)
        assert token
        dealer = {"authorization": f"Bearer {token[1]}"}

        def known() -> bool:
            body = {"model": MODEL, "prompt": "airbag", "max_tokens": 2}
            url = f"{fleet['entry-1'].url}/v1/completions"
            return fleet.call("POST", url, body, dealer)[0] == 200

        wait_for(known, "the new team's token in force at the other entry")
        fleet_page = browser.get("/").text
        audit_page = browser.get("/audit").text
        whole = browser.get("/document").text
    assert found["revision"] == 6
    made = found["document"]
    assert made["workloads"]["recalls"]["rank"] == 3
    assert made["policies"]["routing"] == "random"
    assert made["retention_s"] == 7200
    assert made["teams"]["dealers"]["token_sha256"] == [token_digest(token[1])]
    assert "engine-0-sidecar" in fleet_page
    assert "workloads.recalls" in audit_page
    assert "Document, revision 6" in whole


def test_field_error_is_shown_at_the_field_and_input_is_kept() -> None:
    with running_fleet(entries=1, engines=0) as fleet:
        browser = Browser(fleet, fleet["entry-0"])
        browser.log_in(OPERATOR_TOKEN)
        page = browser.get("/document/workloads/entry?name=notes").send(
            timeout_s="soon", rank="7"
        )
        odd = browser.get("/document/models/entry").send(entry_name="a/b")
        taken = browser.get("/document/models/entry").send(entry_name=MODEL)
        gone = browser.get(f"/document/models/entry?name={MODEL}").send(form=-1)
        revision = document(fleet)["revision"]
    assert page.status == 422
    field = page.text[page.text.index('name="timeout_s"') :]
    field = field[: field.index("</p>")]
    assert 'value="soon"' in field
    assert "valid integer" in field
    assert 'name="rank" value="7"' in page.text
    assert odd.status == 422 and "models.a/b" in odd.text
    assert taken.status == 409 and "is there already" in taken.text
    assert gone.status == 422 and "not among the models" in gone.text
    assert revision == 1


def test_conflict_shows_both_versions_and_keeps_input() -> None:
    with running_fleet(entries=2) as fleet:
        ana = Browser(fleet, fleet["entry-0"])
        ben = Browser(fleet, fleet["entry-1"])
        ana.log_in(OPERATOR_TOKEN)
        ben.log_in(OPERATOR_TOKEN)
        path = "/document/workloads/entry?name=notes"
        first, second = ana.get(path), ben.get(path)
        assert first.send(rank="11").status == 200
        lost = second.send(rank="22", first_token_ms="450")
        between = document(fleet)
        won = lost.send()
        found = document(fleet)
        url = f"{fleet['entry-0'].url}/v1/fleet/audit"
        trail = json.loads(fleet.call("GET", url, None, OPERATOR)[1])
    assert lost.status == 409
    assert between["revision"] == 2
    assert between["document"]["workloads"]["notes"]["rank"] == 11
    assert "<td>rank</td><td>11</td><td>22</td>" in lost.text
    assert 'name="rank" value="22"' in lost.text
    assert 'name="first_token_ms" value="450"' in lost.text
    assert "by\nop at" in lost.text
    assert won.status == 200
    assert found["document"]["workloads"]["notes"]["rank"] == 22
    assert [c["refusal"] for c in trail["changes"]] == [
        None,
        None,
        "conflict",
        None,
    ]


def test_session_is_valid_at_each_entry_and_cannot_be_forged() -> None:
    with running_fleet(entries=2) as fleet:
        one = Browser(fleet, fleet["entry-0"])
        wrong = one.get("/login").send(token="wrong")
        one.log_in(OPERATOR_TOKEN)
        other = Browser(fleet, fleet["entry-1"])
        other.cookie = one.cookie
        accepted = other.get("/")
        forged = Browser(fleet, fleet["entry-1"])
        name, deadline, signature = one.cookie.split("=", 1)[1].split(".")
        later = str(int(deadline) + 1)
        forged.cookie = f"plumvane_session={name}.{later}.{signature}"
        refused = forged.get("/")
        page = one.get("/document/retention/entry")
        crossed = page.send(csrf_token="0" * 64, retention_s="7200")
        absent = page.send(csrf_token=None, retention_s="7200")
        alien = one.request(
            "POST",
            "/login",
            urlencode({"token": OPERATOR_TOKEN}),
            {"sec-fetch-site": "cross-site"},
        )
        huge = one.request("POST", "/login", "token=" + "x" * 300_000)
        revision = document(fleet)["revision"]
        change_token(fleet)
        ended = one.get("/")
    assert wrong.status == 401 and "no operator" in wrong.text
    assert accepted.status == 200 and "Fleet" in accepted.text
    assert refused.path == "/login"
    assert (crossed.status, absent.status, alien.status) == (403, 403, 403)
    assert huge.status == 413
    assert revision == 1
    assert ended.path == "/login"
    assert (
        "httponly" in one.cookie_flags and "samesite=strict" in one.cookie_flags
    )


def test_viewer_can_read_pages_but_change_nothing() -> None:
    with running_fleet(entries=1, bulks=2) as fleet:
        url = f"{fleet['entry-0'].url}/v1/fleet/document"
        wanted = fleet.default_document()
        wanted["operators"]["eye"] = {"token_sha256": token_digest(VIEW_TOKEN)}
        fleet.call("PUT", url, wanted, {**OPERATOR, "if-match": "1"})
        line = {"model": MODEL, "prompt": "plan", "max_tokens": 2}
        lines = json.dumps({"custom_id": "i", "body": line}).encode()
        Caller(fleet).submit(fleet["entry-0"], lines, key="j")
        browser = Browser(fleet, fleet["entry-0"])
        browser.log_in(VIEW_TOKEN)
        page = browser.get("/document/retention/entry")
        refused = page.send(retention_s="7200")
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
        made = start.send(name="ana")
        token = re.search(r'class="token">([^<]+)<', made.text)
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
        page = browser.get("/document/models/entry").send(
            entry_name=sent, max_tokens=sent
        )
    assert page.status == 422
    assert sent not in page.text
    assert "&lt;script&gt;" in page.text


def document(fleet: Fleet) -> Any:
    url = f"{fleet['entry-0'].url}/v1/fleet/document"
    return json.loads(fleet.call("GET", url, None, OPERATOR)[1])


def change_token(fleet: Fleet) -> None:
    wanted = fleet.default_document()
    wanted["operators"]["op"]["token_sha256"] = token_digest("next")
    url = f"{fleet['entry-0'].url}/v1/fleet/document"
    status, _ = fleet.call("PUT", url, wanted, {**OPERATOR, "if-match": "1"})
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


class _Forms(html.parser.HTMLParser):
    """Reads the forms of a page with the values that they would send."""

    def __init__(self) -> None:
        super().__init__()
        self.forms: list[tuple[str, dict[str, str]]] = []
        self._select = ""
        self._options: list[tuple[str, bool]] = []
        self._text: tuple[str, str] | None = None

    def handle_starttag(self, tag: str, attributes: Any) -> None:
        found = dict(attributes)
        if tag == "form":
            self.forms.append((found["action"], {}))
        elif tag == "input" and (
            found.get("type") != "checkbox" or "checked" in found
        ):
            self.forms[-1][1][found["name"]] = found.get("value", "")
        elif tag == "select":
            self._select, self._options = found["name"], []
        elif tag == "option":
            self._text = ("option", "")
            self._options.append(("", "selected" in found))
        elif tag == "textarea":
            self._select = found["name"]
            self._text = ("textarea", "")

    def handle_data(self, data: str) -> None:
        if self._text:
            self._text = (self._text[0], self._text[1] + data)

    def handle_endtag(self, tag: str) -> None:
        if tag == "option" and self._text:
            self._options[-1] = (self._text[1], self._options[-1][1])
        elif tag == "textarea" and self._text:
            self.forms[-1][1][self._select] = self._text[1]
        elif tag == "select" and self._options:
            chosen = [text for text, selected in self._options if selected]
            text = chosen[-1] if chosen else self._options[0][0]
            self.forms[-1][1][self._select] = text
        if tag in ("option", "textarea"):
            self._text = None


class Page:
    """A page as it came."""

    def __init__(
        self, browser: Browser, path: str, status: int, text: str
    ) -> None:
        self.path = path
        self.status = status
        self.text = text
        self._browser = browser

    def send(self, *, form: int | None = None, **typed: str | None) -> Page:
        """Sends the page's form with some fields typed anew."""
        reader = _Forms()
        reader.feed(self.text)
        forms = [f for f in reader.forms if not f[0].endswith("/logout")]
        action, values = forms[0 if form is None else form]
        for name, value in typed.items():
            if value is None:
                values.pop(name, None)
            else:
                values[name] = value
        path = action.removeprefix("/console")
        return self._browser.request("POST", path, urlencode(values))


class Browser:
    """Keeps a cookie and follows redirections."""

    def __init__(self, fleet: Fleet, entry: Process) -> None:
        self.cookie = ""
        self.cookie_flags = ""
        self._fleet = fleet
        self._entry = entry

    def log_in(self, token: str) -> None:
        assert self.get("/login").send(token=token).path == "/"

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

"""Commands on the fleet document."""

from __future__ import annotations

import hashlib
import json
import secrets
from typing import Any

from plumvane.cli.output import format_table, format_time
from plumvane.cli.registry import (
    EXIT_DIFFERENCES,
    EXIT_SUCCESS,
    Context,
    command,
)
from plumvane.entry import checks as _checks  # noqa: F401
from plumvane.fleet import document as fleet_document
from plumvane.fleet.revisions import changed_paths

__all__ = ["audit_table"]

PATH = "/v1/fleet/document"


@command("config check", "FILE")
def check(context: Context) -> int:
    """Checks a document without sending it."""
    fleet_document.check(context.read_file(0))
    context.output.write_result({"valid": True}, "The document is valid.")
    return EXIT_SUCCESS


@command("config show")
def show(context: Context) -> int:
    """Shows the newest document; its revision goes to standard error."""
    shown = context.client.json("GET", PATH)
    if not context.output.as_json:
        context.output.write_message(f"revision {shown['revision']}")
    context.output.write_result(shown, json.dumps(shown["document"], indent=2))
    return EXIT_SUCCESS


@command("config diff", "FILE")
def diff(context: Context) -> int:
    """Shows what a file would change; exit code 2 if anything."""
    parsed = fleet_document.check(context.read_file(0))
    shown = context.client.json("GET", PATH)
    old = fleet_document.parse(json.dumps(shown["document"]).encode())
    before, after = old.model_dump(mode="json"), parsed.model_dump(mode="json")
    changes = [
        {
            "path": path,
            "from": _value_at(before, path),
            "to": _value_at(after, path),
        }
        for path in changed_paths(before, after)
    ]
    rows = [
        (c["path"], json.dumps(c["from"]), json.dumps(c["to"])) for c in changes
    ]
    context.output.write_result(
        {"revision": shown["revision"], "changes": changes},
        format_table(("FIELD", f"REVISION {shown['revision']}", "FILE"), rows)
        if rows
        else f"No difference from revision {shown['revision']}.",
    )
    return EXIT_DIFFERENCES if changes else EXIT_SUCCESS


@command("config apply", "FILE REVISION")
def apply(context: Context) -> int:
    """Changes the document, based on the revision that it was made from."""
    body = context.read_file(0)
    revision = context.argument(1, "REVISION")
    fleet_document.check(body)
    answer = context.client.json(
        "PUT", PATH, content=body, headers={"if-match": revision}
    )
    context.output.write_result(
        answer, f"Accepted as revision {answer['revision']}."
    )
    return EXIT_SUCCESS


@command("config history")
def history(context: Context) -> int:
    """Shows the accepted changes, oldest first."""
    changes = [c for c in _trail(context) if c["refusal"] is None]
    context.output.write_result({"changes": changes}, audit_table(changes))
    return EXIT_SUCCESS


@command("audit")
def audit(context: Context) -> int:
    """Shows all changes, accepted and refused, oldest first."""
    changes = _trail(context)
    context.output.write_result({"changes": changes}, audit_table(changes))
    return EXIT_SUCCESS


@command("token make")
def make_token(context: Context) -> int:
    """Makes a token, and the digest of it for the document."""
    token = secrets.token_urlsafe(32)
    digest = hashlib.sha256(token.encode()).hexdigest()
    context.output.write_result(
        {"token": token, "token_sha256": digest},
        f"token         {token}\ntoken_sha256  {digest}",
    )
    return EXIT_SUCCESS


def audit_table(changes: list[dict[str, Any]]) -> str:
    """Returns changes of the audit trail as a table."""
    rows = [
        (
            format_time(change["time"]),
            change["revision"] or None,
            change["from_revision"],
            change["operator"],
            change["entry"],
            change["refusal"] or ", ".join(change["changed"]),
        )
        for change in changes
    ]
    heads = ("TIME (UTC)", "REVISION", "FROM", "OPERATOR", "ENTRY", "CHANGED")
    return format_table(heads, rows)


def _trail(context: Context) -> list[dict[str, Any]]:
    return list(context.client.json("GET", "/v1/fleet/audit")["changes"])


def _value_at(value: Any, path: str) -> Any:
    """Returns the value at a path with dots; names may hold dots too."""
    if not path or path == ".":
        return value
    if not isinstance(value, dict):
        return None
    for key in sorted(value, key=len, reverse=True):
        if path == key:
            return value[key]
        if path.startswith(f"{key}."):
            return _value_at(value[key], path[len(key) + 1 :])
    return None

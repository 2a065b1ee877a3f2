"""Commands for the fleet document, its audit trail and tokens."""

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

# Imported to register the check of the policies' names.
from plumvane.entry import checks as _checks  # noqa: F401
from plumvane.fleet import document as fleet_document
from plumvane.fleet.revisions import changed_paths

__all__ = ["format_audit_table"]

DOCUMENT_PATH = "/v1/fleet/document"


@command("config check", "FILE")
def check(context: Context) -> int:
    """Validates a document locally, without submitting it."""
    fleet_document.check(context.read_file(0))
    context.output.write_result({"valid": True}, "The document is valid.")
    return EXIT_SUCCESS


@command("config show")
def show(context: Context) -> int:
    """Prints the current document; its revision goes to standard error."""
    response = context.client.json("GET", DOCUMENT_PATH)
    if not context.output.as_json:
        context.output.write_message(f"revision {response['revision']}")
    context.output.write_result(
        response, json.dumps(response["document"], indent=2)
    )
    return EXIT_SUCCESS


@command("config diff", "FILE")
def diff(context: Context) -> int:
    """Shows what a file would change; exit code 2 if it differs."""
    proposed = fleet_document.check(context.read_file(0))
    response = context.client.json("GET", DOCUMENT_PATH)
    current = fleet_document.parse(json.dumps(response["document"]).encode())
    before, after = (
        current.model_dump(mode="json"),
        proposed.model_dump(mode="json"),
    )
    changes = [
        {
            "path": path,
            "from": _value_at_path(before, path),
            "to": _value_at_path(after, path),
        }
        for path in changed_paths(before, after)
    ]
    rows = [
        (change["path"], json.dumps(change["from"]), json.dumps(change["to"]))
        for change in changes
    ]
    context.output.write_result(
        {"revision": response["revision"], "changes": changes},
        format_table(
            ("FIELD", f"REVISION {response['revision']}", "FILE"), rows
        )
        if rows
        else f"No difference from revision {response['revision']}.",
    )
    return EXIT_DIFFERENCES if changes else EXIT_SUCCESS


@command("config apply", "FILE REVISION")
def apply(context: Context) -> int:
    """Submits a document that is based on the given revision."""
    body = context.read_file(0)
    revision = context.argument(1, "REVISION")
    fleet_document.check(body)
    response = context.client.json(
        "PUT", DOCUMENT_PATH, content=body, headers={"if-match": revision}
    )
    context.output.write_result(
        response, f"Accepted as revision {response['revision']}."
    )
    return EXIT_SUCCESS


@command("config history")
def history(context: Context) -> int:
    """Lists the accepted changes, oldest first."""
    changes = [
        change
        for change in _fetch_audit_trail(context)
        if change["refusal"] is None
    ]
    context.output.write_result(
        {"changes": changes}, format_audit_table(changes)
    )
    return EXIT_SUCCESS


@command("audit")
def audit(context: Context) -> int:
    """Lists all changes, accepted and refused, oldest first."""
    changes = _fetch_audit_trail(context)
    context.output.write_result(
        {"changes": changes}, format_audit_table(changes)
    )
    return EXIT_SUCCESS


@command("token make")
def make_token(context: Context) -> int:
    """Generates a token and its digest for the document."""
    token = secrets.token_urlsafe(32)
    digest = hashlib.sha256(token.encode()).hexdigest()
    context.output.write_result(
        {"token": token, "token_sha256": digest},
        f"token         {token}\ntoken_sha256  {digest}",
    )
    return EXIT_SUCCESS


def format_audit_table(changes: list[dict[str, Any]]) -> str:
    """Formats changes of the audit trail as a table."""
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
    headers = ("TIME (UTC)", "REVISION", "FROM", "OPERATOR", "ENTRY", "CHANGED")
    return format_table(headers, rows)


def _fetch_audit_trail(context: Context) -> list[dict[str, Any]]:
    return list(context.client.json("GET", "/v1/fleet/audit")["changes"])


def _value_at_path(value: Any, path: str) -> Any:
    """Returns the value at a dotted path, or None if there is none.

    Keys may contain dots themselves, so the longest matching key is followed.
    """
    if not path or path == ".":
        return value
    if not isinstance(value, dict):
        return None
    for key in sorted(value, key=len, reverse=True):
        if path == key:
            return value[key]
        if path.startswith(f"{key}."):
            return _value_at_path(value[key], path[len(key) + 1 :])
    return None

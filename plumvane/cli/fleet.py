"""Commands for instances and requests."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

from plumvane.cli.output import format_table
from plumvane.cli.registry import EXIT_SUCCESS, Context, command

__all__: list[str] = []


@command("status")
def status(context: Context) -> int:
    """Lists the instances with their load and document revision."""
    response = context.client.json("GET", "/v1/fleet/instances")
    instances = response["instances"]
    latest_revision = response["revision"]
    behind = [i["name"] for i in instances if i["revision"] != latest_revision]
    text = format_table(
        (
            "NAME",
            "ROLE",
            "DATA CENTRE",
            "SERVES",
            "STATE",
            "REVISION",
            "ONLINE",
            "BATCH",
            "LIMIT",
        ),
        [_instance_row(instance) for instance in instances],
    )
    text += f"\n\nRevision {latest_revision} is in force"
    text += f", but not at {', '.join(behind)}." if behind else " everywhere."
    context.output.write_result({**response, "behind": behind}, text)
    return EXIT_SUCCESS


@command("requests show", "KEY")
def show_request(context: Context) -> int:
    """Prints the stored response of a request."""
    key = quote(context.argument(0, "KEY"), safe="")
    body = context.client.request("GET", f"/v1/requests/{key}")
    try:
        response = json.loads(body)
    except ValueError:
        context.output.write_bytes(body)
        return EXIT_SUCCESS
    context.output.write_result(response, json.dumps(response, indent=2))
    return EXIT_SUCCESS


def _instance_row(instance: dict[str, Any]) -> tuple[Any, ...]:
    load = instance["load"] or {}
    return (
        instance["name"],
        instance["role"],
        instance["data_centre"],
        instance["serves"] or None,
        "leaving" if instance["leaving"] else "live",
        instance["revision"],
        load.get("online"),
        load.get("batch"),
        load.get("limit"),
    )

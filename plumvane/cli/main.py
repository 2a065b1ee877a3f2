"""The plumvane command."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from typing import Any

from absl import app, flags

from plumvane.cli.client import EntryClient
from plumvane.entry import checks as _checks  # noqa: F401
from plumvane.errors import BadRequestError, PlumvaneError
from plumvane.fleet import document as fleet_document

__all__ = ["COMMANDS_BY_NAME", "command", "run"]

EXIT_USAGE = 64
EXIT_REFUSED = 1

_ENTRY = flags.DEFINE_string(
    "entry", "http://127.0.0.1:8080", "URL of an entry or the balancer."
)
_TOKEN_FILE = flags.DEFINE_string(
    "token_file", None, "File with the token; else PLUMVANE_TOKEN is read."
)
_OUTPUT = flags.DEFINE_enum(
    "output", "text", ["text", "json"], "Form of the output."
)
_KEY = flags.DEFINE_string("key", None, "Idempotency key of a new job.")
_DEADLINE = flags.DEFINE_string(
    "deadline", None, "Deadline of a new job, seconds since the epoch."
)

Command = Callable[[EntryClient, list[str]], Any]
COMMANDS_BY_NAME: dict[str, Command] = {}


def command(name: str) -> Callable[[Command], Command]:
    """Registers a command under its words."""

    def register(function: Command) -> Command:
        COMMANDS_BY_NAME[name] = function
        return function

    return register


@command("config check")
def config_check(client: EntryClient, args: list[str]) -> Any:
    """Config check FILE: checks a fleet document."""
    fleet_document.check(_read(args, 0))
    return {"valid": True}


@command("config show")
def config_show(client: EntryClient, args: list[str]) -> Any:
    """Config show: shows the document in force."""
    return client.json("GET", "/v1/fleet/document")


@command("config apply")
def config_apply(client: EntryClient, args: list[str]) -> Any:
    """Config apply FILE REVISION: changes the document of a revision."""
    body = _read(args, 0)
    fleet_document.check(body)
    return client.json(
        "PUT",
        "/v1/fleet/document",
        content=body,
        headers={"if-match": _argument(args, 1, "REVISION")},
    )


@command("status")
def status(client: EntryClient, args: list[str]) -> Any:
    """status: shows each instance and its revision in force."""
    return client.json("GET", "/v1/fleet/instances")


@command("audit")
def audit(client: EntryClient, args: list[str]) -> Any:
    """audit: shows all changes, oldest first."""
    return client.json("GET", "/v1/fleet/audit")


@command("jobs submit")
def jobs_submit(client: EntryClient, args: list[str]) -> Any:
    """Jobs submit FILE: submits a batch job of JSONL."""
    headers = {}
    if _KEY.value:
        headers["idempotency-key"] = _KEY.value
    if _DEADLINE.value:
        headers["plumvane-deadline"] = _DEADLINE.value
    return client.json(
        "POST", "/v1/batches", content=_read(args, 0), headers=headers
    )


@command("jobs list")
def jobs_list(client: EntryClient, args: list[str]) -> Any:
    """Jobs list: shows the team's jobs."""
    return client.json("GET", "/v1/batches")


@command("jobs show")
def jobs_show(client: EntryClient, args: list[str]) -> Any:
    """Jobs show JOB: shows a job's progress."""
    return client.json("GET", f"/v1/batches/{_argument(args, 0, 'JOB')}")


@command("jobs cancel")
def jobs_cancel(client: EntryClient, args: list[str]) -> Any:
    """Jobs cancel JOB: cancels a job."""
    return client.json(
        "POST", f"/v1/batches/{_argument(args, 0, 'JOB')}/cancel"
    )


@command("jobs results")
def jobs_results(client: EntryClient, args: list[str]) -> Any:
    """Jobs results JOB: writes the result lines."""
    job = _argument(args, 0, "JOB")
    return client.call("GET", f"/v1/batches/{job}/results")


def run() -> None:
    """Runs the command named on the command line."""
    app.run(_main)


def _main(argv: list[str]) -> None:
    words = argv[1:]
    for count in (2, 1):
        function = COMMANDS_BY_NAME.get(" ".join(words[:count]))
        if function is not None:
            _execute(function, words[count:])
            return
    print("Commands:", file=sys.stderr)
    for function in COMMANDS_BY_NAME.values():
        print(f"  plumvane {function.__doc__}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


def _execute(function: Command, args: list[str]) -> None:
    try:
        _print(function(EntryClient(_ENTRY.value, _token()), args))
    except PlumvaneError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_REFUSED)


def _print(result: Any) -> None:
    if isinstance(result, bytes):
        sys.stdout.buffer.write(result)
    elif _OUTPUT.value == "json":
        print(json.dumps(result))
    else:
        print(json.dumps(result, indent=2))


def _token() -> str:
    if _TOKEN_FILE.value:
        with open(_TOKEN_FILE.value, encoding="utf-8") as file:
            return file.read().strip()
    return os.environ.get("PLUMVANE_TOKEN", "")


def _argument(args: list[str], index: int, name: str) -> str:
    if len(args) <= index:
        raise BadRequestError(f"{name} is missing.", remedy=f"Give {name}.")
    return args[index]


def _read(args: list[str], index: int) -> bytes:
    path = _argument(args, index, "FILE")
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise BadRequestError(
            f"{path}: {error.strerror}.", remedy="Name a readable file."
        ) from error

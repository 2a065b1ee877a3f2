"""The plumvane command."""

from __future__ import annotations

import os
import sys

from absl import app, flags

from plumvane.cli import config, fleet, jobs, keys
from plumvane.cli.client import EntryClient
from plumvane.cli.output import Output
from plumvane.cli.registry import COMMANDS_BY_NAME, Command, Context
from plumvane.errors import BadRequestError, PlumvaneError

__all__ = ["EXIT_CODES", "MODULES", "exit_code", "run"]

MODULES = (config, jobs, fleet, keys)

EXIT_REFUSED = 1
EXIT_CONFLICT = 3
EXIT_RETRY = 4
EXIT_UNKNOWN = 5
EXIT_USAGE = 64
EXIT_NO_PERMISSION = 77
EXIT_INTERRUPTED = 130

#: Exit codes and what they mean.
EXIT_CODES = {
    0: "Done.",
    EXIT_REFUSED: "Refused, or failed for good; the message has the remedy.",
    2: "`config diff`: the file differs.",
    EXIT_CONFLICT: "Another change came first; nothing was changed.",
    EXIT_RETRY: "Not available now; the same command may be given again.",
    EXIT_UNKNOWN: "It is not known whether it took effect.",
    6: "`jobs watch`: the job ended without a result for each item.",
    EXIT_USAGE: "The command line is wrong.",
    EXIT_NO_PERMISSION: "The token is unknown or lacks the role.",
    EXIT_INTERRUPTED: "Interrupted from the terminal.",
}
_EXIT_BY_STATUS = {
    401: EXIT_NO_PERMISSION,
    403: EXIT_NO_PERMISSION,
    409: EXIT_CONFLICT,
    429: EXIT_RETRY,
    503: EXIT_RETRY,
    504: EXIT_RETRY,
}

_ENTRY = flags.DEFINE_string(
    "entry", "http://127.0.0.1:8080", "URL of an entry or the balancer."
)
_TOKEN_FILE = flags.DEFINE_string(
    "token_file", None, "File with the token; else PLUMVANE_TOKEN is read."
)
_CA_FILE = flags.DEFINE_string(
    "ca_file", None, "PEM certificates to trust for https."
)
_OUTPUT = flags.DEFINE_enum(
    "output", "text", ["text", "json"], "Form of the output."
)


def run() -> None:
    """Runs the command named on the command line."""
    flags.FLAGS.set_gnu_getopt(True)
    app.run(_main)


def exit_code(error: PlumvaneError) -> int:
    """Returns the exit code for an error."""
    if error.code == "outcome_unknown":
        return EXIT_UNKNOWN
    return _EXIT_BY_STATUS.get(error.status, EXIT_REFUSED)


def _main(argv: list[str]) -> None:
    words = argv[1:]
    for count in (2, 1):
        found = COMMANDS_BY_NAME.get(" ".join(words[:count]))
        if found is not None:
            sys.exit(_execute(found, words[count:]))
    print("Commands:", file=sys.stderr)
    for found in COMMANDS_BY_NAME.values():
        print(f"  {found.usage:40} {found.help}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


def _execute(found: Command, arguments: list[str]) -> int:
    output = Output(as_json=_OUTPUT.value == "json")
    try:
        client = EntryClient(_ENTRY.value, _token(), ca_file=_CA_FILE.value)
        return found.run(Context(client, output, arguments))
    except PlumvaneError as error:
        output.write_message(str(error))
        return exit_code(error)
    except KeyboardInterrupt:
        output.finish_progress()
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader of standard output has gone; nothing is left to write.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_REFUSED


def _token() -> str:
    if not _TOKEN_FILE.value:
        return os.environ.get("PLUMVANE_TOKEN", "")
    try:
        with open(_TOKEN_FILE.value, encoding="utf-8") as file:
            return file.read().strip()
    except OSError as error:
        raise BadRequestError(
            f"{_TOKEN_FILE.value}: {error.strerror}.",
            remedy="Name a readable file with --token_file.",
        ) from error

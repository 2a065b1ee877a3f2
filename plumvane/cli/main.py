"""Entry point of the plumvane command."""

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

# Importing these modules registers their commands.
MODULES = (config, jobs, fleet, keys)

EXIT_FAILURE = 1
EXIT_CONFLICT = 3
EXIT_RETRY = 4
EXIT_OUTCOME_UNKNOWN = 5
EXIT_USAGE = 64
EXIT_NO_PERMISSION = 77
EXIT_INTERRUPTED = 130

#: Exit codes and what they mean.
EXIT_CODES = {
    0: "Done.",
    EXIT_FAILURE: "Refused, or failed for good; the message has the remedy.",
    2: "`config diff`: the file differs.",
    EXIT_CONFLICT: "Another change came first; nothing was changed.",
    EXIT_RETRY: "Not available now; the same command may be given again.",
    EXIT_OUTCOME_UNKNOWN: "It is not known whether it took effect.",
    6: "`jobs watch`: the job ended without a result for each item.",
    EXIT_USAGE: "The command line is wrong.",
    EXIT_NO_PERMISSION: "The token is unknown or lacks the role.",
    EXIT_INTERRUPTED: "Interrupted from the terminal.",
}
_EXIT_CODE_BY_STATUS = {
    401: EXIT_NO_PERMISSION,
    403: EXIT_NO_PERMISSION,
    409: EXIT_CONFLICT,
    429: EXIT_RETRY,
    503: EXIT_RETRY,
    504: EXIT_RETRY,
}

_ENTRY = flags.DEFINE_string(
    "entry", "http://127.0.0.1:8080", "URL of an entry or of the load balancer."
)
_TOKEN_FILE = flags.DEFINE_string(
    "token_file",
    None,
    "File with the bearer token; default: the variable PLUMVANE_TOKEN.",
)
_CA_FILE = flags.DEFINE_string(
    "ca_file", None, "File of trusted CA certificates in PEM, for https."
)
_OUTPUT = flags.DEFINE_enum(
    "output", "text", ["text", "json"], "Output format."
)


def run() -> None:
    """Runs the subcommand given on the command line."""
    flags.FLAGS.set_gnu_getopt(True)
    app.run(_main)


def exit_code(error: PlumvaneError) -> int:
    """Returns the exit code that reports an error."""
    if error.code == "outcome_unknown":
        return EXIT_OUTCOME_UNKNOWN
    return _EXIT_CODE_BY_STATUS.get(error.status, EXIT_FAILURE)


def _main(argv: list[str]) -> None:
    arguments = argv[1:]
    for name_length in (2, 1):
        command = COMMANDS_BY_NAME.get(" ".join(arguments[:name_length]))
        if command is not None:
            sys.exit(_execute(command, arguments[name_length:]))
    print("Commands:", file=sys.stderr)
    for command in COMMANDS_BY_NAME.values():
        print(f"  {command.usage:40} {command.help}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


def _execute(command: Command, arguments: list[str]) -> int:
    output = Output(as_json=_OUTPUT.value == "json")
    try:
        client = EntryClient(
            _ENTRY.value, _read_token(), ca_file=_CA_FILE.value
        )
        return command.run(Context(client, output, arguments))
    except PlumvaneError as error:
        output.write_message(str(error))
        return exit_code(error)
    except KeyboardInterrupt:
        output.finish_progress()
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # Standard output is closed. It is redirected to /dev/null, since the
        # flush at interpreter exit would raise again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILURE


def _read_token() -> str:
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

"""Registry of the subcommands, and the context that they run in."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from plumvane.cli.client import EntryClient
from plumvane.cli.output import Output
from plumvane.errors import BadRequestError

__all__ = [
    "COMMANDS_BY_NAME",
    "Command",
    "Context",
    "EXIT_DIFFERENCES",
    "EXIT_JOB_FAILED",
    "EXIT_SUCCESS",
    "command",
]

EXIT_SUCCESS = 0
EXIT_DIFFERENCES = 2
EXIT_JOB_FAILED = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Client, output and arguments that a command runs with.

    Attributes:
        client: HTTP client of the entry.
        output: Writer of results and messages.
        arguments: Positional arguments after the command's name.
    """

    client: EntryClient
    output: Output
    arguments: list[str]

    def argument(self, index: int, name: str) -> str:
        """Returns a positional argument.

        Args:
            index: Position of the argument.
            name: Name of the argument in the error message.

        Raises:
            BadRequestError: The argument is missing.
        """
        if len(self.arguments) <= index:
            raise BadRequestError(
                f"Argument {name} is missing.", remedy=f"Give {name}."
            )
        return self.arguments[index]

    def read_file(self, index: int) -> bytes:
        """Returns the content of the file whose path is an argument.

        Raises:
            BadRequestError: The argument is missing or the file is not
                readable.
        """
        path = self.argument(index, "FILE")
        try:
            with open(path, "rb") as file:
                return file.read()
        except OSError as error:
            raise BadRequestError(
                f"{path}: {error.strerror}.", remedy="Name a readable file."
            ) from error


CommandFunction = Callable[[Context], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A registered subcommand.

    Attributes:
        usage: Command line with the names of the arguments.
        help: One-line description.
        run: Function that runs the command and returns the exit code.
    """

    usage: str
    help: str
    run: CommandFunction


COMMANDS_BY_NAME: dict[str, Command] = {}


def command(
    name: str, arguments: str = ""
) -> Callable[[CommandFunction], CommandFunction]:
    """Registers a function as a subcommand.

    The first line of its doc comment is the help text.

    Args:
        name: Name of the subcommand, one or two words.
        arguments: Names of the positional arguments, for the usage text.
    """

    def register(function: CommandFunction) -> CommandFunction:
        help_text = (function.__doc__ or "").splitlines()[0]
        usage = f"plumvane {name} {arguments}".rstrip()
        COMMANDS_BY_NAME[name] = Command(usage, help_text, function)
        return function

    return register

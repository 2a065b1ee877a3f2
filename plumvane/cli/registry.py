"""Commands by their words, and what they work with."""

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
    "EXIT_DIFFERENT",
    "EXIT_DONE",
    "EXIT_JOB_FAILED",
    "command",
]

EXIT_DONE = 0
EXIT_DIFFERENT = 2
EXIT_JOB_FAILED = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What a command works with.

    Attributes:
        client: Calls the entry.
        output: Where results go.
        arguments: Words after the command's name.
    """

    client: EntryClient
    output: Output
    arguments: list[str]

    def argument(self, index: int, name: str) -> str:
        """Returns an argument.

        Raises:
            BadRequestError: It is missing.
        """
        if len(self.arguments) <= index:
            raise BadRequestError(f"{name} is missing.", remedy=f"Give {name}.")
        return self.arguments[index]

    def read_file(self, index: int) -> bytes:
        """Returns the content of the file that an argument names.

        Raises:
            BadRequestError: It cannot be read.
        """
        path = self.argument(index, "FILE")
        try:
            with open(path, "rb") as file:
                return file.read()
        except OSError as error:
            raise BadRequestError(
                f"{path}: {error.strerror}.", remedy="Name a readable file."
            ) from error


Run = Callable[[Context], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A command of the shell.

    Attributes:
        usage: Its words and arguments.
        help: What it does.
        run: Runs it and returns the exit code.
    """

    usage: str
    help: str
    run: Run


COMMANDS_BY_NAME: dict[str, Command] = {}


def command(name: str, arguments: str = "") -> Callable[[Run], Run]:
    """Registers a command under its words.

    Args:
        name: One or two words.
        arguments: What follows them, for the usage text.
    """

    def register(run: Run) -> Run:
        text = (run.__doc__ or "").splitlines()[0]
        usage = f"plumvane {name} {arguments}".rstrip()
        COMMANDS_BY_NAME[name] = Command(usage, text, run)
        return run

    return register

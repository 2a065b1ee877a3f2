"""Commands on the keys between the system's processes."""

from __future__ import annotations

import pathlib

from plumvane.cli.registry import EXIT_DONE, Context, command
from plumvane.errors import BadRequestError
from plumvane.peers import keys

__all__: list[str] = []


@command("keys make", "FOLDER NAME")
def make(context: Context) -> int:
    """Makes a CURVE key pair in two files; the secret is shown nowhere."""
    folder = pathlib.Path(context.argument(0, "FOLDER"))
    try:
        public, secret = keys.create_key_pair(
            folder, context.argument(1, "NAME")
        )
    except OSError as error:
        raise BadRequestError(
            f"No key was made: {error}.",
            remedy="Name a folder that exists and a name that is free.",
        ) from error
    context.output.result(
        {"public": str(public), "secret": str(secret)},
        f"public  {public}\nsecret  {secret}",
    )
    return EXIT_DONE

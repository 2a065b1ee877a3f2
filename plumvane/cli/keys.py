"""Commands for the CURVE keys of connections between processes."""

from __future__ import annotations

import pathlib

from plumvane.cli.registry import EXIT_SUCCESS, Context, command
from plumvane.errors import BadRequestError
from plumvane.peers import keys

__all__: list[str] = []


@command("keys make", "FOLDER NAME")
def make_key_pair(context: Context) -> int:
    """Writes a CURVE key pair to two files, without printing the secret."""
    folder = pathlib.Path(context.argument(0, "FOLDER"))
    try:
        public, secret = keys.create_key_pair(
            folder, context.argument(1, "NAME")
        )
    except OSError as error:
        raise BadRequestError(
            f"Cannot create the key pair: {error}.",
            remedy="Give an existing folder and a name that is not in use.",
        ) from error
    context.output.write_result(
        {"public": str(public), "secret": str(secret)},
        f"public  {public}\nsecret  {secret}",
    )
    return EXIT_SUCCESS

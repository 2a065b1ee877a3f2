"""CURVE keys of the connections between the system's processes."""

from __future__ import annotations

import dataclasses
import os
import pathlib

import anyio
import anyio.abc
import zmq
import zmq.auth
from zmq.auth.thread import ThreadAuthenticator

from plumvane.errors import SettingsError
from plumvane.settings import KeysSection

__all__ = ["PeerKeys", "create_key_pair", "guard", "load"]

RELOAD_S = 5.0
SECRET_SUFFIX = ".key_secret"
PUBLIC_SUFFIX = ".key"


@dataclasses.dataclass(frozen=True, slots=True)
class _Pair:
    """A CURVE key pair.

    Attributes:
        public: Public key, Z85.
        secret: Secret key, Z85; never shown.
    """

    public: bytes
    secret: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerKeys:
    """Keys of one process.

    Attributes:
        server: Key pair that peers are served with, the fleet's.
        client: Key pair that peers are called with, the process's own.
        server_publics: Public keys that peers may serve with; more than one
            while the fleet's key is being replaced.
        allowed_folder: Folder of the public keys of allowed callers.
    """

    server: _Pair
    client: _Pair
    server_publics: tuple[bytes, ...]
    allowed_folder: pathlib.Path

    def set_server(self, socket: zmq.Socket[bytes]) -> None:
        """Makes a socket serve allowed callers only."""
        socket.curve_server = True
        socket.curve_publickey = self.server.public
        socket.curve_secretkey = self.server.secret

    def set_client(self, socket: zmq.Socket[bytes], attempt: int) -> None:
        """Makes a socket call peers of this fleet only.

        Args:
            socket: The socket.
            attempt: Number of the attempt; each tries the next server key.
        """
        socket.curve_publickey = self.client.public
        socket.curve_secretkey = self.client.secret
        number = attempt % len(self.server_publics)
        socket.curve_serverkey = self.server_publics[number]


def load(section: KeysSection | None) -> PeerKeys | None:
    """Reads the keys that the settings name.

    Args:
        section: Section [keys], or None for connections without keys.

    Raises:
        SettingsError: A file holds no key.
    """
    if section is None:
        return None
    return PeerKeys(
        _read_pair(section.server_secret_file, "server_secret_file"),
        _read_pair(section.client_secret_file, "client_secret_file"),
        tuple(
            _read(pathlib.Path(path.strip()), "server_public_files")[0]
            for path in section.server_public_files.split(",")
        ),
        section.allowed_folder,
    )


def create_key_pair(
    folder: pathlib.Path, name: str
) -> tuple[pathlib.Path, pathlib.Path]:
    """Makes a key pair.

    Args:
        folder: Folder of the two files.
        name: Name of the files without their suffixes.

    Returns:
        Paths of the public and of the secret key.

    Raises:
        FileExistsError: The name is taken.
    """
    public = folder / f"{name}{PUBLIC_SUFFIX}"
    secret = folder / f"{name}{SECRET_SUFFIX}"
    for path in (public, secret):
        if path.exists():
            raise FileExistsError(f"{path} exists")
    # The secret is readable by its owner alone from the start.
    previous = os.umask(0o077)
    try:
        zmq.auth.create_certificates(str(folder), name)
    finally:
        os.umask(previous)
    public.chmod(0o644)
    return public, secret


async def guard(
    context: zmq.Context[zmq.Socket[bytes]],
    keys: PeerKeys,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Admits only callers whose keys are allowed; runs always.

    Keys added to the folder are admitted within seconds. A key taken out
    opens no new connection; those that are open stay.
    """
    authenticator = ThreadAuthenticator(context)
    authenticator.start()
    try:
        known: set[tuple[str, int]] | None = None
        while True:
            found = await anyio.to_thread.run_sync(
                _certificates, keys.allowed_folder
            )
            if found != known:
                known = found
                authenticator.configure_curve(
                    domain="*", location=str(keys.allowed_folder)
                )
                task_status.started()
                task_status = anyio.TASK_STATUS_IGNORED
            await anyio.sleep(RELOAD_S)
    finally:
        authenticator.stop()


def _certificates(folder: pathlib.Path) -> set[tuple[str, int]]:
    return {
        (path.name, path.stat().st_mtime_ns)
        for path in folder.glob(f"*{PUBLIC_SUFFIX}")
    }


def _read_pair(path: pathlib.Path, key: str) -> _Pair:
    public, secret = _read(path, key)
    if secret is None:
        raise SettingsError(
            f"section [keys], key {key}: {path} holds no secret key.",
            remedy=f"Name the file that ends in {SECRET_SUFFIX}.",
        )
    return _Pair(public, secret)


def _read(path: pathlib.Path, key: str) -> tuple[bytes, bytes | None]:
    try:
        public, secret = zmq.auth.load_certificate(str(path))
    except (OSError, ValueError):
        raise SettingsError(
            f"section [keys], key {key}: {path} holds no CURVE key.",
            remedy="Make one with 'plumvane keys make FOLDER NAME'.",
        ) from None
    return public, secret

"""CURVE keys for the connections between plumvane processes."""

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

__all__ = ["PeerKeys", "create_key_pair", "load", "run_authenticator"]

RELOAD_INTERVAL_S = 5.0
SECRET_SUFFIX = ".key_secret"
PUBLIC_SUFFIX = ".key"


@dataclasses.dataclass(frozen=True, slots=True)
class _KeyPair:
    """A CURVE key pair.

    Attributes:
        public: Public key, encoded in Z85.
        secret: Secret key, encoded in Z85; excluded from the repr.
    """

    public: bytes
    secret: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerKeys:
    """CURVE keys of one process.

    Attributes:
        server: Key pair of the server side, shared by the whole fleet.
        client: Key pair of the client side, used by this process only.
        server_publics: Server keys accepted from peers; more than one while
            the fleet's key is being rotated.
        allowed_folder: Folder with the public keys of authorized clients.
    """

    server: _KeyPair
    client: _KeyPair
    server_publics: tuple[bytes, ...]
    allowed_folder: pathlib.Path

    def set_server(self, socket: zmq.Socket[bytes]) -> None:
        """Configures a server socket, which accepts authorized clients only."""
        socket.curve_server = True
        socket.curve_publickey = self.server.public
        socket.curve_secretkey = self.server.secret

    def set_client(self, socket: zmq.Socket[bytes], attempt: int) -> None:
        """Configures a client socket, which connects to this fleet only.

        Args:
            socket: The socket.
            attempt: Number of the connection attempt; consecutive attempts
                use the server keys in turn.
        """
        socket.curve_publickey = self.client.public
        socket.curve_secretkey = self.client.secret
        number = attempt % len(self.server_publics)
        socket.curve_serverkey = self.server_publics[number]


def load(section: KeysSection | None) -> PeerKeys | None:
    """Reads the keys named in the settings.

    Args:
        section: Section [keys], or None for unencrypted connections.

    Raises:
        SettingsError: A file cannot be read or lacks the required key.
    """
    if section is None:
        return None
    return PeerKeys(
        _read_key_pair(section.server_secret_file, "server_secret_file"),
        _read_key_pair(section.client_secret_file, "client_secret_file"),
        tuple(
            _read_certificate(
                pathlib.Path(path.strip()), "server_public_files"
            )[0]
            for path in section.server_public_files.split(",")
        ),
        section.allowed_folder,
    )


def create_key_pair(
    folder: pathlib.Path, name: str
) -> tuple[pathlib.Path, pathlib.Path]:
    """Creates a key pair.

    Args:
        folder: Folder of the two files.
        name: Name of the files without their suffixes.

    Returns:
        Paths of the public key and the secret key.

    Raises:
        FileExistsError: One of the files already exists.
    """
    public = folder / f"{name}{PUBLIC_SUFFIX}"
    secret = folder / f"{name}{SECRET_SUFFIX}"
    for path in (public, secret):
        if path.exists():
            raise FileExistsError(f"{path} already exists")
    # The umask makes the secret key readable by its owner only from its
    # creation on.
    previous = os.umask(0o077)
    try:
        zmq.auth.create_certificates(str(folder), name)
    finally:
        os.umask(previous)
    public.chmod(0o644)
    return public, secret


async def run_authenticator(
    context: zmq.Context[zmq.Socket[bytes]],
    keys: PeerKeys,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Authenticates clients by the allowed public keys, until cancelled.

    The folder of keys is checked for changes every `RELOAD_INTERVAL_S`, so an
    added key is accepted without a restart. Removing a key prevents new
    connections with it; established connections stay open.
    """
    authenticator = ThreadAuthenticator(context)
    authenticator.start()
    try:
        loaded: set[tuple[str, int]] | None = None
        while True:
            found = await anyio.to_thread.run_sync(
                _certificate_times, keys.allowed_folder
            )
            if found != loaded:
                loaded = found
                authenticator.configure_curve(
                    domain="*", location=str(keys.allowed_folder)
                )
                task_status.started()
                task_status = anyio.TASK_STATUS_IGNORED
            await anyio.sleep(RELOAD_INTERVAL_S)
    finally:
        authenticator.stop()


def _certificate_times(folder: pathlib.Path) -> set[tuple[str, int]]:
    return {
        (path.name, path.stat().st_mtime_ns)
        for path in folder.glob(f"*{PUBLIC_SUFFIX}")
    }


def _read_key_pair(path: pathlib.Path, key: str) -> _KeyPair:
    public, secret = _read_certificate(path, key)
    if secret is None:
        raise SettingsError(
            f"section [keys], key {key}: {path} contains no secret key.",
            remedy=f"Specify the file whose name ends in {SECRET_SUFFIX}.",
        )
    return _KeyPair(public, secret)


def _read_certificate(
    path: pathlib.Path, key: str
) -> tuple[bytes, bytes | None]:
    try:
        public, secret = zmq.auth.load_certificate(str(path))
    except (OSError, ValueError):
        raise SettingsError(
            f"section [keys], key {key}: {path} contains no CURVE key.",
            remedy="Create one with 'plumvane keys make FOLDER NAME'.",
        ) from None
    return public, secret

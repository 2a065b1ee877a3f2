"""INI settings of a process, checked by a model at start."""

from __future__ import annotations

import configparser
import ipaddress
import os
import pathlib
import re
import typing
import urllib.parse
from collections.abc import Callable
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from plumvane.errors import SettingsError

__all__ = [
    "Address",
    "BulkSettings",
    "CommonSettings",
    "EntrySettings",
    "GatewaySettings",
    "KeysSection",
    "ProcessSection",
    "SidecarSettings",
    "WorkerSettings",
    "load",
]

Parse = Callable[[str], Any]
P = TypeVar("P", bound=Parse)
# Readers of values that are more than text, by the type of their field.
_PARSERS_BY_TYPE: dict[type, Parse] = {}


def _parses(kind: type) -> Callable[[P], P]:
    """Registers the reader of a type of value."""

    def register(parse: P) -> P:
        _PARSERS_BY_TYPE[kind] = parse
        return parse

    return register


class Address:
    """An IP number and a port.

    Attributes:
        host: IP number.
        port: TCP port, 1 to 65535.
    """

    __slots__ = ("host", "port")

    def __init__(self, host: str, port: int) -> None:
        """Creates the address."""
        self.host = host
        self.port = port

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Address) and str(self) == str(other)

    def __hash__(self) -> int:
        return hash(str(self))

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"

    __repr__ = __str__


class Url(str):
    """An http or https URL."""

    __slots__ = ()


class FilePath(type(pathlib.Path())):  # type: ignore[misc]
    """Path of a file that exists."""


class FolderPath(type(pathlib.Path())):  # type: ignore[misc]
    """Path of a folder that exists."""


class DataFolderPath(FolderPath):
    """Path of a folder that exists and can be written to."""


@_parses(Address)
def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise ValueError("write it as IP:PORT with an IP number") from None
    if not 1 <= number <= 65535:
        raise ValueError("the port must be 1 to 65535")
    return Address(host, number)


@_parses(Url)
def _parse_url(text: str) -> Url:
    parts = urllib.parse.urlsplit(text)
    try:
        port_is_valid = parts.port is None or parts.port > 0
    except ValueError:
        port_is_valid = False
    known = parts.scheme in ("http", "https")
    if not (known and parts.hostname and port_is_valid):
        raise ValueError("write it as http://IP:PORT or https://IP:PORT")
    return Url(text)


@_parses(FilePath)
def _parse_file(text: str) -> FilePath:
    path = FilePath(text)
    if not path.is_file():
        raise ValueError(f"the file {path} does not exist")
    return path


@_parses(FolderPath)
def _parse_folder(text: str) -> FolderPath:
    path = FolderPath(text)
    if not path.is_dir():
        raise ValueError(f"the folder {path} does not exist; create it")
    return path


@_parses(DataFolderPath)
def _parse_data_folder(text: str) -> DataFolderPath:
    path = DataFolderPath(_parse_folder(text))
    if not os.access(path, os.W_OK | os.X_OK):
        raise ValueError(f"the folder {path} is not writable")
    return path


Text = Annotated[str, msgspec.Meta(min_length=1)]


class _Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A section whose unknown keys are errors."""


class InstanceSection(_Section, frozen=True, kw_only=True):
    """Section [process]: what every program has.

    Attributes:
        name: Name of the instance, unique in the fleet.
        data_centre: Data centre that the instance stands in.
    """

    name: Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*$")]
    data_centre: Text


class ProcessSection(InstanceSection, frozen=True, kw_only=True):
    """Section [process] of a program with peers.

    Attributes:
        peer_address: Where other plumvane processes reach this one.
        listen_address: Where it listens for them, if that differs.
    """

    peer_address: Address
    listen_address: Address | None = None

    @property
    def bind_address(self) -> Address:
        """Where the process listens for its peers."""
        return self.listen_address or self.peer_address


class PlatformSection(_Section, frozen=True, kw_only=True):
    """Section [platform]: the platform's services.

    Attributes:
        instances_url: URL of the list of live and leaving instances.
        store_url: URL of the key-value store; entries only.
    """

    instances_url: Url
    store_url: Url | None = None


class HttpSection(_Section, frozen=True, kw_only=True):
    """Section [http]: the interface for callers and operators.

    Attributes:
        address: Where callers reach the entry.
        certificate_file: PEM certificate chain; plain HTTP if absent.
        key_file: PEM private key of the certificate.
    """

    address: Address
    certificate_file: FilePath | None = None
    key_file: FilePath | None = None

    def __post_init__(self) -> None:
        """Checks that a certificate comes with its key."""
        if (self.certificate_file is None) != (self.key_file is None):
            raise ValueError("certificate_file and key_file go together")


class UpstreamSection(_Section, frozen=True, kw_only=True):
    """Section [upstream]: the back end beside a sidecar.

    Attributes:
        url: Base URL of the engine or service.
        kind: Protocol of the upstream: `engine` or `service`.
        serves: Name of the model or service in the fleet document.
    """

    url: Url
    kind: Literal["engine", "service"]
    serves: Text


class DataSection(_Section, frozen=True, kw_only=True):
    """Section [data]: the disk of a bulk instance.

    Attributes:
        folder: Data folder; it must exist.
    """

    folder: DataFolderPath


class MetricsSection(_Section, frozen=True, kw_only=True):
    """Section [metrics]: the read-out of metrics.

    Attributes:
        address: Where Prometheus reads GET /metrics.
    """

    address: Address


class KeysSection(_Section, frozen=True, kw_only=True):
    """Section [keys]: CURVE keys of the connections between processes.

    Attributes:
        server_secret_file: Secret key that the fleet's processes serve with.
        server_public_files: Public keys that peers may serve with, separated
            by commas.
        client_secret_file: Secret key that this process calls peers with.
        allowed_folder: Folder of the public keys of allowed callers.
    """

    server_secret_file: FilePath
    server_public_files: Text
    client_secret_file: FilePath
    allowed_folder: FolderPath


class ProgramSettings(_Section, frozen=True, kw_only=True):
    """Sections that every program has.

    Attributes:
        process: Section [process].
        metrics: Section [metrics]; without it only entries keep metrics.
    """

    process: InstanceSection
    metrics: MetricsSection | None = None


class CommonSettings(ProgramSettings, frozen=True, kw_only=True):
    """Sections of programs with peers.

    Attributes:
        process: Section [process].
        platform: Section [platform].
        keys: Section [keys]; without it peers need no key.
    """

    process: ProcessSection
    platform: PlatformSection
    keys: KeysSection | None = None


class EntrySettings(CommonSettings, frozen=True, kw_only=True):
    """Settings of plumvane-entry.

    Attributes:
        http: Section [http].
    """

    http: HttpSection

    def __post_init__(self) -> None:
        """Checks that the entry has a store."""
        if self.platform.store_url is None:
            raise ValueError(
                "section [platform], key store_url: an entry needs the "
                "store's URL"
            )


class SidecarSettings(CommonSettings, frozen=True, kw_only=True):
    """Settings of plumvane-sidecar.

    Attributes:
        upstream: Section [upstream].
    """

    upstream: UpstreamSection


class BulkSettings(CommonSettings, frozen=True, kw_only=True):
    """Settings of plumvane-bulk.

    Attributes:
        data: Section [data].
    """

    data: DataSection


class StoreSection(_Section, frozen=True, kw_only=True):
    """Section [store]: the platform's store.

    Attributes:
        url: Base URL of the store.
    """

    url: Url


class AddressSection(_Section, frozen=True, kw_only=True):
    """A section that names where the process listens.

    Attributes:
        address: IP number and port.
    """

    address: Address


class WorkerSettings(ProgramSettings, frozen=True, kw_only=True):
    """Settings of plumvane-worker.

    Attributes:
        store: Section [store].
        peers: Section [peers]: where other instances reach this one.
    """

    store: StoreSection
    peers: AddressSection


class GatewaySettings(WorkerSettings, frozen=True, kw_only=True):
    """Settings of plumvane-gateway.

    Attributes:
        callers: Section [callers]: where callers' connections arrive.
        balancer: Section [balancer]: where the platform's balancer asks
            whether the instance is ready.
    """

    callers: AddressSection
    balancer: AddressSection


S = TypeVar("S", bound=ProgramSettings)


def load(path: str, model: type[S]) -> S:
    """Reads and checks an INI file.

    Args:
        path: Path of the file.
        model: Settings model of the process.

    Returns:
        The checked settings.

    Raises:
        SettingsError: The file is missing or wrong; the message names the
            section, the key and the remedy.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        raise SettingsError(
            f"Settings file {path}: {error.strerror}.",
            remedy="Name a readable INI file with --settings.",
        ) from error
    except UnicodeDecodeError as error:
        raise SettingsError(
            f"Settings file {path} is not UTF-8 text.",
            remedy="Name an INI file with --settings.",
        ) from error
    except configparser.Error as error:
        raise SettingsError(
            f"Settings file {path} is not INI: {error.message}.",
            remedy="Write sections as [name] and keys as key = value.",
        ) from error
    values = {name: dict(parser[name]) for name in parser.sections()}
    return _convert(path, values, model)


def _convert(path: str, values: dict[str, dict[str, str]], model: type[S]) -> S:
    """Checks the sections one by one, so that each one's fault is told."""
    sections: dict[str, Any] = {}
    faults: list[_Fault] = []
    for field in msgspec.structs.fields(model):
        if field.name in values:
            try:
                sections[field.name] = msgspec.convert(
                    values.pop(field.name),
                    field.type,
                    strict=False,
                    dec_hook=_parse_value,
                )
            except msgspec.ValidationError as error:
                faults.append(_section_fault(field.name, str(error)))
        elif field.required:
            place = f"section [{field.name}]"
            faults.append(_Fault(f"{place}: it is missing", f"Add {place}."))
    for name in values:
        place = f"section [{name}]"
        faults.append(
            _Fault(
                f"{place}: it is unknown",
                f"Remove {place}, or correct its name.",
            )
        )
    if not faults:
        try:
            return model(**sections)
        except ValueError as error:
            faults.append(_Fault(str(error), f"Correct {error}."))
    raise SettingsError(
        f"{path}: " + "; ".join(fault.detail for fault in faults) + ".",
        remedy=" ".join(fault.remedy for fault in faults),
    )


class _Fault(typing.NamedTuple):
    """Something wrong in a settings file.

    Attributes:
        detail: Where it is and what is wrong.
        remedy: What to do about it.
    """

    detail: str
    remedy: str


def _section_fault(section: str, message: str) -> _Fault:
    """Returns the fault that msgspec found in a section.

    Args:
        section: Name of the section.
        message: What msgspec says, with the key in back quotes.
    """
    text, _, at = message.partition(" - at `$")
    key = at.strip(".`")
    field = re.search("(unknown|required) field `(.*)`", text)
    place = f"section [{section}]"
    if field is None:
        place += f", key {key}" if key else ""
        return _Fault(f"{place}: {text}", f"Correct {place}: {text}.")
    place += f", key {field[2]}"
    if field[1] == "required":
        return _Fault(f"{place}: it is missing", f"Add {place}.")
    return _Fault(
        f"{place}: it is unknown", f"Remove {place}, or correct its name."
    )


def _parse_value(kind: type, value: Any) -> Any:
    """Reads a value of a type that msgspec does not know."""
    return _PARSERS_BY_TYPE[kind](value)

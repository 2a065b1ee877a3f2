"""INI settings of a process, checked by a model at start."""

from __future__ import annotations

import configparser
import ipaddress
import os
import pathlib
import urllib.parse
from typing import Annotated, Any, TypeVar

import pydantic

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


class Address(pydantic.BaseModel):
    """An IP number and a port.

    Attributes:
        host: IP number.
        port: TCP port, 1 to 65535.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    host: str
    port: int = pydantic.Field(ge=1, le=65535)

    @pydantic.model_validator(mode="before")
    @classmethod
    def _parse(cls, value: Any) -> Any:
        if not isinstance(value, str):
            return value
        host, _, port = value.rpartition(":")
        host = host.strip("[]")
        try:
            ipaddress.ip_address(host)
        except ValueError:
            raise ValueError("write it as IP:PORT with an IP number") from None
        return {"host": host, "port": port}

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def _existing_folder(path: pathlib.Path) -> pathlib.Path:
    if not path.is_dir():
        raise ValueError(f"the folder {path} does not exist; create it")
    if not os.access(path, os.W_OK | os.X_OK):
        raise ValueError(f"the folder {path} is not writable")
    return path


Folder = Annotated[pathlib.Path, pydantic.AfterValidator(_existing_folder)]


def _http_url(url: str) -> str:
    parts = urllib.parse.urlsplit(url)
    try:
        port_is_valid = parts.port is None or parts.port > 0
    except ValueError:
        port_is_valid = False
    known = parts.scheme in ("http", "https")
    if not (known and parts.hostname and port_is_valid):
        raise ValueError("write it as http://IP:PORT or https://IP:PORT")
    return url


Url = Annotated[str, pydantic.AfterValidator(_http_url)]


class _Section(pydantic.BaseModel):
    """A section whose unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class InstanceSection(_Section):
    """Section [process]: what every program has.

    Attributes:
        name: Name of the instance, unique in the fleet.
        data_centre: Data centre that the instance stands in.
    """

    name: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9.-]*$")
    data_centre: str = pydantic.Field(min_length=1)


class ProcessSection(InstanceSection):
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


class PlatformSection(_Section):
    """Section [platform]: the platform's services.

    Attributes:
        instances_url: URL of the list of live and leaving instances.
        store_url: URL of the key-value store; entries only.
    """

    instances_url: Url
    store_url: Url | None = None


class HttpSection(_Section):
    """Section [http]: the interface for callers and operators.

    Attributes:
        address: Where callers reach the entry.
        certificate_file: PEM certificate chain; plain HTTP if absent.
        key_file: PEM private key of the certificate.
    """

    address: Address
    certificate_file: pydantic.FilePath | None = None
    key_file: pydantic.FilePath | None = None

    @pydantic.model_validator(mode="after")
    def _check_pair(self) -> HttpSection:
        if (self.certificate_file is None) != (self.key_file is None):
            raise ValueError("certificate_file and key_file go together")
        return self


class UpstreamSection(_Section):
    """Section [upstream]: the back end beside a sidecar.

    Attributes:
        url: Base URL of the engine or service.
        kind: Protocol of the upstream: `engine` or `service`.
        serves: Name of the model or service in the fleet document.
    """

    url: Url
    kind: str = pydantic.Field(pattern=r"^(engine|service)$")
    serves: str = pydantic.Field(min_length=1)


class DataSection(_Section):
    """Section [data]: the disk of a bulk instance.

    Attributes:
        folder: Data folder; it must exist.
    """

    folder: Folder


class MetricsSection(_Section):
    """Section [metrics]: the read-out of metrics.

    Attributes:
        address: Where Prometheus reads GET /metrics.
    """

    address: Address


class KeysSection(_Section):
    """Section [keys]: CURVE keys of the connections between processes.

    Attributes:
        server_secret_file: Secret key that the fleet's processes serve with.
        server_public_files: Public keys that peers may serve with, separated
            by commas.
        client_secret_file: Secret key that this process calls peers with.
        allowed_folder: Folder of the public keys of allowed callers.
    """

    server_secret_file: pydantic.FilePath
    server_public_files: str = pydantic.Field(min_length=1)
    client_secret_file: pydantic.FilePath
    allowed_folder: pydantic.DirectoryPath


class ProgramSettings(_Section):
    """Sections that every program has.

    Attributes:
        process: Section [process].
        metrics: Section [metrics]; without it only entries keep metrics.
    """

    process: InstanceSection
    metrics: MetricsSection | None = None


class CommonSettings(ProgramSettings):
    """Sections of programs with peers.

    Attributes:
        process: Section [process].
        platform: Section [platform].
        keys: Section [keys]; without it peers need no key.
    """

    process: ProcessSection
    platform: PlatformSection
    keys: KeysSection | None = None


class EntrySettings(CommonSettings):
    """Settings of plumvane-entry.

    Attributes:
        http: Section [http].
    """

    http: HttpSection

    @pydantic.field_validator("platform")
    @classmethod
    def _check_store(cls, platform: PlatformSection) -> PlatformSection:
        if platform.store_url is None:
            raise ValueError("store_url: an entry needs the store's URL")
        return platform


class SidecarSettings(CommonSettings):
    """Settings of plumvane-sidecar.

    Attributes:
        upstream: Section [upstream].
    """

    upstream: UpstreamSection


class BulkSettings(CommonSettings):
    """Settings of plumvane-bulk.

    Attributes:
        data: Section [data].
    """

    data: DataSection


class StoreSection(_Section):
    """Section [store]: the platform's store.

    Attributes:
        url: Base URL of the store.
    """

    url: Url


class AddressSection(_Section):
    """A section that names where the process listens.

    Attributes:
        address: IP number and port.
    """

    address: Address


class WorkerSettings(ProgramSettings):
    """Settings of plumvane-worker.

    Attributes:
        store: Section [store].
        peers: Section [peers]: where other instances reach this one.
    """

    store: StoreSection
    peers: AddressSection


class GatewaySettings(WorkerSettings):
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
    try:
        return model.model_validate(values)
    except pydantic.ValidationError as error:
        raise _settings_error(path, error) from error


def _settings_error(path: str, error: pydantic.ValidationError) -> Exception:
    faults = error.errors(include_input=False, include_url=False)
    details = []
    remedies = []
    for fault in faults:
        where = _place([str(part) for part in fault["loc"]])
        text = fault["msg"].removeprefix("Value error, ")
        details.append(f"{where}: {text}")
        if fault["type"] == "extra_forbidden":
            remedies.append(f"Remove {where}, or correct its name.")
        elif fault["type"] == "missing":
            remedies.append(f"Add {where}.")
        else:
            remedies.append(f"Correct {where}: {text}.")
    return SettingsError(
        f"{path}: " + "; ".join(details) + ".", remedy=" ".join(remedies)
    )


def _place(location: list[str]) -> str:
    section = location[0] if location else "?"
    key = location[1] if len(location) > 1 else None
    return f"section [{section}]" + (f", key {key}" if key else "")

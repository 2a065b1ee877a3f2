"""INI settings of a process, checked by a model at start."""

from __future__ import annotations

import configparser
import ipaddress
import pathlib
from typing import Annotated, Any, TypeVar

import pydantic

from plumvane.errors import SettingsError

__all__ = [
    "Address",
    "BulkSettings",
    "CommonSettings",
    "EntrySettings",
    "ProcessSection",
    "SidecarSettings",
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
    return path


Folder = Annotated[pathlib.Path, pydantic.AfterValidator(_existing_folder)]


class _Section(pydantic.BaseModel):
    """A section whose unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ProcessSection(_Section):
    """Section [process]: what every process has.

    Attributes:
        name: Name of the instance, unique in the fleet.
        data_centre: Data centre that the instance stands in.
        peer_address: Where other plumvane processes reach this one.
        listen_address: Where it listens for them, if that differs.
    """

    name: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9.-]*$")
    data_centre: str = pydantic.Field(min_length=1)
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

    instances_url: str = pydantic.Field(pattern=r"^https?://")
    store_url: str | None = pydantic.Field(default=None, pattern=r"^https?://")


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


class UpstreamSection(_Section):
    """Section [upstream]: the back end beside a sidecar.

    Attributes:
        url: Base URL of the engine or service.
        kind: Protocol of the upstream: `engine` or `service`.
        serves: Name of the model or service in the fleet document.
    """

    url: str = pydantic.Field(pattern=r"^https?://")
    kind: str = pydantic.Field(pattern=r"^(engine|service)$")
    serves: str = pydantic.Field(min_length=1)


class DataSection(_Section):
    """Section [data]: the disk of a bulk instance.

    Attributes:
        folder: Data folder; it must exist.
    """

    folder: Folder


class CommonSettings(_Section):
    """Sections that every process has.

    Attributes:
        process: Section [process].
        platform: Section [platform].
    """

    process: ProcessSection
    platform: PlatformSection


class EntrySettings(CommonSettings):
    """Settings of plumvane-entry.

    Attributes:
        http: Section [http].
    """

    http: HttpSection


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


S = TypeVar("S", bound=CommonSettings)


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
    first = error.errors()[0]
    location = [str(part) for part in first["loc"]]
    section = location[0] if location else "?"
    key = location[1] if len(location) > 1 else None
    where = f"section [{section}]" + (f", key {key}" if key else "")
    remedy = f"Correct {where} in {path}: {first['msg']}."
    if first["type"] == "extra_forbidden":
        remedy = f"Remove {where} from {path}, or correct its name."
    if first["type"] == "missing":
        remedy = f"Add {where} to {path}."
    return SettingsError(f"{path}: {where}: {first['msg']}.", remedy=remedy)

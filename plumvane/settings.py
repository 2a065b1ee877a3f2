"""INI settings of a process, validated against msgspec models at start."""

from __future__ import annotations

import configparser
import ipaddress
import math
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
    "DataCentresSection",
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
# Parsers of values that msgspec cannot convert from text, by field type.
_PARSERS_BY_TYPE: dict[type, Parse] = {}


def _register_parser(kind: type) -> Callable[[P], P]:
    """Registers the decorated parser of values of a type."""

    def register(parse: P) -> P:
        _PARSERS_BY_TYPE[kind] = parse
        return parse

    return register


class Address:
    """An IP address and a port.

    Attributes:
        host: IP address.
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
    """Path of an existing file."""


class FolderPath(type(pathlib.Path())):  # type: ignore[misc]
    """Path of an existing folder."""


class DataFolderPath(FolderPath):
    """Path of an existing folder that the process can write to."""


@_register_parser(Address)
def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise ValueError(
            "write it as IP:PORT with a numeric IP address"
        ) from None
    if not 1 <= number <= 65535:
        raise ValueError("the port must be between 1 and 65535")
    return Address(host, number)


@_register_parser(Url)
def _parse_url(text: str) -> Url:
    parts = urllib.parse.urlsplit(text)
    try:
        port_is_valid = parts.port is None or parts.port > 0
    except ValueError:
        port_is_valid = False
    has_http_scheme = parts.scheme in ("http", "https")
    if not (has_http_scheme and parts.hostname and port_is_valid):
        raise ValueError("write it as http://IP:PORT or https://IP:PORT")
    return Url(text)


@_register_parser(FilePath)
def _parse_file(text: str) -> FilePath:
    path = FilePath(text)
    if not path.is_file():
        raise ValueError(f"the file {path} does not exist")
    return path


@_register_parser(FolderPath)
def _parse_folder(text: str) -> FolderPath:
    path = FolderPath(text)
    if not path.is_dir():
        raise ValueError(f"the folder {path} does not exist; create it")
    return path


@_register_parser(DataFolderPath)
def _parse_data_folder(text: str) -> DataFolderPath:
    path = DataFolderPath(_parse_folder(text))
    if not os.access(path, os.W_OK | os.X_OK):
        raise ValueError(f"the folder {path} is not writable")
    return path


Text = Annotated[str, msgspec.Meta(min_length=1)]


class _Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class of sections; unknown keys are rejected."""


class InstanceSection(_Section, frozen=True, kw_only=True):
    """Section [process]: settings common to all programs.

    Attributes:
        name: Name of the instance, unique in the fleet.
        data_centre: Data centre where the instance runs.
        grace_s: Seconds after SIGTERM in which the platform ends the process.
    """

    name: Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*$")]
    data_centre: Text
    grace_s: Annotated[float, msgspec.Meta(ge=1)] = 8.0


class ProcessSection(InstanceSection, frozen=True, kw_only=True):
    """Section [process] of a program with peers.

    Attributes:
        peer_address: Address at which peers connect to this process.
        listen_address: Address to listen on for peers, if it differs.
    """

    peer_address: Address
    listen_address: Address | None = None

    @property
    def bind_address(self) -> Address:
        """The address on which the process listens for peers."""
        return self.listen_address or self.peer_address


class PlatformSection(_Section, frozen=True, kw_only=True):
    """Section [platform]: the platform's services.

    Attributes:
        instances_url: URL that lists the live and leaving instances.
        store_url: URL of the key-value store; entries only.
    """

    instances_url: Url
    store_url: Url | None = None


class HttpSection(_Section, frozen=True, kw_only=True):
    """Section [http]: HTTP interface for callers and operators.

    Attributes:
        address: Address on which the entry serves callers.
        certificate_file: PEM certificate chain; plain HTTP if absent.
        key_file: PEM private key of the certificate.
    """

    address: Address
    certificate_file: FilePath | None = None
    key_file: FilePath | None = None

    def __post_init__(self) -> None:
        """Checks that the certificate and its key are set together."""
        if (self.certificate_file is None) != (self.key_file is None):
            raise ValueError("certificate_file and key_file go together")


class UpstreamSection(_Section, frozen=True, kw_only=True):
    """Section [upstream]: the upstream that a sidecar serves.

    Attributes:
        url: Base URL of the engine or service.
        kind: Protocol of the upstream: `engine` or `service`.
        serves: Name of the model or service in the fleet document.
    """

    url: Url
    kind: Literal["engine", "service"]
    serves: Text


class DataSection(_Section, frozen=True, kw_only=True):
    """Section [data]: storage of a bulk instance.

    Attributes:
        folder: Data folder; it must exist.
    """

    folder: DataFolderPath


class MetricsSection(_Section, frozen=True, kw_only=True):
    """Section [metrics]: HTTP endpoint for Prometheus.

    Attributes:
        address: Address on which the process serves GET /metrics.
    """

    address: Address


class KeysSection(_Section, frozen=True, kw_only=True):
    """Section [keys]: CURVE keys for connections between processes.

    Attributes:
        server_secret_file: File with the server's secret key, which the
            fleet's processes share.
        server_public_files: Files with the accepted public keys of servers,
            separated by commas.
        client_secret_file: File with this process's secret key as a client.
        allowed_folder: Folder with the public keys of accepted clients.
    """

    server_secret_file: FilePath
    server_public_files: Text
    client_secret_file: FilePath
    allowed_folder: FolderPath


class ProgramSettings(_Section, frozen=True, kw_only=True):
    """Sections common to all programs.

    Attributes:
        process: Section [process].
        metrics: Section [metrics]; without it only entries collect metrics.
    """

    process: InstanceSection
    metrics: MetricsSection | None = None


class CommonSettings(ProgramSettings, frozen=True, kw_only=True):
    """Sections common to programs with peers.

    Attributes:
        process: Section [process].
        platform: Section [platform].
        keys: Section [keys]; without it connections use no keys.
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
        """Checks that the URL of the store is set."""
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
    """A section with an address on which the process listens.

    Attributes:
        address: IP address and port.
    """

    address: Address


class PeersSection(AddressSection, frozen=True, kw_only=True):
    """Section [peers]: how peers reach the process.

    Attributes:
        listen_address: Address to listen on for peers, if it differs.
    """

    listen_address: Address | None = None

    @property
    def bind_address(self) -> Address:
        """The address on which the process listens for peers."""
        return self.listen_address or self.address


class UpstreamsSection(_Section, frozen=True, kw_only=True):
    """Section [upstreams]: the upstreams that the platform lists.

    Attributes:
        drain_ms: Time in milliseconds after its announcement from which an
            upstream that leaves gets no new request.
    """

    drain_ms: Annotated[int, msgspec.Meta(ge=500)] = 2_000


class RoutesSection(_Section, frozen=True, kw_only=True):
    """Section [routes]: the operators' configuration.

    Attributes:
        apply_ms: Time in milliseconds within which a change takes effect.
    """

    apply_ms: Annotated[int, msgspec.Meta(ge=500)] = 2_000


class MemorySection(_Section, frozen=True, kw_only=True):
    """Section [memory]: what the process may use.

    Attributes:
        limit_mb: Megabytes from which the platform ends the process; 0 if it
            sets no limit.
    """

    limit_mb: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class TermsSection(_Section, frozen=True, kw_only=True):
    """Section [terms]: what the deployment asks of its instances.

    Attributes:
        names: Names of the terms in force, separated by commas.
    """

    names: str = ""


class TeamsSection(_Section, frozen=True, kw_only=True):
    """Section [teams]: keys of callers.

    Attributes:
        revoke_ms: Time in milliseconds after which a key that was taken away
            must not be accepted, if revocation is strict.
        strict_revocation: Whether an instance that has not read the
            configuration for that time refuses requests that need a key.
    """

    revoke_ms: Annotated[int, msgspec.Meta(ge=500)] = 5_000
    strict_revocation: bool = False

    @property
    def max_age_s(self) -> float:
        """Greatest age of a configuration that admits keys, in seconds."""
        return self.revoke_ms / 1000 if self.strict_revocation else math.inf


class QuotasSection(_Section, frozen=True, kw_only=True):
    """Section [quotas]: how far the quotas of teams may be exceeded.

    Attributes:
        window_s: Length in seconds of the windows in which requests are
            counted.
        overage: Share of a quota that may be exceeded in a window.
        slack: Number of requests that may be added to that.
    """

    window_s: Annotated[float, msgspec.Meta(gt=0)] = 5.0
    overage: Annotated[float, msgspec.Meta(ge=0)] = 0.1
    slack: Annotated[float, msgspec.Meta(ge=0)] = 20.0


class DataCentresSection(_Section, frozen=True, kw_only=True):
    """Section [data_centres]: when requests leave the data centre.

    Attributes:
        leave: `between_equals`: only if an upstream elsewhere is as good.
            `when_it_pays`: if the response is expected sooner by more than the
            way and its cost, for services whose upstreams report their pace;
            other services as `between_equals`.
        way_ms: Time of the way to another data centre and back, in
            milliseconds.
        crossing_cost_ms: Price of a request's bytes between data centres, as
            the time in milliseconds that a caller should rather wait.
    """

    leave: Literal["between_equals", "when_it_pays"] = "between_equals"
    way_ms: Annotated[float, msgspec.Meta(ge=0)] = 2.0
    crossing_cost_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class BatchSection(_Section, frozen=True, kw_only=True):
    """Section [batch]: when workers run the items of batch jobs.

    Attributes:
        plan: `free_slots`: wherever a slot is free; `around_demand`: around
            the online requests that are forecast, where they come in waves.
    """

    plan: Literal["free_slots", "around_demand"] = "free_slots"


class WorkerSettings(ProgramSettings, frozen=True, kw_only=True):
    """Settings of plumvane-worker.

    Attributes:
        store: Section [store].
        peers: Section [peers].
        upstreams: Section [upstreams]; may be missing.
        routes: Section [routes]; may be missing.
        terms: Section [terms]; may be missing.
        batch: Section [batch]; may be missing.
        quotas: Section [quotas]; may be missing.
        data_centres: Section [data_centres]; may be missing.
    """

    store: StoreSection
    peers: PeersSection
    upstreams: UpstreamsSection = UpstreamsSection()
    routes: RoutesSection = RoutesSection()
    terms: TermsSection = TermsSection()
    batch: BatchSection = BatchSection()
    quotas: QuotasSection = QuotasSection()
    data_centres: DataCentresSection = DataCentresSection()


class GatewaySettings(WorkerSettings, frozen=True, kw_only=True):
    """Settings of plumvane-gateway.

    Attributes:
        callers: Section [callers]: address for callers.
        balancer: Section [balancer]: address for the readiness checks of the
            platform's load balancer.
        teams: Section [teams]; may be missing.
        memory: Section [memory]; may be missing.
    """

    callers: AddressSection
    balancer: AddressSection
    teams: TeamsSection = TeamsSection()
    memory: MemorySection = MemorySection()


S = TypeVar("S", bound=ProgramSettings)


def load(path: str, model: type[S]) -> S:
    """Reads and validates an INI file.

    Args:
        path: Path of the file.
        model: Settings model of the process.

    Returns:
        The validated settings.

    Raises:
        SettingsError: The file is missing or invalid; the message names the
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
    """Validates each section by itself, to report all invalid sections."""
    sections: dict[str, Any] = {}
    issues: list[_Issue] = []
    for field in msgspec.structs.fields(model):
        if field.name in values:
            try:
                sections[field.name] = msgspec.convert(
                    values.pop(field.name),
                    field.type,
                    strict=False,
                    dec_hook=_decode_value,
                )
            except msgspec.ValidationError as error:
                issues.append(_make_section_issue(field.name, str(error)))
        elif field.required:
            location = f"section [{field.name}]"
            issues.append(
                _Issue(f"{location}: it is missing", f"Add {location}.")
            )
    for name in values:
        location = f"section [{name}]"
        issues.append(
            _Issue(
                f"{location}: it is unknown",
                f"Remove {location}, or correct its name.",
            )
        )
    if not issues:
        try:
            return model(**sections)
        except ValueError as error:
            issues.append(_Issue(str(error), f"Correct {error}."))
    raise SettingsError(
        f"{path}: " + "; ".join(issue.detail for issue in issues) + ".",
        remedy=" ".join(issue.remedy for issue in issues),
    )


class _Issue(typing.NamedTuple):
    """A validation error in a settings file.

    Attributes:
        detail: Location and description of the error.
        remedy: How to correct it.
    """

    detail: str
    remedy: str


def _make_section_issue(section: str, message: str) -> _Issue:
    """Converts the message of a msgspec validation error.

    Args:
        section: Name of the section.
        message: Message of msgspec, which has the key in backquotes.
    """
    text, _, at = message.partition(" - at `$")
    key = at.strip(".`")
    field = re.search("(unknown|required) field `(.*)`", text)
    location = f"section [{section}]"
    if field is None:
        location += f", key {key}" if key else ""
        return _Issue(f"{location}: {text}", f"Correct {location}: {text}.")
    location += f", key {field[2]}"
    if field[1] == "required":
        return _Issue(f"{location}: it is missing", f"Add {location}.")
    return _Issue(
        f"{location}: it is unknown", f"Remove {location}, or correct its name."
    )


def _decode_value(kind: type, value: Any) -> Any:
    """Decoding hook of msgspec for the types with a registered parser."""
    return _PARSERS_BY_TYPE[kind](value)

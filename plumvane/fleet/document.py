"""The fleet document: models, workloads, teams and rules, validated."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Callable
from typing import Annotated, Literal

import pydantic

from plumvane.errors import ConfigurationError

__all__ = [
    "CHECKS_BY_NAME",
    "FleetDocument",
    "Model",
    "Operator",
    "Policies",
    "Service",
    "Team",
    "Workload",
    "check",
    "document_check",
    "parse",
    "token_digest",
]

# Names stand in URLs and metrics.
Name = Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")
]
Digest = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
# Checks of a whole document that upper layers add; each returns faults.
Check = Callable[["FleetDocument"], list[str]]
CHECKS_BY_NAME: dict[str, Check] = {}


def document_check(name: str) -> Callable[[Check], Check]:
    """Registers a check of whole documents."""

    def register(function: Check) -> Check:
        CHECKS_BY_NAME[name] = function
        return function

    return register


def token_digest(token: str) -> str:
    """Returns the SHA-256 of a bearer token, in hex."""
    return hashlib.sha256(token.encode()).hexdigest()


class _Part(pydantic.BaseModel):
    """A part of the document whose unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Model(_Part):
    """A served model.

    Attributes:
        checks_orders: Whether its engines refuse an order with an old
            fencing number.
        version: Version that its engines are ordered to load; empty if
            they are not ordered.
        max_tokens: Most tokens that one answer may have.
    """

    checks_orders: bool = False
    version: str = ""
    max_tokens: int = pydantic.Field(default=4096, ge=1, le=131_072)


class Service(_Part):
    """A plain service.

    Attributes:
        idempotent: Whether its calls may be repeated.
    """

    idempotent: bool = False


class Workload(_Part):
    """A kind of work.

    Attributes:
        kind: `online` or `batch`.
        model: Name of the model.
        idempotent: Whether a request may run again.
        first_token_ms: Target for the first token at p95, milliseconds.
        between_tokens_ms: Target between tokens at p95, milliseconds.
        timeout_s: Deadline of a request that names none, in seconds from
            its arrival.
        rank: A lower rank goes first.
    """

    kind: Literal["online", "batch"]
    model: Name
    idempotent: bool = True
    first_token_ms: int = pydantic.Field(default=900, ge=1)
    between_tokens_ms: int = pydantic.Field(default=39, ge=1)
    timeout_s: int = pydantic.Field(default=60, ge=1, le=7 * 86_400)
    rank: int = pydantic.Field(default=0, ge=0, le=100)


class Team(_Part):
    """A team of callers.

    Attributes:
        token_sha256: Digests of its bearer tokens.
        requests_per_s: Limit on new requests a second.
        share: Weight in the sharing of batch capacity.
    """

    token_sha256: tuple[Digest, ...]
    requests_per_s: float = pydantic.Field(
        default=1000.0, gt=0, allow_inf_nan=False
    )
    share: int = pydantic.Field(default=1, ge=1, le=1000)


class Operator(_Part):
    """A person who drives the fleet.

    Attributes:
        token_sha256: Digest of the operator's token.
        role: `view` or `change`.
    """

    token_sha256: Digest
    role: Literal["view", "change"] = "view"


class Policies(_Part):
    """Names of the policies in use, from their registries.

    Attributes:
        admission: Admission at the sidecar.
        fixed_concurrency: Requests at once under `fixed`.
        batch_slowdown: How much longer batch may make a step of the engine
            than online requests alone make it, as a factor.
        routing: Choice of an upstream.
        batch_order: Order of batch jobs.
    """

    admission: str = "adaptive"
    fixed_concurrency: int = pydantic.Field(default=16, ge=1, le=4096)
    batch_slowdown: float = pydantic.Field(default=1.1, ge=1.0, le=100.0)
    routing: str = "prefix_affinity"
    batch_order: str = "least_slack"


class FleetDocument(_Part):
    """How the fleet runs.

    Attributes:
        models: Models by name.
        services: Plain services by name.
        workloads: Workloads by name.
        teams: Teams by name.
        operators: Operators by name.
        policies: Policies in use.
        load_interval_s: Least time between two loads from the weight store,
            in seconds.
        retention_s: How long results stay readable, in seconds.
    """

    models: dict[Name, Model] = {}
    services: dict[Name, Service] = {}
    workloads: dict[Name, Workload] = {}
    teams: dict[Name, Team] = {}
    operators: dict[Name, Operator] = {}
    policies: Policies = Policies()
    load_interval_s: float = pydantic.Field(default=10.0, ge=0)
    retention_s: int = pydantic.Field(default=86_400, ge=60)

    def team_by_token(self, token: str) -> str | None:
        """Returns the name of the team that holds a token, or None."""
        return self._teams_by_digest.get(token_digest(token))

    @functools.cached_property
    def _teams_by_digest(self) -> dict[str, str]:
        return {
            digest: name
            for name, team in self.teams.items()
            for digest in team.token_sha256
        }


def parse(document: bytes) -> FleetDocument:
    """Reads a document and checks each field.

    Args:
        document: JSON.

    Raises:
        ConfigurationError: It is invalid; the message names each field.
    """
    try:
        return FleetDocument.model_validate_json(document)
    except pydantic.ValidationError as error:
        faults = [
            ".".join(str(p) for p in e["loc"]) + ": " + e["msg"]
            for e in error.errors(include_input=False, include_url=False)
        ]
        raise _faulty(faults) from None


def check(document: bytes) -> FleetDocument:
    """Reads a document and checks it as a whole, as a change must pass.

    Args:
        document: JSON.

    Raises:
        ConfigurationError: It is invalid; the message names each field.
    """
    parsed = parse(document)
    faults = [f for c in CHECKS_BY_NAME.values() for f in c(parsed)]
    if faults:
        raise _faulty(faults)
    return parsed


def _faulty(faults: list[str]) -> ConfigurationError:
    error = ConfigurationError("; ".join(faults) + ".")
    error.faults = tuple(faults)
    return error


@document_check("references")
def _check_references(document: FleetDocument) -> list[str]:
    return [
        f"workloads.{name}.model: {workload.model!r} is not among the "
        "models; add it or name another"
        for name, workload in document.workloads.items()
        if workload.model not in document.models
    ]


@document_check("names")
def _check_names(document: FleetDocument) -> list[str]:
    return [
        f"services.{name}: a model has this name; sidecars could not tell "
        "them apart; take another name"
        for name in sorted(document.services.keys() & document.models.keys())
    ]


@document_check("operators")
def _check_operators(document: FleetDocument) -> list[str]:
    if any(o.role == "change" for o in document.operators.values()):
        return []
    return [
        "operators: nobody could change this document; give one operator "
        "the role 'change'"
    ]


@document_check("tokens")
def _check_tokens(document: FleetDocument) -> list[str]:
    held: dict[str, str] = {}
    faults = []
    owners = [
        (f"teams.{name}", digest)
        for name, team in document.teams.items()
        for digest in team.token_sha256
    ]
    owners += [
        (f"operators.{name}", operator.token_sha256)
        for name, operator in document.operators.items()
    ]
    for owner, digest in owners:
        if digest in held:
            faults.append(
                f"{owner}.token_sha256: {held[digest]} holds the same token; "
                "make another"
            )
        held[digest] = owner
    return faults

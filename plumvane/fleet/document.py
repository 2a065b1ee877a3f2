"""Schema and validation of the fleet document."""

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

# Names are used in URLs and as metric labels.
Name = Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")
]
Digest = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
# Validates a whole document and returns error messages. Upper layers register
# checks of their own.
Check = Callable[["FleetDocument"], list[str]]
CHECKS_BY_NAME: dict[str, Check] = {}


def document_check(name: str) -> Callable[[Check], Check]:
    """Returns a decorator that registers a check of whole documents."""

    def register(function: Check) -> Check:
        CHECKS_BY_NAME[name] = function
        return function

    return register


def token_digest(token: str) -> str:
    """Returns the SHA-256 of a bearer token, in hex."""
    return hashlib.sha256(token.encode()).hexdigest()


class _StrictModel(pydantic.BaseModel):
    """Immutable base model that rejects unknown fields.

    The console shows the `Attributes:` texts as the help of its form fields.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Model(_StrictModel):
    """A served model.

    Attributes:
        checks_orders: Whether its engines refuse an order with an outdated
            fencing token.
        version: Version that its engines are ordered to load; empty if no
            load orders are sent.
        max_tokens: Maximum number of tokens in one completion.
    """

    checks_orders: bool = False
    version: str = ""
    max_tokens: int = pydantic.Field(default=4096, ge=1, le=131_072)


class Service(_StrictModel):
    """A plain service.

    Attributes:
        idempotent: Whether its calls may be retried.
    """

    idempotent: bool = False


class Workload(_StrictModel):
    """A class of requests with common targets.

    Attributes:
        kind: `online` or `batch`.
        model: Name of the model.
        idempotent: Whether a request may be retried after it has started.
        first_token_ms: Target for the time to first token at p95, in
            milliseconds.
        between_tokens_ms: Target for the time between tokens at p95, in
            milliseconds.
        timeout_s: Timeout of a request that does not set a deadline, in
            seconds from its arrival.
        rank: Scheduling priority; lower ranks go first.
    """

    kind: Literal["online", "batch"]
    model: Name
    idempotent: bool = True
    first_token_ms: int = pydantic.Field(default=900, ge=1)
    between_tokens_ms: int = pydantic.Field(default=39, ge=1)
    timeout_s: int = pydantic.Field(default=60, ge=1, le=7 * 86_400)
    rank: int = pydantic.Field(default=0, ge=0, le=100)


class Team(_StrictModel):
    """A team whose members send requests.

    Attributes:
        token_sha256: SHA-256 digests of its bearer tokens.
        requests_per_s: Limit on new requests per second.
        share: Weight for the fair sharing of batch capacity.
    """

    token_sha256: tuple[Digest, ...]
    requests_per_s: float = pydantic.Field(
        default=1000.0, gt=0, allow_inf_nan=False
    )
    share: int = pydantic.Field(default=1, ge=1, le=1000)


class Operator(_StrictModel):
    """A person who administers the fleet.

    Attributes:
        token_sha256: SHA-256 digest of the operator's token.
        role: `view` for read access, `change` for write access.
    """

    token_sha256: Digest
    role: Literal["view", "change"] = "view"


class Policies(_StrictModel):
    """Selected policies, by their names in the registries, and their options.

    Attributes:
        admission: Admission policy of the sidecars.
        fixed_concurrency: Concurrency limit of the `fixed` admission policy.
        batch_slowdown: Largest allowed ratio between the duration of an engine
            step with batch items and that of a step with online requests only.
        routing: Policy that selects an upstream.
        batch_order: Policy that orders batch jobs.
    """

    admission: str = "adaptive"
    fixed_concurrency: int = pydantic.Field(default=16, ge=1, le=4096)
    batch_slowdown: float = pydantic.Field(default=1.1, ge=1.0, le=100.0)
    routing: str = "prefix_affinity"
    batch_order: str = "least_slack"


class FleetDocument(_StrictModel):
    """Configuration of the fleet.

    Attributes:
        models: Models by name.
        services: Plain services by name.
        workloads: Workloads by name.
        teams: Teams by name.
        operators: Operators by name.
        policies: Selected policies.
        load_interval_s: Minimum interval between two model loads from the
            weight store, in seconds.
        retention_s: Retention period of results, in seconds.
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
        """Returns the name of the team that owns a token, or None."""
        return self._teams_by_digest.get(token_digest(token))

    @functools.cached_property
    def _teams_by_digest(self) -> dict[str, str]:
        return {
            digest: name
            for name, team in self.teams.items()
            for digest in team.token_sha256
        }


def parse(document: bytes) -> FleetDocument:
    """Parses a document and validates each field.

    Args:
        document: JSON of the document.

    Raises:
        ConfigurationError: The document is invalid; the message lists each
            invalid field.
    """
    try:
        return FleetDocument.model_validate_json(document)
    except pydantic.ValidationError as error:
        messages = [
            ".".join(str(p) for p in e["loc"]) + ": " + e["msg"]
            for e in error.errors(include_input=False, include_url=False)
        ]
        raise _validation_error(messages) from None


def check(document: bytes) -> FleetDocument:
    """Parses a document and runs all registered checks, as for a change.

    Args:
        document: JSON of the document.

    Raises:
        ConfigurationError: The document is invalid; the message lists each
            invalid field.
    """
    parsed = parse(document)
    messages = [
        message
        for run_check in CHECKS_BY_NAME.values()
        for message in run_check(parsed)
    ]
    if messages:
        raise _validation_error(messages)
    return parsed


def _validation_error(messages: list[str]) -> ConfigurationError:
    error = ConfigurationError("; ".join(messages) + ".")
    error.faults = tuple(messages)
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
        "them apart; choose another name"
        for name in sorted(document.services.keys() & document.models.keys())
    ]


@document_check("operators")
def _check_operators(document: FleetDocument) -> list[str]:
    if any(o.role == "change" for o in document.operators.values()):
        return []
    return [
        "operators: no operator may change this document; give at least one "
        "operator the role 'change'"
    ]


@document_check("tokens")
def _check_tokens(document: FleetDocument) -> list[str]:
    owners_by_digest: dict[str, str] = {}
    messages = []
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
        if digest in owners_by_digest:
            messages.append(
                f"{owner}.token_sha256: {owners_by_digest[digest]} has the "
                "same token; generate another"
            )
        owners_by_digest[digest] = owner
    return messages

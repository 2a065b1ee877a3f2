"""The fleet document: models, workloads, teams and rules, validated."""

from __future__ import annotations

import hashlib
from typing import Literal

import pydantic

from plumvane.errors import ConfigurationError

__all__ = [
    "FleetDocument",
    "Model",
    "Operator",
    "Policies",
    "Service",
    "Team",
    "Workload",
    "parse",
    "token_digest",
]

Name = str


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
        max_tokens: Most tokens that one answer may have.
    """

    checks_orders: bool = False
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

    token_sha256: tuple[str, ...]
    requests_per_s: float = pydantic.Field(default=1000.0, gt=0)
    share: int = pydantic.Field(default=1, ge=1, le=1000)

    @pydantic.field_validator("token_sha256")
    @classmethod
    def _check_digests(cls, digests: tuple[str, ...]) -> tuple[str, ...]:
        for digest in digests:
            if len(digest) != 64 or not all(
                c in "0123456789abcdef" for c in digest
            ):
                raise ValueError(
                    "a digest is 64 lower-case hex digits of SHA-256"
                )
        return digests


class Operator(_Part):
    """A person who drives the fleet.

    Attributes:
        token_sha256: Digest of the operator's token.
        role: `view` or `change`.
    """

    token_sha256: str
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
    routing: str = "least_loaded"
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
        retention_s: How long results stay readable, in seconds.
    """

    models: dict[Name, Model] = {}
    services: dict[Name, Service] = {}
    workloads: dict[Name, Workload] = {}
    teams: dict[Name, Team] = {}
    operators: dict[Name, Operator] = {}
    policies: Policies = Policies()
    retention_s: int = pydantic.Field(default=86_400, ge=60)

    @pydantic.model_validator(mode="after")
    def _check_references(self) -> FleetDocument:
        for name, workload in self.workloads.items():
            if workload.model not in self.models:
                raise ValueError(
                    f"workloads.{name}.model: {workload.model!r} is not "
                    "among the models; add it or name another"
                )
        return self

    def team_by_token(self, token: str) -> str | None:
        """Returns the name of the team that holds a token, or None."""
        digest = token_digest(token)
        for name, team in self.teams.items():
            if digest in team.token_sha256:
                return name
        return None


def parse(document: bytes) -> FleetDocument:
    """Reads and checks a document.

    Args:
        document: JSON.

    Raises:
        ConfigurationError: It is invalid; the message names each field.
    """
    try:
        return FleetDocument.model_validate_json(document)
    except pydantic.ValidationError as error:
        faults = "; ".join(
            ".".join(str(p) for p in e["loc"]) + ": " + e["msg"]
            for e in error.errors()
        )
        raise ConfigurationError(f"{faults}.") from error

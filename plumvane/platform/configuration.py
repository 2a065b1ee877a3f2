"""Decoding of the operators' configuration in the platform's store."""

from __future__ import annotations

from typing import Any

import msgspec

from plumvane.decoding import decode
from plumvane.errors import ConfigurationError
from plumvane.serving.routes import (
    Route,
    RouteKind,
    RouteTable,
    Service,
    WeightedService,
)
from plumvane.serving.teams import Team, TeamTable

__all__ = ["decode_configuration"]

_KINDS_BY_NAME = {
    "safe": RouteKind.CALL,
    "unsafe": RouteKind.CALL,
    "streaming": RouteKind.STREAM,
    "batch": RouteKind.BATCH,
}


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="kebab"):
    """A route.

    Attributes:
        name: Name of the route.
        host: Value of the Host header that the route matches.
        path_prefix: Path prefix, with a slash at both ends.
        kind: `safe`, `unsafe`, `streaming` or `batch`. It determines which
            requests may be retried.
        timeout_ms: Timeout of a request.
        target_latency_ms: Target for the time to the response or to the first
            event.
        max_attempts: Maximum number of upstreams that one request is sent to.
        service: The only service, if `traffic_split` is empty.
        traffic_split: Services with their weights.
        priority: Priority; 0 is the highest.
        resumable: Whether a stream may be resumed at another upstream.
        completion_target_ms: Target for the time from the submission of a batch
            job to its last result.
        retention_s: Time from the submission of a batch job after which its
            items may be abandoned.
        public: Whether its callers need no key.
        gap_aim_ms: Longest pause between two events of a stream on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    max_attempts: int
    target_latency_ms: float = 0
    service: str = ""
    traffic_split: list[_Split] = []
    priority: int = 0
    resumable: bool = False
    completion_target_ms: float = 0
    retention_s: float = 0
    public: bool | None = None
    gap_aim_ms: float | None = None

    def to_route(self) -> Route:
        """Converts the route to the internal type."""
        kind = _KINDS_BY_NAME.get(self.kind, RouteKind.CALL)
        services = [
            WeightedService(s.service, s.weight)
            for s in self.weighted_services()
        ]
        return Route(
            name=self.name,
            host=self.host,
            path_prefix=self.path_prefix,
            kind=kind,
            is_idempotent=self.kind == "safe" or self.resumable,
            is_resumable=kind is not RouteKind.CALL and self.resumable,
            services=tuple(services),
            timeout_s=self.timeout_ms / 1000,
            target_latency_s=self.target_latency_ms / 1000,
            max_attempts=max(1, self.max_attempts),
            priority=self.priority,
            completion_target_s=self.completion_target_ms / 1000,
            retention_s=self.retention_s,
            is_public=bool(self.public),
            max_pause_s=max(0.0, self.gap_aim_ms or 0.0) / 1000,
        )

    def weighted_services(self) -> list[_Split]:
        """Returns the services of the route with their weights."""
        return self.traffic_split or [_Split(self.service, 1)]


class _Service(msgspec.Struct, rename="kebab"):
    """A service.

    Attributes:
        name: Name of the service.
        health_path: Path of the upstreams' health check.
        engine: Properties of its model engines; absent for plain services.
    """

    name: str
    health_path: str = "/health"
    engine: Any = None


class _Tenant(msgspec.Struct, rename="kebab"):
    """A team.

    Attributes:
        name: Name of the team.
        api_keys: Keys of its callers.
        priority: Priority of its requests, before that of their routes.
        rate_per_s: Requests per second that it may send; 0 for no limit.
        burst: Number of requests that it may save up.
    """

    name: str
    api_keys: list[str] | None = None
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None

    def to_team(self) -> Team:
        """Converts the team to the internal type."""
        return Team(
            self.name,
            self.priority,
            max(0.0, self.rate_per_s or 0.0),
            max(0.0, self.burst or 0.0),
        )


class _Limits(msgspec.Struct, rename="kebab"):
    """Limits on callers' requests, with generous defaults."""

    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None

    def to_teams(self) -> TeamTable | None:
        """Converts the teams; returns None if callers need no keys."""
        if not self.tenants:
            return None
        keys_by_team: dict[Team, list[str]] = {}
        for tenant in self.tenants:
            keys = keys_by_team.setdefault(tenant.to_team(), [])
            keys += tenant.api_keys or []
        return TeamTable(keys_by_team)


_decoder = msgspec.json.Decoder(_Configuration)


def decode_configuration(value: bytes) -> RouteTable:
    """Decodes the configuration.

    Args:
        value: Value of the configuration key in the store.

    Raises:
        ConfigurationError: The value cannot be decoded.
    """
    try:
        configuration = decode(_decoder, value)
    except msgspec.MsgspecError as error:
        raise ConfigurationError(
            f"The configuration in the store cannot be decoded: {error}.",
            remedy="Write a valid one; the previous one stays in force.",
        ) from error
    return RouteTable(
        version=configuration.version,
        routes=[route.to_route() for route in configuration.routes],
        services=[
            Service(s.name, s.health_path, s.engine is not None)
            for s in configuration.services
        ],
        max_body_bytes=configuration.limits.max_body_bytes,
        idle_timeout_s=configuration.limits.idle_timeout_ms / 1000,
        teams=configuration.to_teams(),
    )

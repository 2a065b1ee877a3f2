"""The operators' configuration as the platform's store holds it."""

from __future__ import annotations

from typing import Any

import msgspec

from plumvane.errors import ConfigurationError
from plumvane.serving.routes import (
    Route,
    RouteKind,
    RouteTable,
    Service,
    WeightedService,
)

__all__ = ["decode_configuration"]

_KINDS_BY_WORD = {
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
        name: Its name.
        host: Host header that it applies to.
        path_prefix: Path prefix, with a slash at both ends.
        kind: What may be repeated: `safe`, `unsafe`, `streaming` or `batch`.
        timeout_ms: Longest time that a caller is kept waiting.
        target_latency_ms: Time to the answer or the first event.
        max_attempts: Most upstreams that one request is sent to.
        service: The only service, if `traffic_split` is empty.
        traffic_split: Services with their weights.
        priority: Rank; 0 is the most urgent.
        resumable: Whether a stream may go on at another upstream.
        completion_target_ms: Time from a batch job's submission to its last
            result.
        retention_s: Time from a batch job's submission after which items may
            be given up.
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

    def route(self) -> Route:
        """Returns it in the project's form."""
        kind = _KINDS_BY_WORD.get(self.kind, RouteKind.CALL)
        services = [WeightedService(s.service, s.weight) for s in self.split()]
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
        )

    def split(self) -> list[_Split]:
        """Returns its services with their weights."""
        return self.traffic_split or [_Split(self.service, 1)]


class _Service(msgspec.Struct, rename="kebab"):
    """A service.

    Attributes:
        name: Its name.
        health_path: Path that tells whether an upstream is healthy.
        engine: Properties of its model engines; absent for plain services.
    """

    name: str
    health_path: str = "/health"
    engine: Any = None


class _Limits(msgspec.Struct, rename="kebab"):
    """Bounds of what callers may send; generous ones where none is given."""

    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_decoder = msgspec.json.Decoder(_Configuration)


def decode_configuration(value: bytes) -> RouteTable:
    """Reads the configuration.

    Args:
        value: Value of its key in the store.

    Raises:
        ConfigurationError: It cannot be read.
    """
    try:
        found = _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise ConfigurationError(
            f"The configuration in the store is not understood: {error}.",
            remedy="Write a valid one; the one before stays in force.",
        ) from error
    return RouteTable(
        version=found.version,
        routes=[route.route() for route in found.routes],
        services=[
            Service(s.name, s.health_path, s.engine is not None)
            for s in found.services
        ],
        max_body_bytes=found.limits.max_body_bytes,
        idle_timeout_s=found.limits.idle_timeout_ms / 1000,
    )

"""Routes of callers' requests to services, and the table in force."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Iterable

__all__ = ["RouteKind", "Route", "RouteTable", "Service", "WeightedService"]


class RouteKind(enum.Enum):
    """What a route carries."""

    CALL = "call"
    STREAM = "stream"
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that a route is split over.

    Attributes:
        service: Name of the service.
        weight: Its share, in relation to the other weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go, and how.

    Attributes:
        name: Name, unique in the table.
        host: Host header that it applies to.
        path_prefix: Path prefix, with a slash at both ends.
        kind: What it carries.
        is_idempotent: Whether a request may run more than once.
        is_resumable: Whether a stream may go on at another upstream.
        services: Services with their weights; at least one.
        timeout_s: Longest time that a caller is kept waiting, in seconds.
        target_latency_s: Time to the answer or its first event that the
            operator aims at, in seconds.
        max_attempts: Most upstreams that one request is sent to.
        priority: Rank; 0 is the most urgent.
        completion_target_s: Time to the last result of a batch job, in
            seconds from its submission.
        retention_s: Time after which an item may be given up, in seconds
            from its job's submission.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    is_idempotent: bool
    is_resumable: bool
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int = 0
    completion_target_s: float = 0.0
    retention_s: float = 0.0

    def choose_service(self, rng: random.Random) -> str:
        """Draws one of the services by their weights."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [weighted.weight for weighted in self.services]
        if not any(weights):
            return self.services[0].service
        return rng.choices(self.services, weights)[0].service


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of equal upstreams.

    Attributes:
        name: Name of the service.
        health_path: Path that tells whether an upstream is healthy.
        is_engine: Whether its upstreams are model engines.
    """

    name: str
    health_path: str
    is_engine: bool


class RouteTable:
    """The routes and services of one version of the configuration."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        max_body_bytes: int,
        idle_timeout_s: float,
    ) -> None:
        """Creates the table.

        Args:
            version: Version of the configuration.
            routes: Its routes.
            services: Its services.
            max_body_bytes: Largest body of a caller's request.
            idle_timeout_s: How long a caller's connection may idle.
        """
        self.version = version
        self.max_body_bytes = max_body_bytes
        self.idle_timeout_s = idle_timeout_s
        self.services_by_name = {service.name: service for service in services}
        self._routes_by_place = {
            (route.host, route.path_prefix): route for route in routes
        }

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, the longest prefix first.

        Args:
            host: Host header of the request.
            path: Path of the request, without its query.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._routes_by_place.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

"""Routes from callers' requests to services."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Iterable

from plumvane.serving.teams import TeamTable

__all__ = ["RouteKind", "Route", "RouteTable", "Service", "WeightedService"]


class RouteKind(enum.Enum):
    """Kind of the requests on a route."""

    CALL = "call"
    STREAM = "stream"
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that a route is split over.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other services of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Forwarding rule for the requests of a host and path prefix.

    Attributes:
        name: Name, unique in the table.
        host: Host header that it applies to.
        path_prefix: Path prefix, with a slash at both ends.
        kind: Kind of its requests.
        is_idempotent: Whether a request may run more than once.
        is_resumable: Whether a stream may be resumed at another upstream.
        services: Services with their weights; at least one.
        timeout_s: Longest time that a caller waits, in seconds.
        target_latency_s: Target for the time to the response, or to its first
            event, in seconds.
        max_attempts: Largest number of upstreams that a request is sent to.
        priority: Priority; 0 is the most urgent.
        completion_target_s: Target for the time from the submission of a batch
            job to its last result, in seconds.
        retention_s: Time from the submission of a batch job after which its
            unfinished items may be given up, in seconds.
        is_public: Whether its callers need no key.
        max_pause_s: Longest pause between two events with which a stream is
            on time, in seconds; 0 if not given.
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
    is_public: bool = False
    max_pause_s: float = 0.0

    def only_service(self) -> str | None:
        """Returns its service, or None if it is split over several."""
        services = [w.service for w in self.services if w.weight]
        if len(self.services) == 1:
            return self.services[0].service
        return services[0] if len(services) == 1 else None

    def choose_service(self, rng: random.Random) -> str:
        """Picks a service at random by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [weighted.weight for weighted in self.services]
        if not any(weights):
            return self.services[0].service
        return rng.choices(self.services, weights)[0].service


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable upstreams.

    Attributes:
        name: Name of the service.
        health_path: Path of the upstreams' health check.
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
        teams: TeamTable | None = None,
    ) -> None:
        """Creates the table.

        Args:
            version: Version of the configuration.
            routes: Its routes.
            services: Its services.
            max_body_bytes: Largest size of a request body.
            idle_timeout_s: Time after which an idle connection is closed.
            teams: Teams with their keys; None if callers need no keys.
        """
        self.version = version
        self.max_body_bytes = max_body_bytes
        self.idle_timeout_s = idle_timeout_s
        self.teams = teams
        self.services_by_name = {service.name: service for service in services}
        self._routes_by_prefix: dict[tuple[str, str], Route] = {}
        self._batch_routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_prefix[route.host, route.path_prefix] = route
            if route.kind is RouteKind.BATCH:
                self._batch_routes_by_host.setdefault(route.host, []).append(
                    route
                )

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix.

        Args:
            host: Host header of the request.
            path: Path of the request, without its query.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._routes_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_batch(
        self, host: str, name: str, path_prefix: str
    ) -> Route | None:
        """Returns the route of an accepted batch job in this version.

        The job keeps its route whatever other routes begin the paths of its
        items. A route that has been renamed is recognised by its prefix.

        Args:
            host: Host header of the job.
            name: Name of the route that accepted the job.
            path_prefix: Path prefix that the route had then.
        """
        routes = self._batch_routes_by_host.get(host, ())
        for route in routes:
            if route.name == name:
                return route
        for route in routes:
            if route.path_prefix == path_prefix:
                return route
        return None

    def match_batch(self, host: str, path: str) -> Route | None:
        """Returns the batch route with the longest matching path prefix.

        Args:
            host: Host header of a batch job.
            path: Start that the paths of all its items have in common.
        """
        return max(
            (
                route
                for route in self._batch_routes_by_host.get(host, ())
                if path.startswith(route.path_prefix)
            ),
            key=lambda route: len(route.path_prefix),
            default=None,
        )

"""ASGI applications of the gateway: callers' requests and readiness."""

from __future__ import annotations

import anyio

from plumvane import clock, events, metrics
from plumvane.discovery.confirmation import ConfigurationCheck
from plumvane.discovery.quotas import Quotas
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    LeavingError,
    NotFoundError,
    PlumvaneError,
    StoreUnavailableError,
)
from plumvane.gateway.access import Access
from plumvane.gateway.exchange import (
    CallerDisconnectedError,
    Exchange,
    Message,
    Receive,
    Send,
)
from plumvane.gateway.forwarder import Forwarder, IncompleteResponseError
from plumvane.gateway.jobs import BatchJobHandler
from plumvane.gateway.memory import HeldBytes, MemoryBound
from plumvane.metrics import Metric
from plumvane.platform.calls import decode_job_call, is_readiness_check
from plumvane.serving.routes import Route, RouteKind, RouteTable
from plumvane.serving.teams import Team

__all__ = ["GatewayApp", "ReadinessApp"]

# Default of the time in seconds within which a configuration takes effect.
APPLY_S = 2.0
# Retry-After of requests rejected for want of a current configuration, in
# seconds; the start of an instance takes about one.
RETRY_AFTER_S = 0.5
# Time limit of a call on a batch job, in seconds. Calls wait for the store and
# for results for a few seconds; the rest is for callers that read slowly.
JOB_CALL_TIMEOUT_S = 30.0
# Value of the label `route` in the metrics for calls on batch jobs.
JOB_CALL_KIND = "job"
# Statuses that assure the caller that its request has not run.
NOT_RUN_STATUSES = frozenset({429, 503})


class GatewayApp:
    """Serves callers' requests."""

    def __init__(
        self,
        view: FleetView,
        forwarder: Forwarder,
        jobs: BatchJobHandler,
        quotas: Quotas | None = None,
        access: Access | None = None,
        memory: MemoryBound | None = None,
        check: ConfigurationCheck | None = None,
        apply_s: float = APPLY_S,
    ) -> None:
        """Creates the application.

        Args:
            view: Current routes and upstreams.
            forwarder: Forwards requests to upstreams.
            jobs: Serves calls on batch jobs.
            quotas: Quotas of teams; None if none is limited.
            access: Identifies teams; None for one with the defaults.
            memory: Bound of what is held for callers; None for none.
            check: Reads the configuration when that is needed; a new one by
                default.
            apply_s: Time in seconds within which a configuration that the store
                has acknowledged takes effect.
        """
        self.is_draining = False
        # Monotonic time in seconds at which a draining instance ends.
        self._ends_at: float | None = None
        self._ending = anyio.Event()
        self._view = view
        self._check = check or ConfigurationCheck(view)
        self._apply_s = apply_s
        self._forwarder = forwarder
        self._jobs = jobs
        self._access = access or Access(view)
        self._quotas = quotas
        self._memory = memory

    def drain(self, ends_at: float) -> None:
        """Takes only requests whose time limit is before the end.

        Callers with keep-alive connections go to other instances from now on.

        Args:
            ends_at: Monotonic time in seconds at which this instance ends.
        """
        self.is_draining = True
        self._ends_at = ends_at

    def end_requests(self) -> None:
        """Ends all requests with an answer, or their streams as incomplete."""
        self._ending.set()

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        received_at = clock.monotonic()
        exchange = Exchange(scope, receive, send, self.is_draining)
        try:
            await self._serve(exchange, received_at)
        except CallerDisconnectedError:
            self._log_cancelled(exchange, received_at)
        except IncompleteResponseError as error:
            events.log(
                events.Event.REQUEST_FAILED,
                request=exchange.request.request_id,
                path=exchange.request.path,
                status=exchange.status,
                error=f"The response was aborted: {error}.",
                after_s=round(clock.monotonic() - received_at, 3),
            )
            # On an exception uvicorn closes the connection without the end of
            # the response, so the caller sees that it is incomplete.
            raise
        except Exception as error:
            events.log(
                events.Event.CALL_FAILED,
                request=exchange.request.request_id,
                path=exchange.request.path,
                error=repr(error),
            )
            raise
        finally:
            _record_metrics(exchange, received_at)

    async def _serve(self, exchange: Exchange, received_at: float) -> None:
        try:
            routes = self._current_routes()
            with HeldBytes(self._memory, exchange.request.request_id) as held:
                body = await exchange.read_body(routes.max_body_bytes, held)
                await self._serve_until_disconnected(
                    exchange, body, received_at
                )
        except PlumvaneError as error:
            await self._respond_with_error(exchange, error, received_at)

    async def _serve_until_disconnected(
        self, exchange: Exchange, body: bytes, received_at: float
    ) -> None:
        """Serves the request until its caller or this instance leaves."""
        failure: Exception | None = None
        is_done = False

        async def cancel_on_disconnect() -> None:
            await exchange.wait_disconnected()
            group.cancel_scope.cancel()

        async def cancel_at_end() -> None:
            await self._ending.wait()
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(cancel_on_disconnect)
            group.start_soon(cancel_at_end)
            try:
                await self._dispatch(exchange, body, received_at)
            except (PlumvaneError, IncompleteResponseError) as error:
                failure = error
            is_done = True
            group.cancel_scope.cancel()
        if not is_done and self._ending.is_set():
            if exchange.has_started:
                raise IncompleteResponseError("the instance ends")
            raise LeavingError("The instance ended before the request did.")
        if not is_done:
            raise CallerDisconnectedError
        if failure is not None:
            raise failure
        events.log(
            events.Event.REQUEST_ANSWERED,
            request=exchange.request.request_id,
            status=exchange.status,
            first_s=round(exchange.started_at - received_at, 3),
            took_s=round(clock.monotonic() - received_at, 3),
        )

    async def _dispatch(
        self, exchange: Exchange, body: bytes, received_at: float
    ) -> None:
        call = decode_job_call(exchange.request)
        if call is not None:
            exchange.kind = JOB_CALL_KIND
            team = await self._identify(exchange, None)
            with anyio.move_on_after(JOB_CALL_TIMEOUT_S):
                await self._jobs.serve(exchange, call, team)
                return
            raise IncompleteResponseError("the caller does not read it")
        route = await self._match_route(exchange, received_at)
        exchange.kind = route.kind.value
        team = await self._identify(exchange, route)
        if route.kind is RouteKind.BATCH:
            await self._jobs.submit(
                exchange,
                route,
                body,
                received_at,
                team,
                has_teams=self._current_routes().teams is not None,
            )
        else:
            await self._forward(exchange, route, body, received_at, team)

    async def _identify(
        self, exchange: Exchange, route: Route | None
    ) -> Team | None:
        """Identifies the team of a caller; from then on its key is dropped.

        See `Access.identify` for the arguments and errors.
        """
        team = await self._access.identify(exchange.request, route)
        if self._current_routes().teams is not None:
            exchange.request = exchange.request.of_team(
                team.name if team is not None else None
            )
        return team

    async def _forward(
        self,
        exchange: Exchange,
        route: Route,
        body: bytes,
        received_at: float,
        team: Team | None,
    ) -> None:
        """Forwards a request within its team's quota."""
        self._check_time_left(exchange, route, received_at)
        if team is None or self._quotas is None or not team.has_quota:
            await self._forwarder.forward(
                exchange, route, body, received_at, team
            )
            return
        source = await self._quotas.take(team, exchange.request.request_id)
        try:
            await self._forwarder.forward(
                exchange, route, body, received_at, team
            )
        except PlumvaneError as error:
            if error.not_run:
                self._quotas.give_back(team, source)
            raise

    def _check_time_left(
        self, exchange: Exchange, route: Route, received_at: float
    ) -> None:
        """Rejects a request that may not end before a draining instance does.

        Raises:
            LeavingError: Its time limit is later.
        """
        if self._ends_at is None:
            return
        timeout_s = route.timeout_s
        if exchange.request.timeout_s is not None:
            timeout_s = min(timeout_s, exchange.request.timeout_s)
        if received_at + timeout_s > self._ends_at:
            raise LeavingError(
                "This instance ends before the request's time limit.",
                not_run=True,
                retry_after_s=0.0,
            )

    def _current_routes(self) -> RouteTable:
        if self._view.routes is None:
            raise LeavingError(
                "This instance has not read its configuration yet.",
                not_run=True,
                retry_after_s=RETRY_AFTER_S,
            )
        return self._view.routes

    async def _match_route(
        self, exchange: Exchange, received_at: float
    ) -> Route:
        """Returns the route of a request.

        Raises:
            NotFoundError: No configuration that has been in effect at the time
                of the request has one.
            StoreUnavailableError: Whether a newer one has is not known.
        """
        request = exchange.request
        route = self._current_routes().match(request.host, request.path)
        if route is not None:
            return route
        is_current = await self._check.confirm_since(
            received_at - self._apply_s
        )
        route = self._current_routes().match(request.host, request.path)
        if route is not None:
            return route
        events.log(
            events.Event.ROUTE_UNKNOWN,
            request=request.request_id,
            host=request.host,
            path=request.path,
            **self._view.describe_configuration(),
        )
        if not is_current or self._view.operator_keys.is_failing:
            raise StoreUnavailableError(
                "No route matches the host and path, but the configuration "
                "may be out of date.",
                not_run=True,
                retry_after_s=RETRY_AFTER_S,
            )
        raise NotFoundError("No route matches the host and path.")

    async def _respond_with_error(
        self, exchange: Exchange, error: PlumvaneError, received_at: float
    ) -> None:
        """Sends an error; its status says whether the request has not run."""
        status = error.status
        if error.not_run and status not in NOT_RUN_STATUSES:
            status = 503
        if not error.not_run and status in NOT_RUN_STATUSES:
            status = 502
        is_rejected = status in NOT_RUN_STATUSES
        event = events.Event.REQUEST_FAILED
        if is_rejected:
            event = events.Event.REQUEST_REFUSED
        events.log(
            event,
            request=exchange.request.request_id,
            path=exchange.request.path,
            status=status,
            error=str(error),
            after_s=round(clock.monotonic() - received_at, 3),
            retry_after_s=error.retry_after_s,
        )
        metrics.add(
            Metric.REFUSALS, code=error.code, not_run=str(is_rejected).lower()
        )
        headers = [(b"content-type", b"text/plain")]
        if is_rejected and error.retry_after_s is not None:
            retry_after = f"{error.retry_after_s:.2f}".encode()
            headers.append((b"retry-after", retry_after))
        await exchange.respond(status, error.detail.encode(), headers)

    def _log_cancelled(self, exchange: Exchange, received_at: float) -> None:
        events.log(
            events.Event.REQUEST_CANCELLED,
            request=exchange.request.request_id,
            after_s=round(clock.monotonic() - received_at, 3),
            had_started=exchange.has_started,
        )


class ReadinessApp:
    """Serves the readiness checks of the platform's load balancer."""

    def __init__(self, view: FleetView) -> None:
        """Creates the application.

        Args:
            view: Current routes and upstreams.
        """
        self.is_draining = False
        self._view = view

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Serves one readiness check."""
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send, is_closing=False)
        if not is_readiness_check(exchange.request):
            await exchange.respond(404)
        elif self.is_draining or not self._view.is_loaded():
            await exchange.respond(503)
        else:
            await exchange.respond(200)


def _record_metrics(exchange: Exchange, received_at: float) -> None:
    """Records the latencies of an exchange.

    The status is 0 if the caller disconnected before the response began.
    """
    ended_at = clock.monotonic()
    metrics.record(
        Metric.REQUEST_DURATION,
        ended_at - received_at,
        route=exchange.kind,
        status=str(exchange.status),
    )
    if exchange.kind == RouteKind.STREAM.value and exchange.status == 200:
        first_s = exchange.started_at - received_at
        metrics.record(Metric.FIRST_TOKEN, first_s, route=exchange.kind)

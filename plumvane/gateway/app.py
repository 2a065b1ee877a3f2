"""ASGI application of the gateway: requests, batch calls, refusals."""

from __future__ import annotations

import anyio

from plumvane import clock, events, metrics
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    LeavingError,
    NotFoundError,
    PlumvaneError,
    StoreUnavailableError,
)
from plumvane.gateway.exchange import (
    CallerDisconnectedError,
    Exchange,
    Message,
    Receive,
    Send,
)
from plumvane.gateway.forwarder import BrokenAnswerError, Forwarder
from plumvane.gateway.jobs import JobCalls
from plumvane.metrics import Metric
from plumvane.platform.calls import decode_job_call, is_readiness_question
from plumvane.serving.routes import Route, RouteKind, RouteTable

__all__ = ["GatewayApp", "ReadyApp"]

# When a refused caller may come back, in seconds: a start takes about one.
RETRY_AFTER_S = 0.5
# Kind of exchange that the metrics show for calls on batch jobs.
JOB_CALL_KIND = "job"
# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = frozenset({429, 503})


class GatewayApp:
    """Serves callers."""

    def __init__(
        self, view: FleetView, forwarder: Forwarder, jobs: JobCalls
    ) -> None:
        """Creates the application.

        Args:
            view: Routes and upstreams in force.
            forwarder: Serves requests that upstreams run.
            jobs: Serves batch calls.
        """
        self.is_leaving = False
        self._view = view
        self._forwarder = forwarder
        self._jobs = jobs

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        received = clock.monotonic()
        exchange = Exchange(scope, receive, send, self.is_leaving)
        try:
            await self._serve(exchange, received)
        except CallerDisconnectedError:
            self._log_cancelled(exchange, received)
        except BrokenAnswerError as error:
            events.log(
                events.Event.REQUEST_FAILED,
                request=exchange.request.request_id,
                path=exchange.request.path,
                status=exchange.status,
                error=f"The answer was broken off: {error}.",
                after_s=round(clock.monotonic() - received, 3),
            )
            # uvicorn closes the connection, so the answer is not complete.
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
            _record(exchange, received)

    async def _serve(self, exchange: Exchange, received: float) -> None:
        try:
            routes = self._known_routes()
            body = await exchange.read_body(routes.max_body_bytes)
            await self._serve_until_disconnected(exchange, body, received)
        except PlumvaneError as error:
            await self._answer_error(exchange, error, received)

    async def _serve_until_disconnected(
        self, exchange: Exchange, body: bytes, received: float
    ) -> None:
        """Serves the request and stops once its caller has disconnected."""
        failure: Exception | None = None
        has_ended = False

        async def stop_when_disconnected() -> None:
            await exchange.wait_disconnected()
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(stop_when_disconnected)
            try:
                await self._dispatch(exchange, body, received)
            except (PlumvaneError, BrokenAnswerError) as error:
                failure = error
            has_ended = True
            group.cancel_scope.cancel()
        if not has_ended:
            raise CallerDisconnectedError
        if failure is not None:
            raise failure
        events.log(
            events.Event.REQUEST_ANSWERED,
            request=exchange.request.request_id,
            status=exchange.status,
            first_s=round(exchange.started_at - received, 3),
            took_s=round(clock.monotonic() - received, 3),
        )

    async def _dispatch(
        self, exchange: Exchange, body: bytes, received: float
    ) -> None:
        call = decode_job_call(exchange.request)
        if call is not None:
            exchange.kind = JOB_CALL_KIND
            await self._jobs.serve(exchange, call)
            return
        route = self._route(exchange)
        exchange.kind = route.kind.value
        if route.kind is RouteKind.BATCH:
            await self._jobs.submit(exchange, route, body, received)
        else:
            await self._forwarder.forward(exchange, route, body, received)

    def _known_routes(self) -> RouteTable:
        if self._view.routes is None:
            raise LeavingError(
                "This instance has no configuration yet.",
                not_run=True,
                retry_after_s=RETRY_AFTER_S,
            )
        return self._view.routes

    def _route(self, exchange: Exchange) -> Route:
        request = exchange.request
        found = self._known_routes().match(request.host, request.path)
        if found is not None:
            return found
        if self._view.operator_keys.is_failing:
            raise StoreUnavailableError(
                "The route is unknown, and the configuration may be old.",
                not_run=True,
                retry_after_s=RETRY_AFTER_S,
            )
        raise NotFoundError("No route matches the host and path.")

    async def _answer_error(
        self, exchange: Exchange, error: PlumvaneError, received: float
    ) -> None:
        status = error.status
        if error.not_run and status not in NOT_RUN_STATUSES:
            status = 503
        if not error.not_run and status in NOT_RUN_STATUSES:
            status = 502
        refused = status in NOT_RUN_STATUSES
        kind = events.Event.REQUEST_FAILED
        if refused:
            kind = events.Event.REQUEST_REFUSED
        events.log(
            kind,
            request=exchange.request.request_id,
            path=exchange.request.path,
            status=status,
            error=str(error),
            after_s=round(clock.monotonic() - received, 3),
            retry_after_s=error.retry_after_s,
        )
        metrics.add(
            Metric.REFUSALS, code=error.code, not_run=str(refused).lower()
        )
        headers = [(b"content-type", b"text/plain")]
        if refused and error.retry_after_s is not None:
            retry_after = f"{error.retry_after_s:.2f}".encode()
            headers.append((b"retry-after", retry_after))
        await exchange.answer(status, error.detail.encode(), headers)

    def _log_cancelled(self, exchange: Exchange, received: float) -> None:
        events.log(
            events.Event.REQUEST_CANCELLED,
            request=exchange.request.request_id,
            after_s=round(clock.monotonic() - received, 3),
            had_started=exchange.has_started,
        )


class ReadyApp:
    """Tells the platform's balancer whether to send connections."""

    def __init__(self, view: FleetView) -> None:
        """Creates the application.

        Args:
            view: Routes and upstreams in force.
        """
        self.is_leaving = False
        self._view = view

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Serves one question."""
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send, is_closing=False)
        if not is_readiness_question(exchange.request):
            await exchange.answer(404)
        elif self.is_leaving or not self._view.is_known():
            await exchange.answer(503)
        else:
            await exchange.answer(200)


def _record(exchange: Exchange, received: float) -> None:
    """Records the times of an exchange; the status of a left one is 0."""
    ended = clock.monotonic()
    metrics.record(
        Metric.REQUEST_DURATION,
        ended - received,
        route=exchange.kind,
        status=str(exchange.status),
    )
    if exchange.kind == RouteKind.STREAM.value and exchange.status == 200:
        first_s = exchange.started_at - received
        metrics.record(Metric.FIRST_TOKEN, first_s, route=exchange.kind)

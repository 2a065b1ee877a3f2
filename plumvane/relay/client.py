"""HTTP client for one attempt of a request at an upstream."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import AsyncIterator

import anyio
import httpcore

from plumvane import clock, metrics
from plumvane.discovery.leaving import record_leaving
from plumvane.discovery.limits import record_max_rate
from plumvane.errors import (
    OverloadedError,
    UpstreamLostError,
    UpstreamUnavailableError,
    WrongUpstreamError,
)
from plumvane.httppool import (
    KEEPALIVE_SOCKET_OPTIONS,
    NETWORK_ERRORS,
    HttpPool,
)
from plumvane.metrics import Metric
from plumvane.platform.requests import (
    ResponseHead,
    decode_response,
    request_headers,
    response_headers,
)
from plumvane.serving.upstreams import Upstream

__all__ = ["Attempt", "UpstreamClient", "UpstreamResponse"]

# Connect timeout in seconds; the round trip to the farthest upstream is a few
# milliseconds.
CONNECT_TIMEOUT_S = 0.4
# Status of an upstream whose address was listed for another upstream.
MISDIRECTED = 421
# Statuses that tell the caller that its request has not run. They are only
# relayed if the upstream signed them; rejections marked by a header are raised
# as OverloadedError before.
NOT_RUN_STATUSES = frozenset({408, 429, 503})

HeaderList = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A request as it is sent to one upstream.

    Attributes:
        request_id: Identifier of the request.
        method: HTTP method.
        target: Path and query.
        headers: Headers of the caller or the batch item.
        body: Request body.
        deadline: Monotonic time in seconds until which the upstream may work
            on the request; None for no limit.
        last_event_id: Event after which a stream resumes, or None.
        is_idempotent: Whether the request may run more than once.
        read_timeout_s: Longest time without data from the upstream, and
            without the complete head of its response, in seconds; None for no
            limit.
    """

    request_id: str
    method: str
    target: bytes
    headers: HeaderList
    body: bytes
    deadline: float | None
    last_event_id: int | None
    is_idempotent: bool
    read_timeout_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """An upstream's response.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers, to be relayed to the caller.
        head: Decoded headers of the platform.
        response: The HTTP response, its body not read yet.
        data_centre: Label of the upstream's data centre in the metrics.
    """

    status: int
    headers: HeaderList
    head: ResponseHead
    response: httpcore.Response
    data_centre: str = "own"

    async def iter_body(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            UpstreamLostError: The connection failed before the body's end.
        """
        received = 0
        try:
            async for part in self.response.aiter_stream():
                received += len(part)
                yield part
        except NETWORK_ERRORS as error:
            raise UpstreamLostError(
                f"Reading the response failed: {type(error).__name__}."
            ) from error
        finally:
            metrics.add(
                Metric.UPSTREAM_BYTES, received, data_centre=self.data_centre
            )


class UpstreamClient:
    """Sends requests to upstreams over pooled connections."""

    def __init__(self, data_centre: str = "") -> None:
        """Creates the client with an empty pool.

        Args:
            data_centre: Data centre of this process.
        """
        self._data_centre = data_centre
        self._pool = HttpPool(socket_options=KEEPALIVE_SOCKET_OPTIONS)

    @contextlib.asynccontextmanager
    async def send(
        self, upstream: Upstream, attempt: Attempt
    ) -> AsyncIterator[UpstreamResponse]:
        """Sends a request and yields its response.

        Leaving the context early closes the connection, which cancels the
        request at the upstream. Non-idempotent requests get a new connection:
        on a reused one, an upstream that closes an idle connection cannot be
        told from a lost response.

        Args:
            upstream: The upstream that the request is sent to.
            attempt: The request.

        Raises:
            OverloadedError: The upstream rejected the request without running
                it.
            UpstreamLostError: There is no valid response; the request may have
                run.
            UpstreamUnavailableError: No connection could be opened; the
                request has not run.
            WrongUpstreamError: Another upstream responds at the address; the
                request has not run.
        """
        is_own = upstream.listed.data_centre == self._data_centre
        label = "own" if is_own else "other"
        metrics.add(Metric.UPSTREAM_REQUESTS, data_centre=label)
        metrics.add(Metric.UPSTREAM_BYTES, len(attempt.body), data_centre=label)
        upstream.in_flight += 1
        try:
            async with contextlib.AsyncExitStack() as stack:
                response = await self._start(stack, upstream, attempt)
                yield dataclasses.replace(
                    _validate_response(upstream, attempt, response),
                    data_centre=label,
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise UpstreamUnavailableError(
                f"Cannot connect to upstream {upstream.upstream_id}: "
                f"{type(error).__name__}.",
                not_run=True,
            ) from error
        except NETWORK_ERRORS as error:
            raise UpstreamLostError(
                f"No response from upstream {upstream.upstream_id}: "
                f"{type(error).__name__}."
            ) from error
        finally:
            upstream.in_flight -= 1

    async def _start(
        self,
        stack: contextlib.AsyncExitStack,
        upstream: Upstream,
        attempt: Attempt,
    ) -> httpcore.Response:
        """Sends a request and reads the head of its response.

        Args:
            stack: Closes the response.
            upstream: The upstream that the request is sent to.
            attempt: The request.
        """
        timeout_s = None
        if attempt.read_timeout_s is not None:
            timeout_s = CONNECT_TIMEOUT_S + attempt.read_timeout_s
        exchange = self._pool.stream(
            attempt.method,
            _url(upstream, attempt.target),
            headers=_request_headers(upstream, attempt),
            content=attempt.body,
            extensions={
                "timeout": {
                    "connect": CONNECT_TIMEOUT_S,
                    "read": attempt.read_timeout_s,
                }
            },
            use_new_connection=not attempt.is_idempotent,
        )
        try:
            with anyio.fail_after(timeout_s):
                return await stack.enter_async_context(exchange)
        except TimeoutError:
            raise UpstreamLostError(
                f"Upstream {upstream.upstream_id} sent no complete head of a "
                f"response within {timeout_s} s."
            ) from None


def _request_headers(upstream: Upstream, attempt: Attempt) -> HeaderList:
    remaining_s = None
    if attempt.deadline is not None:
        remaining_s = clock.remaining(attempt.deadline)
    has_body = bool(attempt.body) or attempt.method in ("POST", "PUT", "PATCH")
    return request_headers(
        attempt.headers,
        body_bytes=len(attempt.body) if has_body else None,
        upstream_id=upstream.upstream_id,
        remaining_s=remaining_s,
        last_event_id=attempt.last_event_id,
    )


def _url(upstream: Upstream, target: bytes) -> httpcore.URL:
    return httpcore.URL(
        scheme=b"http",
        host=upstream.listed.host.encode(),
        port=upstream.listed.port,
        target=target,
    )


def _validate_response(
    upstream: Upstream, attempt: Attempt, response: httpcore.Response
) -> UpstreamResponse:
    """Returns a response that belongs to the request and can be relayed.

    Upstreams echo the request id in each response. A response without one is
    a second response to an earlier request on the same connection.

    Raises:
        OverloadedError: The upstream rejected the request.
        UpstreamLostError: The response belongs to another request, or it is
            encoded or lacks the upstream's signature.
        WrongUpstreamError: Another upstream has the address.
    """
    head = decode_response(response.headers)
    if head.request_id != attempt.request_id:
        raise UpstreamLostError(
            f"Upstream {upstream.upstream_id} sent the response to another "
            f"request: {head.request_id or 'unknown'}."
        )
    if response.status == MISDIRECTED:
        raise WrongUpstreamError(
            f"Upstream {upstream.upstream_id} is no longer at its address; "
            f"{head.upstream_id or 'another upstream'} responded.",
            not_run=True,
        )
    if head.is_leaving and head.upstream_id in ("", upstream.upstream_id):
        record_leaving(upstream, "response", request=attempt.request_id)
    record_max_rate(upstream, head.max_rate, clock.monotonic(), "response")
    if head.load is not None:
        upstream.update_load(head.load, clock.monotonic())
    if head.is_not_run:
        raise OverloadedError(
            f"Upstream {upstream.upstream_id} rejected the request with "
            f"status {response.status}.",
            not_run=True,
        )
    must_be_signed = (
        response.status < 300 or response.status in NOT_RUN_STATUSES
    )
    if head.is_encoded or (must_be_signed and not head.is_signed):
        raise UpstreamLostError(
            f"Upstream {upstream.upstream_id} sent an encoded or unsigned "
            "response."
        )
    return UpstreamResponse(
        response.status, response_headers(response.headers), head, response
    )

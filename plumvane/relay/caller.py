"""One attempt to have an upstream run a request."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import AsyncIterator

import httpcore

from plumvane import clock
from plumvane.errors import (
    OverloadedError,
    UpstreamLostError,
    UpstreamUnavailableError,
    WrongUpstreamError,
)
from plumvane.httppool import (
    NETWORK_ERRORS,
    PROBED_SOCKET_OPTIONS,
    HttpPool,
)
from plumvane.platform.requests import (
    AnswerHead,
    answer_headers,
    decode_answer,
    sent_headers,
)
from plumvane.serving.upstreams import Upstream

__all__ = ["Attempt", "Reply", "UpstreamCaller"]

# Time to set up a connection, in seconds; the farthest upstream is a few
# milliseconds away.
CONNECT_TIMEOUT_S = 0.4
MISDIRECTED = 421
# Statuses that tell the caller that its request has not run; only the
# upstream's own word, or its refusal above, is passed on as one.
NOT_RUN = frozenset({408, 429, 503})

HeaderList = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """What is sent to an upstream.

    Attributes:
        request_id: Identifier of the request.
        method: HTTP method.
        target: Path and query.
        headers: Headers of the caller or the item.
        body: Body.
        deadline: Monotonic time in seconds up to which the upstream may work;
            None for no limit.
        last_event_id: Event after which a stream goes on, or None.
        is_idempotent: Whether it may run again.
        max_silence_s: Longest silence of the upstream, in seconds; None for
            no limit.
    """

    request_id: str
    method: str
    target: bytes
    headers: HeaderList
    body: bytes
    deadline: float | None
    last_event_id: int | None
    is_idempotent: bool
    max_silence_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An upstream's answer.

    Attributes:
        status: HTTP status.
        headers: Headers that go on to the caller.
        head: What the headers say.
        response: The answer, its body not read yet.
    """

    status: int
    headers: HeaderList
    head: AnswerHead
    response: httpcore.Response

    async def parts(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes.

        Raises:
            UpstreamLostError: It breaks off.
        """
        try:
            async for part in self.response.aiter_stream():
                yield part
        except NETWORK_ERRORS as error:
            raise UpstreamLostError(
                f"The answer broke off: {type(error).__name__}."
            ) from error


class UpstreamCaller:
    """Sends requests to upstreams over connections that it keeps."""

    def __init__(self) -> None:
        """Creates the caller."""
        self._pool = HttpPool(socket_options=PROBED_SOCKET_OPTIONS)

    @contextlib.asynccontextmanager
    async def send(
        self, upstream: Upstream, attempt: Attempt
    ) -> AsyncIterator[Reply]:
        """Sends a request and yields its answer.

        Leaving the context early closes the connection, which cancels the
        request at the upstream. Requests that may run once get a connection
        of their own: on a kept one, a close by the upstream could not be told
        from a lost answer.

        Args:
            upstream: Where it is sent.
            attempt: What is sent.

        Raises:
            OverloadedError: The upstream refused it; it has not run.
            UpstreamLostError: There is no answer; it may have run.
            UpstreamUnavailableError: The upstream was not reached.
            WrongUpstreamError: Another upstream has the address now.
        """
        upstream.in_flight += 1
        try:
            async with self._pool.stream(
                attempt.method,
                _url(upstream, attempt.target),
                headers=_headers(upstream, attempt),
                content=attempt.body,
                extensions={
                    "timeout": {
                        "connect": CONNECT_TIMEOUT_S,
                        "read": attempt.max_silence_s,
                    }
                },
                is_fresh=not attempt.is_idempotent,
            ) as response:
                yield _checked(upstream, attempt, response)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise UpstreamUnavailableError(
                f"Upstream {upstream.upstream_id} does not accept connections: "
                f"{type(error).__name__}.",
                not_run=True,
            ) from error
        except NETWORK_ERRORS as error:
            raise UpstreamLostError(
                f"Upstream {upstream.upstream_id} gave no answer: "
                f"{type(error).__name__}."
            ) from error
        finally:
            upstream.in_flight -= 1


def _headers(upstream: Upstream, attempt: Attempt) -> HeaderList:
    remaining_s = None
    if attempt.deadline is not None:
        remaining_s = clock.remaining(attempt.deadline)
    has_body = bool(attempt.body) or attempt.method in ("POST", "PUT", "PATCH")
    return sent_headers(
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


def _checked(
    upstream: Upstream, attempt: Attempt, response: httpcore.Response
) -> Reply:
    """Returns an answer that belongs to the request and can be passed on.

    Upstreams name the request in each answer. One that names none is a second
    answer to an earlier request on the same connection.
    """
    head = decode_answer(response.headers)
    if head.request_id != attempt.request_id:
        raise UpstreamLostError(
            f"Upstream {upstream.upstream_id} sent the answer to request "
            f"{head.request_id or 'unknown'}."
        )
    if response.status == MISDIRECTED:
        raise WrongUpstreamError(
            f"Upstream {upstream.upstream_id} is no longer at its address; "
            f"{head.upstream_id or 'another one'} answers.",
            not_run=True,
        )
    if head.load is not None:
        upstream.update_load(head.load, clock.monotonic())
    if head.is_not_run:
        raise OverloadedError(
            f"Upstream {upstream.upstream_id} refused the request with "
            f"{response.status}.",
            not_run=True,
        )
    must_be_signed = response.status < 300 or response.status in NOT_RUN
    if head.is_encoded or (must_be_signed and not head.is_signed):
        raise UpstreamLostError(
            f"Upstream {upstream.upstream_id} sent an answer that is not its "
            "service's."
        )
    return Reply(
        response.status, answer_headers(response.headers), head, response
    )

"""Requests through the gateway: what runs again, what is said of it."""

from __future__ import annotations

import anyio

from plumvane import clock
from plumvane.errors import (
    DeadlineExceededError,
    OutcomeUnknownError,
    OverloadedError,
    PlumvaneError,
    UpstreamLostError,
    UpstreamUnavailableError,
)
from plumvane.gateway.forwarder import BrokenAnswerError
from plumvane.serving.routes import Route, RouteKind
from tests.gateways import Caller, Gateway, Script, gateway, route

LOST = UpstreamLostError("lost")
REFUSED = OverloadedError("full", not_run=True)
NOT_REACHED = UpstreamUnavailableError("dark", not_run=True)
EVENTS = tuple(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 5))


def forward(
    parts: Gateway, caller: Caller, to: Route
) -> PlumvaneError | BrokenAnswerError | None:
    """Serves one request; returns the error it ended with."""

    async def run() -> PlumvaneError | BrokenAnswerError | None:
        try:
            await parts.forwarder.forward(
                caller.exchange, to, b"body", clock.monotonic()
            )
        except (PlumvaneError, BrokenAnswerError) as error:
            return error
        return None

    return anyio.run(run)


def test_idempotent_request_runs_again_after_a_lost_answer() -> None:
    parts = gateway([Script(error=LOST), Script()])
    caller = Caller()
    assert forward(parts, caller, route(RouteKind.CALL)) is None
    assert (caller.status, caller.body) == (200, b"whole")
    first, second = (upstream for upstream, _ in parts.caller.sent)
    assert first != second


def test_request_that_may_run_once_is_not_sent_again_after_a_lost_answer() -> (
    None
):
    parts = gateway([Script(error=LOST)])
    once = route(RouteKind.CALL, is_idempotent=False)
    error = forward(parts, Caller(), once)
    assert isinstance(error, OutcomeUnknownError)
    assert not error.not_run
    assert len(parts.caller.sent) == 1


def test_request_that_may_run_once_goes_on_after_refusals() -> None:
    parts = gateway(
        [Script(error=REFUSED), Script(error=NOT_REACHED), Script()]
    )
    caller = Caller()
    once = route(RouteKind.CALL, is_idempotent=False, max_attempts=1)
    assert forward(parts, caller, once) is None
    assert caller.status == 200


def test_deadline_while_an_upstream_has_the_request_is_not_called_not_run() -> (
    None
):
    parts = gateway([Script(hang=True)])
    once = route(RouteKind.CALL, is_idempotent=False)
    error = forward(parts, Caller(x_deadline_ms="50"), once)
    assert isinstance(error, DeadlineExceededError)
    assert not error.not_run


def test_request_that_all_upstreams_refuse_is_not_run_and_may_return() -> None:
    parts = gateway([Script(error=REFUSED)] * 3)
    error = forward(parts, Caller(), route(RouteKind.CALL))
    assert isinstance(error, OverloadedError)
    assert error.not_run
    assert error.retry_after_s is not None


def test_no_more_upstreams_than_attempts_may_run_a_request() -> None:
    parts = gateway([Script(error=LOST)] * 3)
    error = forward(parts, Caller(), route(RouteKind.CALL, max_attempts=2))
    assert isinstance(error, UpstreamLostError)
    assert len(parts.caller.sent) == 2


def test_broken_resumable_stream_goes_on_inside_one_answer() -> None:
    parts = gateway(
        [
            Script(parts=EVENTS[:2] + (b"id: 3\nda",), break_error=LOST),
            Script(parts=EVENTS[2:]),
        ]
    )
    caller = Caller()
    stream = route(RouteKind.STREAM, is_resumable=True)
    assert forward(parts, caller, stream) is None
    assert caller.body == b"".join(EVENTS)
    assert caller.is_finished
    assert parts.caller.sent[1][1].last_event_id == 2


def test_broken_stream_that_may_run_once_does_not_look_complete() -> None:
    parts = gateway([Script(parts=EVENTS[:2], break_error=LOST)])
    caller = Caller()
    once = route(RouteKind.STREAM, is_idempotent=False, is_resumable=False)
    assert isinstance(forward(parts, caller, once), BrokenAnswerError)
    assert not caller.is_finished


def test_stream_with_a_missing_event_counts_as_broken() -> None:
    parts = gateway([Script(parts=(EVENTS[0], EVENTS[2]))])
    caller = Caller()
    once = route(RouteKind.STREAM, is_idempotent=False)
    assert isinstance(forward(parts, caller, once), BrokenAnswerError)
    assert caller.body == EVENTS[0]


def test_failure_of_an_upstream_is_passed_on_unchanged() -> None:
    parts = gateway([Script(status=500, parts=(b"no",))])
    caller = Caller()
    assert forward(parts, caller, route(RouteKind.CALL)) is None
    assert (caller.status, caller.body) == (500, b"no")
    assert caller.headers[b"x-response-signature"] == b"s"


def test_only_requests_that_may_run_elsewhere_have_a_limit_on_silence() -> None:
    def limits(to: Route, upstreams: int) -> list[float | None]:
        parts = gateway([Script(error=LOST)] * 2, upstreams)
        forward(parts, Caller(), to)
        return [attempt.max_silence_s for _, attempt in parts.caller.sent]

    stream = route(RouteKind.STREAM, is_resumable=True)
    first, last = limits(stream, 3)
    assert first is not None
    assert first < 2.0, "callers leave a silent stream after two seconds"
    assert last is None
    assert limits(stream, 1)[0] is None
    assert limits(route(RouteKind.CALL, is_idempotent=False), 3) == [None]
    call, _ = limits(route(RouteKind.CALL, target_latency_s=0.2), 3)
    assert call is not None
    assert 0.4 <= call < 1.0


def test_refusals_after_a_lost_answer_do_not_make_the_request_not_run() -> None:
    parts = gateway([Script(error=LOST), Script(error=REFUSED)], 2)
    error = forward(parts, Caller(), route(RouteKind.CALL, max_attempts=3))
    assert isinstance(error, PlumvaneError)
    assert not error.not_run


def test_stream_that_nobody_goes_on_with_is_broken_off() -> None:
    parts = gateway(
        [
            Script(parts=EVENTS[:2], break_error=LOST),
            Script(error=REFUSED),
        ],
        2,
    )
    caller = Caller()
    stream = route(RouteKind.STREAM, is_resumable=True, max_attempts=3)
    assert isinstance(forward(parts, caller, stream), BrokenAnswerError)
    assert not caller.is_finished

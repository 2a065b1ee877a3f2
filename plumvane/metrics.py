"""Catalogue of metrics, recorded by OpenTelemetry and exported to Prometheus.

`configure` imports OpenTelemetry. Values recorded earlier are discarded unless
`keep_until_configured` was called.
"""

from __future__ import annotations

import collections
import enum
import threading
import time
from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from typing import Any

import anyio.to_thread

from plumvane import events

__all__ = [
    "CONTENT_TYPE",
    "Metric",
    "MetricsEndpoint",
    "TimingMiddleware",
    "add",
    "configure",
    "exposition",
    "keep_until_configured",
    "observe",
    "record",
]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Bucket boundaries of the histograms, in seconds. They include the latency
# targets of the sample workloads, 39 ms and 0.9 s.
BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.039, 0.05, 0.075, 0.1, 0.2,
    0.3, 0.45, 0.6, 0.9, 1.2, 2.0, 5.0, 10.0, 30.0, 60.0,
)  # fmt: skip
# Maximum number of recordings buffered before the metrics are configured; a
# busy gateway makes some hundred recordings a second.
MAX_BUFFERED_RECORDINGS = 4096
TIMED_ROUTES_BY_PREFIX = {
    "/v1/completions": "completions",
    "/v1/services": "services",
}

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class Kind(enum.Enum):
    """Type of instrument of a metric."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


class Metric(enum.Enum):
    """A metric: its name, kind, labels and description."""

    EVENTS = (
        "plumvane_events_total",
        Kind.COUNTER,
        ("event",),
        "Log events, by name; see EVENTS.md.",
    )
    REFUSALS = (
        "plumvane_refusals_total",
        Kind.COUNTER,
        ("code", "not_run"),
        "Problem documents sent, by error code.",
    )
    ACCESS = (
        "plumvane_access_total",
        Kind.COUNTER,
        ("outcome",),
        "Requests whose key had to be looked up in the store, by outcome: "
        "confirmed, unknown, missing or unconfirmed.",
    )
    QUOTA_REQUESTS = (
        "plumvane_quota_requests_total",
        Kind.COUNTER,
        ("outcome", "source"),
        "Requests of teams with quotas: admitted or refused, and by whom.",
    )
    REQUEST_DURATION = (
        "plumvane_request_duration_seconds",
        Kind.HISTOGRAM,
        ("route", "status"),
        "Time from a caller's request to the end of its answer.",
    )
    FIRST_TOKEN = (
        "plumvane_first_token_seconds",
        Kind.HISTOGRAM,
        ("route",),
        "Time from a caller's request to the first token of a stream.",
    )
    BETWEEN_TOKENS = (
        "plumvane_between_tokens_seconds",
        Kind.HISTOGRAM,
        ("route",),
        "Mean time between the tokens of one stream.",
    )
    HELD_BYTES = (
        "plumvane_held_bytes",
        Kind.GAUGE,
        (),
        "Bytes of the bodies of requests that a gateway holds.",
    )
    LONGEST_GAP = (
        "plumvane_longest_token_gap_seconds",
        Kind.HISTOGRAM,
        ("route",),
        "Longest time between two tokens of one stream.",
    )
    EXPECTATION_ERROR = (
        "plumvane_expectation_error_seconds",
        Kind.HISTOGRAM,
        ("direction",),
        "Difference of the seen from the expected time from sending a request "
        "to its first event; it came sooner or later.",
    )
    BATCH_ITEMS = (
        "plumvane_batch_items_total",
        Kind.COUNTER,
        ("outcome",),
        "Batch items committed by this owner: done or failed.",
    )
    RESERVED_SLOTS = (
        "plumvane_reserved_slots",
        Kind.GAUGE,
        ("service",),
        "Slots that batch items leave to online requests that are forecast.",
    )
    UPSTREAM_REQUESTS = (
        "plumvane_upstream_requests_total",
        Kind.COUNTER,
        ("data_centre",),
        "Requests sent to upstreams in the own data centre or another one.",
    )
    UPSTREAM_BYTES = (
        "plumvane_upstream_bytes_total",
        Kind.COUNTER,
        ("data_centre",),
        "Bytes of bodies sent to and received from those upstreams.",
    )
    DOCUMENT_REVISION = (
        "plumvane_document_revision",
        Kind.GAUGE,
        (),
        "Revision of the fleet document in force; 0 if none is known.",
    )
    PARTITIONS_OWNED = (
        "plumvane_partitions_owned",
        Kind.GAUGE,
        (),
        "Partitions that this entry owns.",
    )
    PARTITIONS_WITHOUT_OWNER = (
        "plumvane_partitions_without_owner",
        Kind.GAUGE,
        (),
        "Partitions that no instance is known to own.",
    )
    INSTANCES = (
        "plumvane_instances",
        Kind.GAUGE,
        ("role", "state"),
        "Instances that this entry knows.",
    )
    JOBS_RUNNING = (
        "plumvane_jobs_running",
        Kind.GAUGE,
        (),
        "Running jobs of this owner.",
    )
    JOBS_LATE = (
        "plumvane_jobs_late",
        Kind.GAUGE,
        (),
        "Running jobs that have missed their deadline or are expected to.",
    )
    ITEMS_REMAINING = (
        "plumvane_batch_items_remaining",
        Kind.GAUGE,
        (),
        "Items of running jobs without an outcome.",
    )
    LEAST_SLACK = (
        "plumvane_job_least_slack_seconds",
        Kind.GAUGE,
        (),
        "Least time between a running job's expected end and its deadline.",
    )
    UPSTREAM_ONLINE = (
        "plumvane_upstream_online",
        Kind.GAUGE,
        (),
        "Online requests queued and running at this sidecar.",
    )
    UPSTREAM_BATCH = (
        "plumvane_upstream_batch",
        Kind.GAUGE,
        (),
        "Batch items queued and running at this sidecar.",
    )
    UPSTREAM_LIMIT = (
        "plumvane_upstream_limit",
        Kind.GAUGE,
        (),
        "Requests that admission lets run at once at this sidecar.",
    )

    @property
    def full_name(self) -> str:
        """The metric's name in Prometheus."""
        return str(self.value[0])

    @property
    def kind(self) -> Kind:
        """The type of instrument."""
        kind: Kind = self.value[1]
        return kind

    @property
    def labels(self) -> tuple[str, ...]:
        """The names of its labels."""
        labels: tuple[str, ...] = self.value[2]
        return labels

    @property
    def description(self) -> str:
        """The help text, which docs/METRICS.md also lists."""
        return str(self.value[3])


# Value of a gauge without labels, or pairs of a value and its labels.
GaugeValue = float | Iterable[tuple[float, dict[str, str]]]

_instruments_by_metric: dict[Metric, Any] = {}
_callbacks_by_metric: dict[Metric, Callable[[], GaugeValue]] = {}
_buffered: collections.deque[Callable[[], None]] | None = None
_configure_lock = threading.Lock()


def keep_until_configured() -> None:
    """Buffers recordings until `configure` is called.

    Beyond `MAX_BUFFERED_RECORDINGS` the oldest are discarded.
    """
    global _buffered
    _buffered = collections.deque(maxlen=MAX_BUFFERED_RECORDINGS)
    events.add_listener(_count_event)


def configure() -> None:
    """Creates the instruments and replays buffered recordings.

    Later calls do nothing. The function is thread-safe, so that callers can
    run it in a worker thread: the import takes some tenths of a second.
    """
    global _buffered
    with _configure_lock:
        if _instruments_by_metric:
            return
        instruments_by_metric = _make_instruments()
        if _buffered is None:
            events.add_listener(_count_event)
        _instruments_by_metric.update(instruments_by_metric)
        buffered, _buffered = _buffered or (), None
    for replay in buffered:
        replay()


def _count_event(event: events.Event) -> None:
    add(Metric.EVENTS, event=event.name.lower())


def _make_instruments() -> dict[Metric, Any]:
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.sdk.metrics import MeterProvider

    reader = PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False
    )
    meter = MeterProvider([reader]).get_meter("plumvane")
    instruments_by_metric: dict[Metric, Any] = {}
    for metric in Metric:
        name, help_text = metric.full_name, metric.description
        if metric.kind is Kind.COUNTER:
            instrument: Any = meter.create_counter(name, description=help_text)
        elif metric.kind is Kind.HISTOGRAM:
            instrument = meter.create_histogram(
                name,
                description=help_text,
                explicit_bucket_boundaries_advisory=BUCKETS_S,
            )
        else:
            instrument = meter.create_observable_gauge(
                name, [_make_gauge_callback(metric)], description=help_text
            )
        instruments_by_metric[metric] = instrument
    return instruments_by_metric


def add(metric: Metric, amount: int = 1, **labels: str) -> None:
    """Adds an amount to a counter."""
    instrument = _instruments_by_metric.get(metric)
    if instrument is not None:
        instrument.add(amount, labels)
    elif _buffered is not None:
        _buffered.append(lambda: add(metric, amount, **labels))


def record(metric: Metric, seconds: float, **labels: str) -> None:
    """Records a duration in a histogram."""
    instrument = _instruments_by_metric.get(metric)
    if instrument is not None:
        instrument.record(seconds, labels)
    elif _buffered is not None:
        _buffered.append(lambda: record(metric, seconds, **labels))


def observe(metric: Metric, callback: Callable[[], GaugeValue]) -> None:
    """Registers the callback that returns a gauge's value at each scrape."""
    _callbacks_by_metric[metric] = callback


def exposition() -> bytes:
    """Returns all metrics in the Prometheus text exposition format."""
    from prometheus_client import generate_latest

    return bytes(generate_latest())


def _make_gauge_callback(metric: Metric) -> Any:
    from opentelemetry.metrics import CallbackOptions, Observation

    def read(options: CallbackOptions) -> list[Observation]:
        callback = _callbacks_by_metric.get(metric)
        if callback is None:
            return []
        gauge_value = callback()
        if isinstance(gauge_value, (int, float)):
            return [Observation(gauge_value)]
        return [Observation(value, labels) for value, labels in gauge_value]

    return read


class MetricsEndpoint:
    """An ASGI application that serves only GET /metrics."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handles one HTTP request."""
        is_metrics_request = (
            scope.get("path") == "/metrics" and scope["method"] == "GET"
        )
        if is_metrics_request:
            await anyio.to_thread.run_sync(configure)
        body = exposition() if is_metrics_request else b""
        await send(
            {
                "type": "http.response.start",
                "status": 200 if is_metrics_request else 404,
                "headers": [
                    (b"content-type", CONTENT_TYPE.encode()),
                    (b"content-length", str(len(body)).encode()),
                ],
            }
        )
        await send({"type": "http.response.body", "body": body})


class TimingMiddleware:
    """ASGI middleware that measures the latency of online requests."""

    def __init__(self, app: App) -> None:
        """Wraps an application.

        Args:
            app: ASGI application that serves the requests.
        """
        self._app = app

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handles one HTTP request and records its latency."""
        path = scope.get("path", "")
        for prefix, route in TIMED_ROUTES_BY_PREFIX.items():
            if path.startswith(prefix):
                timer = _ResponseTimer(route, send)
                await self._app(scope, receive, timer.send)
                timer.finish()
                return
        await self._app(scope, receive, send)


class _ResponseTimer:
    """Measures the latency of one response."""

    def __init__(self, route: str, send: Send) -> None:
        self._route = route
        self._send = send
        self._started_at = time.perf_counter()
        self._first_part_at = 0.0
        self._last_part_at = 0.0
        self._longest_gap_s = 0.0
        self._part_count = 0
        self._status = 0
        self._is_stream = False

    async def send(self, message: MutableMapping[str, Any]) -> None:
        """Forwards an ASGI message of the response."""
        if message["type"] == "http.response.start":
            self._status = message["status"]
            self._is_stream = any(
                name == b"content-type" and value.startswith(b"text/event")
                for name, value in message["headers"]
            )
        elif self._is_stream and message.get("body"):
            self._record_part()
        await self._send(message)

    def finish(self) -> None:
        """Records the duration of the response and the times of its tokens."""
        ended_at = time.perf_counter()
        record(
            Metric.REQUEST_DURATION,
            ended_at - self._started_at,
            route=self._route,
            status=str(self._status),
        )
        if self._part_count:
            first_token_s = self._first_part_at - self._started_at
            record(Metric.FIRST_TOKEN, first_token_s, route=self._route)
        if self._part_count > 1:
            mean_gap_s = (self._last_part_at - self._first_part_at) / (
                self._part_count - 1
            )
            record(Metric.BETWEEN_TOKENS, mean_gap_s, route=self._route)
            record(Metric.LONGEST_GAP, self._longest_gap_s, route=self._route)

    def _record_part(self) -> None:
        now = time.perf_counter()
        if not self._part_count:
            self._first_part_at = now
        else:
            self._longest_gap_s = max(
                self._longest_gap_s, now - self._last_part_at
            )
        self._part_count += 1
        self._last_part_at = now

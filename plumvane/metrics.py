"""Catalogue of metrics, kept by OpenTelemetry and read out for Prometheus.

OpenTelemetry is imported by `configure`. What is recorded before is lost,
unless `keep_until_configured` was called.
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
# Bounds of the histograms' buckets, in seconds; the targets of the sample
# workloads, 39 ms and 0.9 s, are among them.
BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.039, 0.05, 0.075, 0.1, 0.2,
    0.3, 0.45, 0.6, 0.9, 1.2, 2.0, 5.0, 10.0, 30.0, 60.0,
)  # fmt: skip
# Recordings that are kept before the metrics are configured: a busy gateway
# makes some hundred a second.
KEPT_RECORDINGS = 4096
TIMED_PREFIXES = {
    "/v1/completions": "completions",
    "/v1/services": "services",
}

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class Kind(enum.Enum):
    """How a metric is kept."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


class Metric(enum.Enum):
    """A metric: its name, kind, labels and meaning."""

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
    LONGEST_GAP = (
        "plumvane_longest_token_gap_seconds",
        Kind.HISTOGRAM,
        ("route",),
        "Longest time between two tokens of one stream.",
    )
    BATCH_ITEMS = (
        "plumvane_batch_items_total",
        Kind.COUNTER,
        ("outcome",),
        "Batch items committed by this owner: done or failed.",
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
        """The metric's name in the read-out."""
        return str(self.value[0])

    @property
    def kind(self) -> Kind:
        """How it is kept."""
        kind: Kind = self.value[1]
        return kind

    @property
    def labels(self) -> tuple[str, ...]:
        """Names of its labels."""
        labels: tuple[str, ...] = self.value[2]
        return labels

    @property
    def description(self) -> str:
        """What it says, for the catalogue."""
        return str(self.value[3])


# Value of a gauge, or its values with their labels.
Observed = float | Iterable[tuple[float, dict[str, str]]]

_instruments_by_metric: dict[Metric, Any] = {}
_callbacks_by_metric: dict[Metric, Callable[[], Observed]] = {}
_kept: collections.deque[Callable[[], None]] | None = None
_configure_lock = threading.Lock()


def keep_until_configured() -> None:
    """Keeps recordings, up to a bound, until the metrics are configured."""
    global _kept
    _kept = collections.deque(maxlen=KEPT_RECORDINGS)
    events.add_listener(_count_event)


def configure() -> None:
    """Starts the metrics of this process; later calls do nothing.

    It may run in a thread: the import takes some tenths of a second.
    """
    global _kept
    with _configure_lock:
        if _instruments_by_metric:
            return
        made_by_metric = _make_instruments()
        if _kept is None:
            events.add_listener(_count_event)
        _instruments_by_metric.update(made_by_metric)
        kept, _kept = _kept or (), None
    for record_again in kept:
        record_again()


def _count_event(event: events.Event) -> None:
    add(Metric.EVENTS, event=event.name.lower())


def _make_instruments() -> dict[Metric, Any]:
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.sdk.metrics import MeterProvider

    reader = PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False
    )
    meter = MeterProvider([reader]).get_meter("plumvane")
    made_by_metric: dict[Metric, Any] = {}
    for metric in Metric:
        name, help_text = metric.full_name, metric.description
        if metric.kind is Kind.COUNTER:
            made: Any = meter.create_counter(name, description=help_text)
        elif metric.kind is Kind.HISTOGRAM:
            made = meter.create_histogram(
                name,
                description=help_text,
                explicit_bucket_boundaries_advisory=BUCKETS_S,
            )
        else:
            made = meter.create_observable_gauge(
                name, [_observer(metric)], description=help_text
            )
        made_by_metric[metric] = made
    return made_by_metric


def add(metric: Metric, amount: int = 1, **labels: str) -> None:
    """Adds to a counter."""
    instrument = _instruments_by_metric.get(metric)
    if instrument is not None:
        instrument.add(amount, labels)
    elif _kept is not None:
        _kept.append(lambda: add(metric, amount, **labels))


def record(metric: Metric, seconds: float, **labels: str) -> None:
    """Records a value of a histogram."""
    instrument = _instruments_by_metric.get(metric)
    if instrument is not None:
        instrument.record(seconds, labels)
    elif _kept is not None:
        _kept.append(lambda: record(metric, seconds, **labels))


def observe(metric: Metric, callback: Callable[[], Observed]) -> None:
    """Registers what a gauge shows at each read-out."""
    _callbacks_by_metric[metric] = callback


def exposition() -> bytes:
    """Returns all metrics in Prometheus's text format."""
    from prometheus_client import generate_latest

    return bytes(generate_latest())


def _observer(metric: Metric) -> Any:
    from opentelemetry.metrics import CallbackOptions, Observation

    def read(options: CallbackOptions) -> list[Observation]:
        callback = _callbacks_by_metric.get(metric)
        if callback is None:
            return []
        observed = callback()
        if isinstance(observed, (int, float)):
            return [Observation(observed)]
        return [Observation(value, labels) for value, labels in observed]

    return read


class MetricsEndpoint:
    """An ASGI application that serves GET /metrics and nothing else."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one call."""
        known = scope.get("path") == "/metrics" and scope["method"] == "GET"
        if known:
            await anyio.to_thread.run_sync(configure)
        body = exposition() if known else b""
        await send(
            {
                "type": "http.response.start",
                "status": 200 if known else 404,
                "headers": [
                    (b"content-type", CONTENT_TYPE.encode()),
                    (b"content-length", str(len(body)).encode()),
                ],
            }
        )
        await send({"type": "http.response.body", "body": body})


class TimingMiddleware:
    """An ASGI application that times the calls of online callers."""

    def __init__(self, app: App) -> None:
        """Wraps an application.

        Args:
            app: The application.
        """
        self._app = app

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one call and records its times."""
        path = scope.get("path", "")
        for prefix, route in TIMED_PREFIXES.items():
            if path.startswith(prefix):
                timer = _Timer(route, send)
                await self._app(scope, receive, timer.send)
                timer.finish()
                return
        await self._app(scope, receive, send)


class _Timer:
    """Times one answer."""

    def __init__(self, route: str, send: Send) -> None:
        self._route = route
        self._send = send
        self._start = time.perf_counter()
        self._first = 0.0
        self._last = 0.0
        self._longest = 0.0
        self._parts = 0
        self._status = 0
        self._is_stream = False

    async def send(self, message: MutableMapping[str, Any]) -> None:
        """Passes a part of the answer on."""
        if message["type"] == "http.response.start":
            self._status = message["status"]
            self._is_stream = any(
                name == b"content-type" and value.startswith(b"text/event")
                for name, value in message["headers"]
            )
        elif self._is_stream and message.get("body"):
            self._take_part()
        await self._send(message)

    def finish(self) -> None:
        """Records the times."""
        ended = time.perf_counter()
        record(
            Metric.REQUEST_DURATION,
            ended - self._start,
            route=self._route,
            status=str(self._status),
        )
        if self._parts:
            first = self._first - self._start
            record(Metric.FIRST_TOKEN, first, route=self._route)
        if self._parts > 1:
            mean = (self._last - self._first) / (self._parts - 1)
            record(Metric.BETWEEN_TOKENS, mean, route=self._route)
            record(Metric.LONGEST_GAP, self._longest, route=self._route)

    def _take_part(self) -> None:
        now = time.perf_counter()
        if not self._parts:
            self._first = now
        else:
            self._longest = max(self._longest, now - self._last)
        self._parts += 1
        self._last = now

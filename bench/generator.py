"""Open-loop load generator that runs as a separate process.

Reads a plan as JSON from standard input and writes measurements as JSON to
standard output. The seed determines all arrivals before the start, and each
latency is measured from the intended send time, so slow responses do not reduce
the offered load (no coordinated omission).
"""

from __future__ import annotations

import json
import random
import sys
import time
from typing import Any

import anyio
import httpcore
import msgspec
from hdrh.histogram import HdrHistogram

from plumvane.httppool import NETWORK_ERRORS, HttpPool

__all__ = ["Plan", "arrivals", "main"]

TIMEOUT_S = 30.0
# Range of the histograms, in microseconds.
LOWEST_US = 100
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES = (50.0, 95.0, 99.0)


class Plan(msgspec.Struct, frozen=True):
    """Load that the generator sends.

    Attributes:
        urls: Base URLs of the targets, used in turn.
        token: Bearer token.
        model: Model of the requests.
        seed: Seed of arrivals and prompts.
        start_at: Start, in seconds since the Unix epoch.
        from_s: Start of the measured window, in seconds after the start.
        until_s: End of the window and of the load.
        rate_per_s: Mean arrivals per second.
        max_tokens: Output tokens of a request.
        prompt_words: Words of a prompt that are unique to it.
        prefix_words: Words of a prompt that are shared.
        prefixes: Number of shared prefixes.
        hot_share: Fraction of the requests that always use the first prefix.
        burst_at_s: Start of the burst.
        burst_for_s: Length of the burst.
        burst_factor: Ratio of the rate in the burst to the mean rate.
        direct_streams: Closed-loop streams to each URL, instead of arrivals.
    """

    urls: list[str]
    token: str
    model: str
    seed: int
    start_at: float
    from_s: float
    until_s: float
    rate_per_s: float
    max_tokens: int
    prompt_words: int
    prefix_words: int
    prefixes: int
    hot_share: float
    burst_at_s: float
    burst_for_s: float
    burst_factor: float
    direct_streams: int = 0


def arrivals(plan: Plan) -> list[float]:
    """Returns the intended send times, in seconds after the start."""
    rng = random.Random(plan.seed)
    times: list[float] = []
    burst_end = plan.burst_at_s + plan.burst_for_s
    now = 0.0
    while now < plan.until_s:
        bursting = plan.burst_at_s <= now < burst_end
        rate = plan.rate_per_s * (plan.burst_factor if bursting else 1.0)
        gap = rng.expovariate(rate)
        if not bursting and now < plan.burst_at_s <= now + gap:
            now = plan.burst_at_s
            continue
        now += gap
        times.append(now)
    return [t for t in times if t < plan.until_s]


def make_prompt(plan: Plan, number: int) -> str:
    """Returns the prompt of a request, determined by seed and number."""
    rng = random.Random(f"{plan.seed}:{number}")
    prefix = 0
    if rng.random() >= plan.hot_share:
        prefix = rng.randrange(plan.prefixes)
    shared = [f"p{prefix}w{index}" for index in range(plan.prefix_words)]
    own = [f"n{number}w{index}" for index in range(plan.prompt_words)]
    return " ".join(shared + own)


class _Measurements:
    """Counts and latencies of a set of requests."""

    def __init__(self) -> None:
        self.first_token_latency = HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        self.token_gap = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.total_latency = HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        self.refusal_latency = HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        self.send_lag = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.counts = {
            "sent": 0,
            "ok": 0,
            "refused": 0,
            "refused_as_not_run": 0,
            "refused_with_retry_after": 0,
            "failed": 0,
        }
        self.errors: dict[str, int] = {}
        self.tokens = 0
        self.series: list[tuple[float, float]] = []

    def fail(self, cause: str) -> None:
        self.counts["failed"] += 1
        self.errors[cause] = self.errors.get(cause, 0) + 1

    def result(self) -> dict[str, Any]:
        return {
            "counts": self.counts,
            "errors": self.errors,
            "tokens": self.tokens,
            "first_token_ms": _quantiles(self.first_token_latency),
            "between_tokens_ms": _quantiles(self.token_gap),
            "whole_ms": _quantiles(self.total_latency),
            "refused_ms": _quantiles(self.refusal_latency),
            "send_lag_ms": _quantiles(self.send_lag),
            "series": self.series,
        }


def _quantiles(histogram: HdrHistogram) -> dict[str, float]:
    return {
        f"p{quantile:.0f}": histogram.get_value_at_percentile(quantile) / 1000
        for quantile in QUANTILES
    }


def _record(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))


class _Generator:
    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._pool = HttpPool()
        self.measurements = _Measurements()
        self._outside_window = _Measurements()
        self._start = 0.0

    async def run(self) -> None:
        plan = self._plan
        self._start = time.monotonic() + plan.start_at - time.time()
        await anyio.sleep(max(0.0, self._start - time.monotonic()))
        async with anyio.create_task_group() as group:
            if plan.direct_streams:
                for number in range(plan.direct_streams * len(plan.urls)):
                    group.start_soon(self._run_closed_loop, number)
                return
            for number, offset_s in enumerate(arrivals(plan)):
                wait_s = self._start + offset_s - time.monotonic()
                await anyio.sleep(max(0.0, wait_s))
                group.start_soon(self._send, number, offset_s)

    async def _run_closed_loop(self, number: int) -> None:
        iteration = 0
        while (now := time.monotonic() - self._start) < self._plan.until_s:
            await self._send(number + iteration * 100_003, now)
            iteration += 1

    async def _send(self, number: int, offset_s: float) -> None:
        measured = self._plan.from_s <= offset_s < self._plan.until_s
        measurements = self.measurements if measured else self._outside_window
        measurements.counts["sent"] += 1
        lag_s = time.monotonic() - self._start - offset_s
        _record(measurements.send_lag, lag_s)
        try:
            with anyio.fail_after(TIMEOUT_S):
                await self._stream(number, offset_s, measurements)
        except TimeoutError:
            measurements.fail("timeout")
        except NETWORK_ERRORS as error:
            measurements.fail(type(error).__name__)

    async def _stream(
        self, number: int, offset_s: float, measurements: _Measurements
    ) -> None:
        plan = self._plan
        body = {
            "model": plan.model,
            "prompt": make_prompt(plan, number),
            "max_tokens": plan.max_tokens,
            "stream": True,
        }
        if plan.direct_streams:
            body["request_id"] = f"direct-{number}"
        url = plan.urls[number % len(plan.urls)]
        intended = self._start + offset_s
        async with self._pool.stream(
            "POST",
            f"{url}/v1/completions",
            headers={
                "authorization": f"Bearer {plan.token}",
                "content-type": "application/json",
            },
            content=json.dumps(body).encode(),
        ) as response:
            if response.status != 200:
                await self._handle_refusal(response, intended, measurements)
                return
            await self._read_stream(response, offset_s, measurements)

    async def _handle_refusal(
        self,
        response: httpcore.Response,
        intended: float,
        measurements: _Measurements,
    ) -> None:
        problem = json.loads(await response.aread())
        if response.status not in (429, 503):
            measurements.fail(f"status {response.status}")
            return
        has_retry_after = any(
            k.lower() == b"retry-after" for k, _ in response.headers
        )
        self._count_refusal(problem, intended, measurements, has_retry_after)

    def _count_refusal(
        self,
        problem: dict[str, Any],
        intended: float,
        measurements: _Measurements,
        has_retry_after: bool,
    ) -> None:
        code = str(problem.get("code"))
        measurements.errors[code] = measurements.errors.get(code, 0) + 1
        measurements.counts["refused"] += 1
        measurements.counts["refused_as_not_run"] += bool(
            problem.get("not_run")
        )
        measurements.counts["refused_with_retry_after"] += has_retry_after
        _record(measurements.refusal_latency, time.monotonic() - intended)

    async def _read_stream(
        self,
        response: httpcore.Response,
        offset_s: float,
        measurements: _Measurements,
    ) -> None:
        intended = self._start + offset_s
        last_token_at = 0.0
        tokens = 0
        remainder = b""
        async for data in response.aiter_stream():
            now = time.monotonic()
            *lines, remainder = (remainder + data).split(b"\n")
            received = 0
            for line in lines:
                if not line.startswith(b"data: {"):
                    continue
                event = json.loads(line[6:])
                if "error" in event:
                    self._handle_stream_error(
                        event["error"], intended, measurements
                    )
                    return
                received += event["choices"][0]["text"].count(" ")
            if not received:
                continue
            if not tokens:
                _record(measurements.first_token_latency, now - intended)
                measurements.series.append((offset_s, now - intended))
            else:
                _record(measurements.token_gap, now - last_token_at)
            tokens += received
            last_token_at = now
        if tokens != self._plan.max_tokens:
            measurements.fail("cut short")
            return
        measurements.counts["ok"] += 1
        measurements.tokens += tokens
        _record(measurements.total_latency, time.monotonic() - intended)

    def _handle_stream_error(
        self, problem: Any, intended: float, measurements: _Measurements
    ) -> None:
        if isinstance(problem, dict) and problem.get("not_run"):
            has_retry_after = problem.get("retry_after_s") is not None
            self._count_refusal(
                problem, intended, measurements, has_retry_after
            )
            return
        code = problem.get("code") if isinstance(problem, dict) else problem
        measurements.fail(str(code))


def main() -> None:
    """Runs the plan read from standard input."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=Plan)
    generator = _Generator(plan)
    anyio.run(generator.run)
    json.dump(generator.measurements.result(), sys.stdout)


if __name__ == "__main__":
    main()

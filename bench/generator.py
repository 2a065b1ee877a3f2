"""Open-loop load generator, a process of its own.

It reads a plan as JSON from standard input and writes its measurements as
JSON to standard output. Arrivals are fixed by the seed before the start, and
each latency counts from the intended time of sending, so a slow answer never
thins the load out.
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
# Range of the histograms, microseconds.
LOWEST_US = 100
HIGHEST_US = 120_000_000
DIGITS = 3
QUANTILES = (50.0, 95.0, 99.0)


class Plan(msgspec.Struct, frozen=True):
    """What the generator sends.

    Attributes:
        urls: Base URLs of the entries, used in turn.
        token: Bearer token.
        model: Model of the requests.
        seed: Seed of arrivals and prompts.
        start_at: Start, seconds since the Unix epoch.
        from_s: Start of the measured window, seconds after the start.
        until_s: End of the window and of the load.
        rate_per_s: Mean arrivals a second.
        max_tokens: Tokens of an answer.
        prompt_words: Own words of a prompt.
        prefix_words: Shared words of a prompt.
        prefixes: How many shared prefixes there are.
        hot_share: Part of the requests that use the first prefix.
        burst_at_s: Start of the burst.
        burst_for_s: Length of the burst.
        burst_factor: Rate in the burst over the mean rate.
        direct_streams: Closed-loop streams to each URL, in place of arrivals.
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
    """Returns the intended times of sending, seconds after the start."""
    source = random.Random(plan.seed)
    times: list[float] = []
    burst_end = plan.burst_at_s + plan.burst_for_s
    now = 0.0
    while now < plan.until_s:
        bursting = plan.burst_at_s <= now < burst_end
        rate = plan.rate_per_s * (plan.burst_factor if bursting else 1.0)
        gap = source.expovariate(rate)
        if not bursting and now < plan.burst_at_s <= now + gap:
            now = plan.burst_at_s
            continue
        now += gap
        times.append(now)
    return [t for t in times if t < plan.until_s]


def make_prompt(plan: Plan, number: int) -> str:
    """Returns the prompt of a request, fixed by seed and number."""
    source = random.Random(f"{plan.seed}:{number}")
    prefix = 0
    if source.random() >= plan.hot_share:
        prefix = source.randrange(plan.prefixes)
    shared = [f"p{prefix}w{index}" for index in range(plan.prefix_words)]
    own = [f"n{number}w{index}" for index in range(plan.prompt_words)]
    return " ".join(shared + own)


class _Measures:
    """What the requests of the window met."""

    def __init__(self) -> None:
        self.first_token = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.between = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.whole = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.refused = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.send_lag = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
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
            "first_token_ms": _quantiles(self.first_token),
            "between_tokens_ms": _quantiles(self.between),
            "whole_ms": _quantiles(self.whole),
            "refused_ms": _quantiles(self.refused),
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
        self.measures = _Measures()
        self._unmeasured = _Measures()
        self._start = 0.0

    async def run(self) -> None:
        plan = self._plan
        self._start = time.monotonic() + plan.start_at - time.time()
        await anyio.sleep(max(0.0, self._start - time.monotonic()))
        async with anyio.create_task_group() as group:
            if plan.direct_streams:
                for number in range(plan.direct_streams * len(plan.urls)):
                    group.start_soon(self._repeat, number)
                return
            for number, at in enumerate(arrivals(plan)):
                wait_s = self._start + at - time.monotonic()
                await anyio.sleep(max(0.0, wait_s))
                group.start_soon(self._send, number, at)

    async def _repeat(self, number: int) -> None:
        turn = 0
        while (now := time.monotonic() - self._start) < self._plan.until_s:
            await self._send(number + turn * 100_003, now)
            turn += 1

    async def _send(self, number: int, at: float) -> None:
        measured = self._plan.from_s <= at < self._plan.until_s
        measures = self.measures if measured else self._unmeasured
        measures.counts["sent"] += 1
        lag_s = time.monotonic() - self._start - at
        _record(measures.send_lag, lag_s)
        try:
            with anyio.fail_after(TIMEOUT_S):
                await self._stream(number, at, measures)
        except TimeoutError:
            measures.fail("timeout")
        except NETWORK_ERRORS as error:
            measures.fail(type(error).__name__)

    async def _stream(
        self, number: int, at: float, measures: _Measures
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
        intended = self._start + at
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
                await self._refusal(response, intended, measures)
                return
            await self._read(response, at, measures)

    async def _refusal(
        self, response: httpcore.Response, intended: float, measures: _Measures
    ) -> None:
        problem = json.loads(await response.aread())
        if response.status not in (429, 503):
            measures.fail(f"status {response.status}")
            return
        has_time = any(k.lower() == b"retry-after" for k, _ in response.headers)
        self._count_refusal(problem, intended, measures, has_time)

    def _count_refusal(
        self,
        problem: dict[str, Any],
        intended: float,
        measures: _Measures,
        has_time: bool,
    ) -> None:
        code = str(problem.get("code"))
        measures.errors[code] = measures.errors.get(code, 0) + 1
        measures.counts["refused"] += 1
        measures.counts["refused_as_not_run"] += bool(problem.get("not_run"))
        measures.counts["refused_with_retry_after"] += has_time
        _record(measures.refused, time.monotonic() - intended)

    async def _read(
        self, response: httpcore.Response, at: float, measures: _Measures
    ) -> None:
        intended = self._start + at
        last = 0.0
        tokens = 0
        rest = b""
        async for data in response.aiter_stream():
            now = time.monotonic()
            *lines, rest = (rest + data).split(b"\n")
            given = 0
            for line in lines:
                if not line.startswith(b"data: {"):
                    continue
                piece = json.loads(line[6:])
                if "error" in piece:
                    self._stream_error(piece["error"], intended, measures)
                    return
                given += piece["choices"][0]["text"].count(" ")
            if not given:
                continue
            if not tokens:
                _record(measures.first_token, now - intended)
                measures.series.append((at, now - intended))
            else:
                _record(measures.between, now - last)
            tokens += given
            last = now
        if tokens != self._plan.max_tokens:
            measures.fail("cut short")
            return
        measures.counts["ok"] += 1
        measures.tokens += tokens
        _record(measures.whole, time.monotonic() - intended)

    def _stream_error(
        self, problem: Any, intended: float, measures: _Measures
    ) -> None:
        if isinstance(problem, dict) and problem.get("not_run"):
            has_time = problem.get("retry_after_s") is not None
            self._count_refusal(problem, intended, measures, has_time)
            return
        code = problem.get("code") if isinstance(problem, dict) else problem
        measures.fail(str(code))


def main() -> None:
    """Runs the plan on standard input."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=Plan)
    generator = _Generator(plan)
    anyio.run(generator.run)
    json.dump(generator.measures.result(), sys.stdout)


if __name__ == "__main__":
    main()

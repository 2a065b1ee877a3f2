"""Client process of `bench.path`: sends completions and prints latencies."""

from __future__ import annotations

import json
import random
import sys
import time
from typing import Any

import anyio
import httpcore
from absl import app, flags

__all__ = ["main"]

_URL = flags.DEFINE_string("url", None, "URL of the completions endpoint.")
_TOKEN = flags.DEFINE_string("token", "", "Bearer token.")
_RATE = flags.DEFINE_float(
    "rate", 0.0, "Requests per second of an open loop; 0 for a closed loop."
)
_CONCURRENCY = flags.DEFINE_integer(
    "concurrency", 16, "Concurrent requests of a closed loop."
)
_REQUESTS = flags.DEFINE_integer("requests", 1000, "Requests to send.")
_MAX_TOKENS = flags.DEFINE_integer(
    "max_tokens", 1, "Output tokens of a request."
)
_STREAM = flags.DEFINE_bool("stream", False, "Request streamed responses.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the arrivals.")


class _Client:
    """Sends requests and records their latencies."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=512, max_keepalive_connections=512
        )
        self._random = random.Random(_SEED.value)
        self.latencies_ms: list[float] = []
        self.failed = 0
        self.bytes = 0

    async def send(self, number: int, intended: float) -> None:
        """Sends one request; latency is measured from the intended time."""
        body: dict[str, Any] = {
            "model": "sorter-lm",
            "prompt": f"note {_SEED.value}-{number}",
            "max_tokens": _MAX_TOKENS.value,
            "stream": _STREAM.value,
            "request_id": f"{_SEED.value}-{number}",
        }
        headers = [("content-type", "application/json")]
        if _TOKEN.value:
            headers.append(("authorization", f"Bearer {_TOKEN.value}"))
        response = await self._pool.request(
            "POST",
            _URL.value,
            headers=headers,
            content=json.dumps(body).encode(),
        )
        self.latencies_ms.append((time.perf_counter() - intended) * 1000.0)
        self.bytes += len(response.content)
        self.failed += response.status != 200

    async def open_loop(self) -> None:
        """Sends requests as a Poisson process with the given mean rate."""
        intended = time.perf_counter()
        async with anyio.create_task_group() as group:
            for number in range(_REQUESTS.value):
                intended += self._random.expovariate(_RATE.value)
                await anyio.sleep(max(0.0, intended - time.perf_counter()))
                group.start_soon(self.send, number, intended)

    async def closed_loop(self) -> None:
        """Keeps a fixed number of requests in flight."""
        numbers = iter(range(_REQUESTS.value))

        async def worker() -> None:
            for number in numbers:
                await self.send(number, time.perf_counter())

        async with anyio.create_task_group() as group:
            for _ in range(_CONCURRENCY.value):
                group.start_soon(worker)


def main(argv: list[str]) -> None:
    """Runs the client and prints one line of JSON."""
    del argv
    client = _Client()
    started = time.perf_counter()
    anyio.run(client.open_loop if _RATE.value else client.closed_loop)
    elapsed_s = time.perf_counter() - started
    json.dump(
        {
            "latencies_ms": client.latencies_ms,
            "failed": client.failed,
            "bytes": client.bytes,
            "elapsed_s": elapsed_s,
        },
        sys.stdout,
    )


if __name__ == "__main__":
    app.run(main)

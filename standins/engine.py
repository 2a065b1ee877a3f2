"""Stand-in for a continuous-batching model engine.

One step generates one token for each running sequence. A step takes
`step_s + per_sequence_s * sequences`, plus `prefill_token_s` for each token
of newly admitted prompts that is not in the prefix cache. The cache holds
blocks of prompts and evicts the least recently used. Requests are admitted as
they arrive; there are no priorities.

The completion is a function of the prompt: word `i` is a digest of the prompt
and `i`, so a caller can tell its own completion from that of another request.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import json
from collections.abc import AsyncIterator
from typing import Any

import anyio
from absl import flags
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from plumvane import clock
from standins.program import run_app

__all__ = ["EngineApp", "EngineModel", "expected_text", "main"]

_STEP_S = flags.DEFINE_float(
    "step_s", 0.008, "Seconds that an empty step takes."
)
_PER_SEQUENCE_S = flags.DEFINE_float(
    "per_sequence_s", 0.0004, "Seconds that each sequence adds to a step."
)
_PREFILL_TOKEN_S = flags.DEFINE_float(
    "prefill_token_s", 0.00005, "Seconds to prefill one token."
)
_CACHE_BLOCKS = flags.DEFINE_integer(
    "cache_blocks", 4096, "Capacity of the prefix cache in blocks."
)
_CHECKS_FENCING = flags.DEFINE_bool(
    "checks_fencing", False, "Refuse orders with an outdated fencing number."
)
_LOAD_LAG_S = flags.DEFINE_float(
    "load_lag_s", 1.0, "Seconds by which the load report lags behind."
)
_FIRST_ORDER_DELAY_S = flags.DEFINE_float(
    "first_order_delay_s", 0.0, "Seconds by which the first order is delayed."
)

_FAILING = flags.DEFINE_bool(
    "failing", False, "Answer each request with status 500."
)

BLOCK_WORDS = 16
MAX_TOKENS = 100_000
DEFAULT_TOKENS = 16
POISON = "poison"
# Prefix of the counters of online tokens by step duration in milliseconds.
STEP_COUNTER_PREFIX = "online_tokens_by_step_ms:"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModel:
    """Timing and cache capacity of an engine.

    Attributes:
        step_s: Seconds that an empty step takes.
        per_sequence_s: Seconds that each sequence adds to a step.
        prefill_token_s: Seconds to prefill one token.
        cache_blocks: Capacity of the prefix cache in blocks.
    """

    step_s: float = 0.008
    per_sequence_s: float = 0.0004
    prefill_token_s: float = 0.00005
    cache_blocks: int = 4096


class _Sequence:
    """A running request.

    Attributes:
        prompt: The prompt.
        generated: Tokens generated so far, including resumed ones.
        limit: Tokens to generate, including resumed ones.
        prefill: Tokens that the next step must prefill.
        batch: Whether the request is marked as batch work.
        cancelled: Whether it ended before all tokens were generated.
        token_sender: Sends the index of each generated token.
        token_receiver: Receives these indexes.
    """

    def __init__(self, prompt: str, generated: int, limit: int) -> None:
        self.prompt = prompt
        self.generated = generated
        self.limit = limit
        self.prefill = 0
        self.batch = False
        self.cancelled = False
        self.token_sender, self.token_receiver = (
            anyio.create_memory_object_stream[int](float("inf"))
        )


def word(prompt: str, index: int) -> str:
    """Returns the word that the engine generates at an index."""
    digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=4)
    return f" {digest.hexdigest()}"


def expected_text(prompt: str, tokens: int) -> str:
    """Returns the complete text generated for a prompt."""
    return "".join(word(prompt, index) for index in range(tokens))


class EngineApp:
    """Serves completions with continuous batching."""

    def __init__(
        self,
        model: EngineModel,
        *,
        checks_fencing: bool = False,
        load_lag_s: float = 1.0,
        failing: bool = False,
        first_order_delay_s: float = 0.0,
    ) -> None:
        """Creates an idle engine.

        Args:
            model: Timing and cache capacity.
            checks_fencing: Whether orders with an outdated fencing number are
                refused.
            load_lag_s: Seconds by which the load report lags behind.
            failing: Whether each request is answered with status 500.
            first_order_delay_s: Seconds by which the first order is delayed.
        """
        self._failing = failing
        self._next_order_delay_s = first_order_delay_s
        self._model = model
        self._checks_fencing = checks_fencing
        self._load_lag_s = load_lag_s
        self._sequences_by_id: dict[str, _Sequence] = {}
        self._request_arrived = anyio.Event()
        self._cache: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._executions_by_id: collections.Counter[str] = collections.Counter()
        self._counts: collections.Counter[str] = collections.Counter()
        self._max_online = 0
        self._generated_by_cancelled_prompt: dict[str, int] = {}
        self._orders: list[dict[str, Any]] = []
        self._highest_fence = 0
        self._loads: collections.deque[tuple[float, int]] = collections.deque()

    def application(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/completions", self.complete, methods=["POST"]),
                Route("/v1/cancel/{id}", self.cancel, methods=["POST"]),
                Route("/v1/orders", self.order, methods=["POST"]),
                Route("/load", self.load, methods=["GET"]),
                Route("/record", self.record, methods=["GET"]),
                Route("/counts", self.counts, methods=["GET"]),
            ]
        )

    async def run(self) -> None:
        """Steps the running batch; never returns."""
        while True:
            if not self._sequences_by_id:
                self._request_arrived = anyio.Event()
                await self._request_arrived.wait()
            await self._step()

    async def complete(self, http: Request) -> Response:
        """Streams a completion as server-sent events."""
        body = await http.json()
        prompt = body.get("prompt", "")
        if self._failing:
            self._counts["requests"] += 1
            return JSONResponse({"error": "failing"}, status_code=500)
        if POISON in prompt:
            self._counts["poisoned"] += 1
            return JSONResponse({"error": "poison"}, status_code=500)
        limit = int(body.get("max_tokens", DEFAULT_TOKENS))
        if not 1 <= limit <= MAX_TOKENS:
            return JSONResponse({"error": "max_tokens"}, status_code=400)
        request_id = body["request_id"]
        sequence = _Sequence(prompt, int(body.get("resume_tokens", 0)), limit)
        sequence.batch = body.get("metadata", {}).get("kind") == "batch"
        cancelled = self._generated_by_cancelled_prompt.pop(
            prompt, sequence.generated
        )
        self._counts["wasted"] += max(0, cancelled - sequence.generated)
        sequence.prefill = self._prefill(prompt) + sequence.generated
        self._executions_by_id[request_id] += 1
        self._counts["requests"] += 1
        self._sequences_by_id[request_id] = sequence
        online = sum(not s.batch for s in self._sequences_by_id.values())
        self._max_online = max(self._max_online, online)
        self._request_arrived.set()
        return StreamingResponse(
            self._events(request_id, sequence), media_type="text/event-stream"
        )

    async def cancel(self, http: Request) -> Response:
        """Cancels a request."""
        self._remove(http.path_params["id"])
        self._counts["cancels"] += 1
        return Response()

    async def order(self, http: Request) -> Response:
        """Records an order; may refuse one with an outdated fencing number."""
        order = await http.json()
        delay_s, self._next_order_delay_s = self._next_order_delay_s, 0.0
        await anyio.sleep(delay_s)
        fence = int(order["fence"])
        if self._checks_fencing and fence < self._highest_fence:
            return JSONResponse({"error": "fenced"}, status_code=409)
        self._highest_fence = max(self._highest_fence, fence)
        self._orders.append({**order, "time": clock.wall()})
        return JSONResponse({})

    async def load(self, http: Request) -> Response:
        """Returns the number of running sequences `load_lag_s` ago."""
        cutoff = clock.monotonic() - self._load_lag_s
        sequences = 0
        while self._loads and self._loads[0][0] <= cutoff:
            sequences = self._loads.popleft()[1]
        return JSONResponse({"sequences": sequences})

    async def record(self, http: Request) -> Response:
        """Returns what the engine has executed, for tests."""
        return JSONResponse(
            {
                "executions": dict(self._executions_by_id),
                "running": list(self._sequences_by_id),
                "orders": self._orders,
                "counts": dict(self._counts),
                "most_online": self._max_online,
            }
        )

    async def counts(self, http: Request) -> Response:
        """Returns the counters only.

        `batch_tokens` are tokens of requests marked `batch`; `wasted` are
        tokens of cancelled streams that their resumption did not carry over.
        Online tokens are also counted by the modelled duration of their step,
        which other load on the host does not affect.
        """
        return JSONResponse(dict(self._counts))

    async def _events(
        self, request_id: str, sequence: _Sequence
    ) -> AsyncIterator[bytes]:
        try:
            async for index in sequence.token_receiver:
                last = index + 1 >= sequence.limit
                event = {
                    "choices": [
                        {
                            "text": word(sequence.prompt, index),
                            "finish_reason": "length" if last else None,
                        }
                    ],
                    "tokens": 1,
                }
                yield b"data: " + json.dumps(event).encode() + b"\n\n"
                if last:
                    break
            if not sequence.cancelled:
                yield b"data: [DONE]\n\n"
        finally:
            self._remove(request_id)

    async def _step(self) -> None:
        batch = list(self._sequences_by_id.values())
        model = self._model
        prefill = 0
        for sequence in batch:
            prefill += sequence.prefill
            sequence.prefill = 0
        step_s = (
            model.step_s
            + model.per_sequence_s * len(batch)
            + model.prefill_token_s * prefill
        )
        await anyio.sleep(step_s)
        step_key = f"{STEP_COUNTER_PREFIX}{step_s * 1000:.1f}"
        self._counts["steps"] += 1
        self._counts["prefilled"] += prefill
        for sequence in batch:
            if sequence.cancelled or sequence.generated >= sequence.limit:
                continue
            sequence.token_sender.send_nowait(sequence.generated)
            sequence.generated += 1
            self._counts["tokens"] += 1
            self._counts["batch_tokens"] += sequence.batch
            self._counts[step_key] += not sequence.batch
        for request_id, sequence in list(self._sequences_by_id.items()):
            if sequence.generated >= sequence.limit:
                del self._sequences_by_id[request_id]
                self._counts["finished_batch"] += sequence.batch
        self._loads.append((clock.monotonic(), len(batch)))
        if len(self._loads) > 10_000:
            self._loads.popleft()

    def _prefill(self, prompt: str) -> int:
        """Caches a prompt; returns how many of its tokens were not cached."""
        words = prompt.split()
        missing = 0
        digest = hashlib.blake2b(digest_size=16)
        for start in range(0, len(words), BLOCK_WORDS):
            block = words[start : start + BLOCK_WORDS]
            digest.update(" ".join(block).encode())
            key = digest.digest()
            if key in self._cache:
                self._cache.move_to_end(key)
                self._counts["cached"] += len(block)
                continue
            missing += len(block)
            self._cache[key] = None
            if len(self._cache) > self._model.cache_blocks:
                self._cache.popitem(last=False)
        return missing

    def _remove(self, request_id: str) -> None:
        sequence = self._sequences_by_id.pop(request_id, None)
        if sequence is not None:
            sequence.cancelled = sequence.generated < sequence.limit
            if sequence.cancelled:
                self._generated_by_cancelled_prompt[sequence.prompt] = (
                    sequence.generated
                )
            sequence.token_sender.close()


def _make_app() -> EngineApp:
    return EngineApp(
        EngineModel(
            _STEP_S.value,
            _PER_SEQUENCE_S.value,
            _PREFILL_TOKEN_S.value,
            _CACHE_BLOCKS.value,
        ),
        checks_fencing=_CHECKS_FENCING.value,
        load_lag_s=_LOAD_LAG_S.value,
        failing=_FAILING.value,
        first_order_delay_s=_FIRST_ORDER_DELAY_S.value,
    )


def main() -> None:
    """Runs the stand-in."""
    run_app(_make_app)


if __name__ == "__main__":
    main()

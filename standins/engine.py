"""Stand-in of a continuous-batching model engine.

One step gives each running sequence one token. A step takes
`step_s + per_sequence_s * sequences` and the prefill of newly admitted
prompts, `prefill_token_s` for each token that the prefix cache lacks. The
cache holds blocks of the prompt, least recently used first out. Requests are
admitted as they arrive; there are no priorities.

The answer is a function of the prompt: word `i` is a digest of prompt and
`i`, so a caller can tell its own answer from another's.
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

_STEP_S = flags.DEFINE_float("step_s", 0.008, "Seconds of an empty step.")
_PER_SEQUENCE_S = flags.DEFINE_float(
    "per_sequence_s", 0.0004, "Seconds that each sequence adds to a step."
)
_PREFILL_TOKEN_S = flags.DEFINE_float(
    "prefill_token_s", 0.00005, "Seconds to prefill one token."
)
_CACHE_BLOCKS = flags.DEFINE_integer(
    "cache_blocks", 4096, "Blocks that the prefix cache holds."
)
_CHECKS_FENCING = flags.DEFINE_bool(
    "checks_fencing", False, "Refuse orders with an old fencing number."
)
_LOAD_LAG_S = flags.DEFINE_float(
    "load_lag_s", 1.0, "Seconds that the load report lags."
)
_FIRST_ORDER_DELAY_S = flags.DEFINE_float(
    "first_order_delay_s", 0.0, "Seconds by which the first order is late."
)

_FAILING = flags.DEFINE_bool("failing", False, "Answer 500 to each request.")

BLOCK_WORDS = 16
MAX_TOKENS = 100_000
DEFAULT_TOKENS = 16
POISON = "poison"
# Counters of online tokens by the length of their step in milliseconds.
STEP_COUNTER_PREFIX = "online_tokens_by_step_ms:"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModel:
    """Timing and size of an engine.

    Attributes:
        step_s: Seconds of an empty step.
        per_sequence_s: Seconds that each sequence adds to a step.
        prefill_token_s: Seconds to prefill one token.
        cache_blocks: Blocks that the prefix cache holds.
    """

    step_s: float = 0.008
    per_sequence_s: float = 0.0004
    prefill_token_s: float = 0.00005
    cache_blocks: int = 4096


class _Sequence:
    """A running request.

    Attributes:
        prompt: Its prompt.
        given: Tokens given so far, resumed ones included.
        limit: Tokens to give.
        prefill: Prompt tokens that are not in the cache.
        batch: Whether the request is marked as batch work.
        steps: Sends its tokens.
    """

    def __init__(self, prompt: str, given: int, limit: int) -> None:
        self.prompt = prompt
        self.given = given
        self.limit = limit
        self.prefill = 0
        self.batch = False
        self.cancelled = False
        self.steps, self.tokens = anyio.create_memory_object_stream[int](
            float("inf")
        )


def word(prompt: str, index: int) -> str:
    """Returns the word that the engine gives at an index."""
    digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=4)
    return f" {digest.hexdigest()}"


def expected_text(prompt: str, tokens: int) -> str:
    """Returns the whole answer to a prompt."""
    return "".join(word(prompt, index) for index in range(tokens))


class EngineApp:
    """Serves completions by continuous batching."""

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
            model: Timing and size.
            checks_fencing: Whether orders with an old number are refused.
            load_lag_s: Seconds that the load report lags.
            failing: Whether each request is answered by an error.
            first_order_delay_s: Seconds by which the first order is late.
        """
        self._failing = failing
        self._order_delay_s = first_order_delay_s
        self._model = model
        self._checks_fencing = checks_fencing
        self._load_lag_s = load_lag_s
        self._sequences_by_id: dict[str, _Sequence] = {}
        self._arrived = anyio.Event()
        self._cache: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._executions_by_id: collections.Counter[str] = collections.Counter()
        self._counts: collections.Counter[str] = collections.Counter()
        self._most_online = 0
        self._given_by_cancelled: dict[str, int] = {}
        self._orders: list[dict[str, Any]] = []
        self._fence = 0
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
        """Steps the running batch; runs always."""
        while True:
            if not self._sequences_by_id:
                self._arrived = anyio.Event()
                await self._arrived.wait()
            await self._step()

    async def complete(self, http: Request) -> Response:
        """Serves a completion as server-sent events."""
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
        cancelled = self._given_by_cancelled.pop(prompt, sequence.given)
        self._counts["wasted"] += max(0, cancelled - sequence.given)
        sequence.prefill = self._prefill(prompt) + sequence.given
        self._executions_by_id[request_id] += 1
        self._counts["requests"] += 1
        self._sequences_by_id[request_id] = sequence
        online = sum(not s.batch for s in self._sequences_by_id.values())
        self._most_online = max(self._most_online, online)
        self._arrived.set()
        return StreamingResponse(
            self._events(request_id, sequence), media_type="text/event-stream"
        )

    async def cancel(self, http: Request) -> Response:
        """Stops a stream."""
        self._end(http.path_params["id"])
        self._counts["cancels"] += 1
        return Response()

    async def order(self, http: Request) -> Response:
        """Takes an order; records it, and refuses an old number if told."""
        order = await http.json()
        delay_s, self._order_delay_s = self._order_delay_s, 0.0
        await anyio.sleep(delay_s)
        fence = int(order["fence"])
        if self._checks_fencing and fence < self._fence:
            return JSONResponse({"error": "fenced"}, status_code=409)
        self._fence = max(self._fence, fence)
        self._orders.append({**order, "time": clock.wall()})
        return JSONResponse({})

    async def load(self, http: Request) -> Response:
        """Serves the number of sequences as it was a while ago."""
        cut = clock.monotonic() - self._load_lag_s
        shown = 0
        while self._loads and self._loads[0][0] <= cut:
            shown = self._loads.popleft()[1]
        return JSONResponse({"sequences": shown})

    async def record(self, http: Request) -> Response:
        """Serves what the engine did, for tests."""
        return JSONResponse(
            {
                "executions": dict(self._executions_by_id),
                "running": list(self._sequences_by_id),
                "orders": self._orders,
                "counts": dict(self._counts),
                "most_online": self._most_online,
            }
        )

    async def counts(self, http: Request) -> Response:
        """Serves the counters alone.

        `batch_tokens` are tokens of requests marked `batch`; `wasted` are
        tokens of a cancelled stream that its resumption did not bring back.
        Online tokens are also counted by the modelled length of their step,
        which other work on the machine does not change.
        """
        return JSONResponse(dict(self._counts))

    async def _events(
        self, request_id: str, sequence: _Sequence
    ) -> AsyncIterator[bytes]:
        try:
            async for index in sequence.tokens:
                last = index + 1 >= sequence.limit
                piece = {
                    "choices": [
                        {
                            "text": word(sequence.prompt, index),
                            "finish_reason": "length" if last else None,
                        }
                    ],
                    "tokens": 1,
                }
                yield b"data: " + json.dumps(piece).encode() + b"\n\n"
                if last:
                    break
            if not sequence.cancelled:
                yield b"data: [DONE]\n\n"
        finally:
            self._end(request_id)

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
            if sequence.cancelled or sequence.given >= sequence.limit:
                continue
            sequence.steps.send_nowait(sequence.given)
            sequence.given += 1
            self._counts["tokens"] += 1
            self._counts["batch_tokens"] += sequence.batch
            self._counts[step_key] += not sequence.batch
        for request_id, sequence in list(self._sequences_by_id.items()):
            if sequence.given >= sequence.limit:
                del self._sequences_by_id[request_id]
                self._counts["finished_batch"] += sequence.batch
        self._loads.append((clock.monotonic(), len(batch)))
        if len(self._loads) > 10_000:
            self._loads.popleft()

    def _prefill(self, prompt: str) -> int:
        """Returns how many prompt tokens the cache lacks, and adds them."""
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

    def _end(self, request_id: str) -> None:
        sequence = self._sequences_by_id.pop(request_id, None)
        if sequence is not None:
            sequence.cancelled = sequence.given < sequence.limit
            if sequence.cancelled:
                self._given_by_cancelled[sequence.prompt] = sequence.given
            sequence.steps.close()


def _make() -> EngineApp:
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
    run_app(_make)


if __name__ == "__main__":
    main()

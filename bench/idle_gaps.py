"""How much of the pauses of online load batch work fills, on real processes.

A long batch job runs at one engine. Online requests come in bursts with pauses
of two seconds between them. The batch tokens that the engine gives in a pause
are held against those that it gives without any online load in the same run:
before the first burst, and a while after the last, where the admission may
still reckon with online load. The first is the measure of the target. A pause
starts when the last online request of its burst has ended. Run with
`python -m bench.idle_gaps`; the figures are printed as one JSON line.
"""

from __future__ import annotations

import concurrent.futures
import json
import statistics
import time
from typing import Any

from absl import app, flags

from standins.launcher import Fleet
from tests.batches import engine_record, item_lines
from tests.fleets import Caller, running_fleet

__all__ = ["main"]

_PAUSES = flags.DEFINE_integer("pauses", 10, "Pauses.")
_PAUSE_S = flags.DEFINE_float("pause_s", 2.0, "Seconds of a pause.")
_ONLINE = flags.DEFINE_integer("online", 16, "Online requests of a burst.")

ITEMS = 40_000
ITEM_TOKENS = 32
ONLINE_TOKENS = 64
# Until the limit of admission has adapted.
SETTLE_S = 15.0
ALONE_S = 10.0


def _batch_tokens(fleet: Fleet) -> tuple[float, int]:
    """Returns a monotonic time and the batch tokens given until then."""
    tokens = engine_record(fleet)["counts"].get("batch_tokens", 0)
    return time.monotonic(), tokens


def _rate(fleet: Fleet, seconds: float) -> float:
    """Returns the batch tokens a second over some time from now on."""
    started, before = _batch_tokens(fleet)
    time.sleep(seconds)
    ended, after = _batch_tokens(fleet)
    return (after - before) / (ended - started)


def _burst(fleet: Fleet, caller: Caller, burst: int) -> None:
    """Sends a burst of online requests and waits for their ends."""

    def send(number: int) -> None:
        caller.complete(
            fleet["entry-0"],
            f"burst {burst} request {number}",
            max_tokens=ONLINE_TOKENS,
        )

    with concurrent.futures.ThreadPoolExecutor(_ONLINE.value) as pool:
        list(pool.map(send, range(_ONLINE.value)))


def _measure() -> dict[str, Any]:
    with running_fleet(bulks=2) as fleet:
        caller = Caller(fleet)
        lines = item_lines(
            [f"item {number}" for number in range(ITEMS)],
            max_tokens=ITEM_TOKENS,
        )
        caller.submit(fleet["entry-0"], lines, key="gaps")
        time.sleep(SETTLE_S)
        before = _rate(fleet, ALONE_S)
        pauses = []
        for burst in range(_PAUSES.value):
            _burst(fleet, caller, burst)
            pauses.append(_rate(fleet, _PAUSE_S.value))
        time.sleep(SETTLE_S)
        after = _rate(fleet, ALONE_S)
    return {
        "pause_s": _PAUSE_S.value,
        "alone_tokens_per_s": [round(before), round(after)],
        "pause_tokens_per_s": [round(rate) for rate in pauses],
        "filled_of_before": round(statistics.mean(pauses) / before, 3),
        "filled_of_after": round(statistics.mean(pauses) / after, 3),
    }


def main(argv: list[str]) -> None:
    """Measures once."""
    del argv
    print(json.dumps(_measure()), flush=True)


if __name__ == "__main__":
    app.run(main)

"""Batch throughput in the pauses of online load, on real processes.

A long batch job runs on one engine, and online requests arrive in bursts with
pauses of two seconds between them. The batch token rate in the pauses is
compared with the rate without online load in the same run: before the first
burst, and some time after the last, when admission may still allow for online
load. The target refers to the rate before the first burst. A pause starts when
the last online request of its burst has ended. Run with
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
_PAUSE_S = flags.DEFINE_float("pause_s", 2.0, "Length of a pause, in seconds.")
_ONLINE = flags.DEFINE_integer("online", 16, "Online requests per burst.")

ITEMS = 40_000
ITEM_TOKENS = 32
ONLINE_TOKENS = 64
# Time for the admission limit to adapt.
SETTLE_S = 15.0
BASELINE_S = 10.0


def _batch_tokens(fleet: Fleet) -> tuple[float, int]:
    """Returns the monotonic time and the batch tokens generated so far."""
    tokens = engine_record(fleet)["counts"].get("batch_tokens", 0)
    return time.monotonic(), tokens


def _batch_token_rate(fleet: Fleet, seconds: float) -> float:
    """Measures the batch tokens per second over the given time."""
    started, before = _batch_tokens(fleet)
    time.sleep(seconds)
    ended, after = _batch_tokens(fleet)
    return (after - before) / (ended - started)


def _send_burst(fleet: Fleet, caller: Caller, burst: int) -> None:
    """Sends a burst of online requests and waits until all have ended."""

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
        before = _batch_token_rate(fleet, BASELINE_S)
        pause_rates = []
        for burst in range(_PAUSES.value):
            _send_burst(fleet, caller, burst)
            pause_rates.append(_batch_token_rate(fleet, _PAUSE_S.value))
        time.sleep(SETTLE_S)
        after = _batch_token_rate(fleet, BASELINE_S)
    return {
        "pause_s": _PAUSE_S.value,
        "alone_tokens_per_s": [round(before), round(after)],
        "pause_tokens_per_s": [round(rate) for rate in pause_rates],
        "filled_of_before": round(statistics.mean(pause_rates) / before, 3),
        "filled_of_after": round(statistics.mean(pause_rates) / after, 3),
    }


def main(argv: list[str]) -> None:
    """Runs the measurement once."""
    del argv
    print(json.dumps(_measure()), flush=True)


if __name__ == "__main__":
    app.run(main)

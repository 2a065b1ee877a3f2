"""Tables and plots of scenario results."""

from __future__ import annotations

import collections
import pathlib
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from standins.engine import STEP_COUNTER_PREFIX  # noqa: E402

__all__ = ["print_table", "save_plot", "summary"]

COLUMNS = (
    "sent",
    "ok",
    "refused",
    "failed",
    "ttft p50",
    "ttft p99",
    "gap p50",
    "gap p99",
    "step p99",
    "online tok/s",
    "batch tok/s",
    "wasted %",
    "cached %",
    "max/mean",
    "tries/sent",
    "send lag p99",
)


def summary(result: dict[str, Any]) -> dict[str, float]:
    """Returns the figures of a variant, with latencies in milliseconds."""
    engines = result["engines"]
    seconds = result["duration_s"]
    requests = [e.get("requests", 0) for e in engines]
    generated = sum(e.get("tokens", 0) for e in engines)
    batch_tokens = sum(e.get("batch_tokens", 0) for e in engines)
    wasted = sum(e.get("wasted", 0) for e in engines)
    cached = sum(e.get("cached", 0) for e in engines)
    prefilled = sum(e.get("prefilled", 0) for e in engines)
    counts = result["counts"]
    return {
        "sent": counts["sent"],
        "ok": counts["ok"],
        "refused": counts["refused"],
        "failed": counts["failed"],
        "ttft p50": result["first_token_ms"]["p50"],
        "ttft p99": result["first_token_ms"]["p99"],
        "gap p50": result["between_tokens_ms"]["p50"],
        "gap p99": result["between_tokens_ms"]["p99"],
        "step p99": _step_quantile(engines, 0.99),
        "online tok/s": (generated - batch_tokens) / seconds,
        "batch tok/s": batch_tokens / seconds,
        "wasted %": 100 * wasted / max(1, generated),
        "cached %": 100 * cached / max(1, cached + prefilled),
        "send lag p99": result["send_lag_ms"]["p99"],
        "tries/sent": sum(requests) / max(1, counts["sent"]),
        "max/mean": max(requests) * len(requests) / max(1, sum(requests)),
    }


def _step_quantile(engines: list[dict[str, int]], quantile: float) -> float:
    """Returns a quantile of simulated step times, weighted by online tokens."""
    tokens_by_ms: collections.Counter[float] = collections.Counter()
    for counts in engines:
        for key, tokens in counts.items():
            if key.startswith(STEP_COUNTER_PREFIX):
                tokens_by_ms[float(key.removeprefix(STEP_COUNTER_PREFIX))] += (
                    tokens
                )
    remaining = quantile * tokens_by_ms.total()
    for step_ms in sorted(tokens_by_ms):
        remaining -= tokens_by_ms[step_ms]
        if remaining <= 0:
            return step_ms
    return 0.0


def print_table(results: dict[str, Any]) -> None:
    """Prints one line per variant."""
    print(
        f"{results['scenario']}, seed {results['seed']}, "
        f"commit {results['commit']}; times in ms"
    )
    print(f"{'':<24}" + "".join(f"{name:>13}" for name in COLUMNS))
    for name, result in results["variants"].items():
        figures = summary(result)
        cells = "".join(f"{figures[column]:>13.4g}" for column in COLUMNS)
        print(f"{name:<24}{cells}")
    for name, result in results["variants"].items():
        for at_s, restarted, others in result.get("restarted", ()):
            print(
                f"{name}: second {at_s:.0f}: {restarted:.0f} requests at a "
                f"restarted engine, {others:.1f} at each other one"
            )


def save_plot(results: dict[str, Any], path: pathlib.Path) -> None:
    """Plots the time to first token over the intended send time."""
    figure, axes = pyplot.subplots(figsize=(10, 5))
    for name, result in results["variants"].items():
        if result["series"]:
            times, latencies = zip(*sorted(result["series"]), strict=True)
            axes.plot(times, latencies, ".", markersize=3, label=name)
    axes.set_yscale("log")
    axes.set_xlabel("intended send time, s after the start")
    axes.set_ylabel("time to first token, s")
    axes.set_title(f"{results['scenario']} at {results['commit']}")
    axes.legend()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)

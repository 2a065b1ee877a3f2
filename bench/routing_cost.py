"""CPU time of an entry to route one request, by the number of upstreams.

For each value of `--upstreams`, the instance directory holds that many sidecars
of `--models` models and a fifth as many entries; `--requests` requests, each
with a different prefix, are routed by `--policy`.
"""

from __future__ import annotations

import json
import time

from absl import app, flags

from plumvane.instances.directory import Directory
from plumvane.routing.loads import UpstreamLoads
from plumvane.routing.policies import RouteRequest, route

__all__ = ["main"]

_UPSTREAMS = flags.DEFINE_list(
    "upstreams", ["8", "32", "128", "512", "1800"], "Numbers of upstreams."
)
_MODELS = flags.DEFINE_integer(
    "models", 6, "Number of models that the upstreams serve."
)
_REQUESTS = flags.DEFINE_integer("requests", 500, "Requests to route.")
_POLICY = flags.DEFINE_string("policy", "prefix_affinity", "Routing policy.")

MICROSECONDS = 1e6


def _listing_entry(
    name: str, role: str, number: int, serves: str
) -> dict[str, str]:
    return {
        "name": f"{name}-{number}",
        "role": role,
        "address": f"127.0.{number // 250}.{number % 250}:1",
        "data_centre": "a",
        "serves": serves,
        "state": "live",
    }


def measure(upstreams: int) -> dict[str, float]:
    """Measures one number of upstreams; returns CPU time per request in us."""
    models = min(_MODELS.value, upstreams)
    listing = [
        _listing_entry("sidecar", "sidecar", n, f"model-{n % models}")
        for n in range(upstreams)
    ]
    listing += [
        _listing_entry("entry", "entry", n, "") for n in range(upstreams // 5)
    ]
    directory = Directory("http://127.0.0.1:1")
    directory.apply_listing(listing)
    loads = UpstreamLoads()
    started = time.process_time()
    for number in range(_REQUESTS.value):
        candidates = directory.live("sidecar", f"model-{number % models}")
        request = RouteRequest(f"prefix {number}")
        chosen = route(_POLICY.value, candidates, request, loads)[0]
        with loads.track_dispatch(chosen):
            pass
    cpu_s = time.process_time() - started
    return {
        "upstreams": upstreams,
        "of_the_model": upstreams // models,
        "us_a_request": cpu_s / _REQUESTS.value * MICROSECONDS,
    }


def main(argv: list[str]) -> None:
    """Runs the benchmark."""
    del argv
    for upstreams in map(int, _UPSTREAMS.value):
        print(json.dumps(measure(upstreams)), flush=True)


if __name__ == "__main__":
    app.run(main)

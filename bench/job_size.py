"""Memory of the entries that accept and own a batch job, by number of items.

Each size runs on a new fleet of two entries and two bulk instances without
engines: one entry accepts the job over HTTP, the other owns it. Run with
`python -m bench.job_size`; figures are printed as JSON lines.
"""

from __future__ import annotations

import json
import pathlib
import tempfile
import time
from collections.abc import Iterator
from typing import Any

import httpcore
from absl import app, flags

from bench import usage
from plumvane.entry.batches import job_id_of, partition_of_job
from standins.launcher import MODEL, TEAM, TEAM_TOKEN, Fleet

__all__ = ["main"]

_ITEMS = flags.DEFINE_multi_integer(
    "items", [10_000, 100_000, 930_000], "Numbers of items of the jobs."
)

LINES_PER_BLOCK = 500
TIMEOUT_S = 600.0
BYTES_PER_MB = 1024 * 1024


def _job_lines(items: int) -> Iterator[bytes]:
    for first in range(0, items, LINES_PER_BLOCK):
        yield b"".join(
            json.dumps(
                {
                    "custom_id": f"item-{number}",
                    "body": {
                        "model": MODEL,
                        "prompt": f"Teardown plan for mattress {number}.",
                        "max_tokens": 8,
                    },
                }
            ).encode()
            + b"\n"
            for number in range(first, min(items, first + LINES_PER_BLOCK))
        )


def _submit(url: str, key: str, items: int) -> Any:
    headers = [
        ("authorization", f"Bearer {TEAM_TOKEN}"),
        ("idempotency-key", key),
        ("transfer-encoding", "chunked"),
    ]
    with httpcore.ConnectionPool() as pool:
        response = pool.request(
            "POST",
            f"{url}/v1/batches",
            headers=headers,
            content=_job_lines(items),
            extensions={"timeout": {"read": TIMEOUT_S, "write": TIMEOUT_S}},
        )
    return json.loads(response.content)


def _find_key_owned_by(fleet: Fleet, entry: str) -> str:
    """Returns an idempotency key whose job the entry owns."""
    number = 0
    while True:
        key = f"job-{number}"
        partition = partition_of_job(job_id_of(TEAM, key))
        path = f"owners/partition/{partition:04}"
        _, value = fleet.call("GET", f"{fleet['store'].url}/keys/{path}")
        if json.loads(value)["name"] == entry:
            return key
        number += 1


def _measure(items: int) -> dict[str, Any]:
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(pathlib.Path(folder)) as fleet,
    ):
        fleet.start_platform()
        entries = [fleet.start_entry(f"entry-{n}") for n in range(2)]
        for number in range(2):
            fleet.start_bulk(f"bulk-{number}")
        document = fleet.default_document()
        fleet.wait_ready(fleet.apply_document(entries[0], document, 0))
        key = _find_key_owned_by(fleet, "entry-1")
        pids = [p.popen.pid for p in entries if p.popen is not None]
        before = [usage.resident_mb(pid) for pid in pids]
        started = time.monotonic()
        state = _submit(entries[0].url, key, items)
        elapsed_s = time.monotonic() - started
        peaks = [usage.peak_mb(pid) for pid in pids]
        if state.get("items") != items:
            raise RuntimeError(f"The job was not accepted: {state}")
    return {
        "items": items,
        "accepted_s": round(elapsed_s, 2),
        "entry_added_mb": round(peaks[0] - before[0], 1),
        "owner_added_mb": round(peaks[1] - before[1], 1),
    }


def main(argv: list[str]) -> None:
    """Measures each size and the growth from the first to the last."""
    del argv
    figures = []
    for items in _ITEMS.value:
        figures.append(_measure(items))
        print(json.dumps(figures[-1]), flush=True)
    first, last = figures[0], figures[-1]
    added_items = last["items"] - first["items"]
    if added_items > 0:
        slopes = {
            name: round(
                (last[name] - first[name]) * BYTES_PER_MB / added_items, 1
            )
            for name in ("entry_added_mb", "owner_added_mb")
        }
        print(json.dumps({"bytes_per_item": slopes}))


if __name__ == "__main__":
    app.run(main)

"""Preemption: online requests never wait for batch items, which resume."""

from __future__ import annotations

import concurrent.futures
import json
from typing import Any

from plumvane.upstreams.admission import INITIAL_LIMIT
from standins.engine import expected_text
from standins.launcher import MODEL, Fleet
from tests.fleets import OPERATOR, Caller, running_fleet, wait_for

# An item takes minutes, so none completes during the burst of online requests.
ITEM_TOKENS = 20_000
ITEMS = 200
BURST = 24
ONLINE_TOKENS = 200


def _job_input() -> bytes:
    return b"".join(
        json.dumps(
            {
                "custom_id": f"item-{number}",
                "method": "POST",
                "url": "/v1/completions",
                "body": {
                    "model": MODEL,
                    "prompt": f"Teardown plan {number}.",
                    "max_tokens": ITEM_TOKENS,
                },
            }
        ).encode()
        + b"\n"
        for number in range(ITEMS)
    )


def _engine_record(fleet: Fleet) -> Any:
    _, body = fleet.call("GET", f"{fleet['engine-0'].url}/record")
    return json.loads(body)


def _batch_running(fleet: Fleet) -> int:
    return sum(":" in name for name in _engine_record(fleet)["running"])


def _is_full(fleet: Fleet) -> bool:
    """Returns whether batch items occupy every slot of the engine."""
    _, body = fleet.call(
        "GET", f"{fleet['entry-0'].url}/v1/fleet/instances", None, OPERATOR
    )
    loads = [i["load"] for i in json.loads(body)["instances"] if i["load"]]
    running = _batch_running(fleet)
    return (
        bool(loads) and running > INITIAL_LIMIT and running >= loads[0]["limit"]
    )


def test_online_burst_waits_for_no_batch_item() -> None:
    document = Fleet.default_document()
    document["models"][MODEL]["max_tokens"] = ITEM_TOKENS
    with running_fleet(bulks=2, document=document) as fleet:
        caller = Caller(fleet)
        entry = fleet["entry-0"]
        status, job = caller.submit(entry, _job_input(), key="long")
        assert status == 202
        wait_for(lambda: _is_full(fleet), "the engine is full of batch items")
        with concurrent.futures.ThreadPoolExecutor(BURST) as pool:
            answers = list(
                pool.map(
                    lambda n: caller.complete(
                        entry, f"note {n}", max_tokens=ONLINE_TOKENS
                    ),
                    range(BURST),
                )
            )
        record = _engine_record(fleet)
        job = caller.job(entry, job["id"])
    for number, (status, answer) in enumerate(answers):
        assert status == 200, answer
        text = answer["choices"][0]["text"]
        assert text == expected_text(f"note {number}", ONLINE_TOKENS)
    # All online requests ran concurrently and completed before any item.
    assert record["most_online"] == BURST
    assert (job["done"], job["failed"]) == (0, [])
    assert record["counts"].get("finished_batch", 0) == 0
    assert record["counts"].get("cancels", 0) > 0


def test_preempted_items_resume_from_their_tokens() -> None:
    with running_fleet(bulks=2) as fleet:
        caller = Caller(fleet)
        entry = fleet["entry-0"]
        lines = _job_input().replace(str(ITEM_TOKENS).encode(), b"60")
        status, job = caller.submit(entry, lines, key="short")
        assert status == 202
        wait_for(lambda: _batch_running(fleet) >= 10, "batch items run")
        with concurrent.futures.ThreadPoolExecutor(BURST) as pool:
            statuses = set(
                pool.map(
                    lambda n: caller.complete(entry, f"note {n}")[0],
                    range(BURST),
                )
            )
        wait_for(
            lambda: caller.job(entry, job["id"])["state"] == "completed",
            "the job is completed",
        )
        results = caller.job_results(entry, job["id"])
        counts = _engine_record(fleet)["counts"]
    assert statuses == {200}
    assert len(results) == ITEMS
    for result in results:
        number = int(result["custom_id"].removeprefix("item-"))
        text = result["response"]["body"]["choices"][0]["text"]
        assert text == expected_text(f"Teardown plan {number}.", 60)
    assert counts.get("cancels", 0) > 0
    # Recomputed tokens are at most 2% of all generated tokens.
    assert counts.get("wasted", 0) <= 0.02 * counts["tokens"]

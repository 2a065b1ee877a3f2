"""Starts a demo fleet, runs each check once and prints the results."""

from __future__ import annotations

import json
import os
import pathlib
import sys
import tempfile
import time
from collections.abc import Callable

from demo.sample import SAMPLE
from standins.engine import expected_text
from standins.launcher import (
    MODEL,
    OPERATOR_TOKEN,
    SERVICE,
    TEAM_TOKEN,
    Fleet,
)

__all__ = ["main"]

ENTRY_COUNT = 3
ENGINE_COUNT = 3
BULK_COUNT = 2
ONLINE_REQUESTS = 30
JOB_TIMEOUT_S = 120.0
APPLY_TIMEOUT_S = 3.0
TEAM = {"authorization": f"Bearer {TEAM_TOKEN}"}
OPERATOR = {"authorization": f"Bearer {OPERATOR_TOKEN}"}

CheckResult = tuple[str, str, bool]


def start_fleet(fleet: Fleet) -> None:
    """Launches all processes and applies the first fleet document."""
    fleet.start_platform()
    entries = [fleet.start_entry(f"entry-{n}") for n in range(ENTRY_COUNT)]
    for number in range(BULK_COUNT):
        fleet.start_bulk(f"bulk-{number}")
    for number in range(ENGINE_COUNT):
        fleet.start_engine(f"engine-{number}")
    fleet.start_service("quotes-0")
    document = fleet.default_document()
    revision = fleet.apply_document(entries[0], document, 0)
    fleet.wait_ready(revision)


def check_online(fleet: Fleet) -> CheckResult:
    """Sends online requests; each must get the text of its prompt."""
    correct = 0
    for number in range(ONLINE_REQUESTS):
        entry = fleet[f"entry-{number % ENTRY_COUNT}"]
        prompt = f"Condition note for lorry {number}."
        body = {"model": MODEL, "prompt": prompt, "max_tokens": 6}
        status, response = fleet.call(
            "POST", f"{entry.url}/v1/completions", body, TEAM
        )
        text = json.loads(response).get("choices", [{}])[0].get("text")
        correct += status == 200 and text == expected_text(prompt, 6)
    return (
        "online requests with the expected text",
        f"{correct} of {ONLINE_REQUESTS}",
        correct == ONLINE_REQUESTS,
    )


def check_stream(fleet: Fleet) -> CheckResult:
    """Streams one request; the joined events must give the expected text."""
    prompt = "Condition note, streamed."
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 40, "stream": True}
    _, response = fleet.call(
        "POST", f"{fleet['entry-1'].url}/v1/completions", body, TEAM
    )
    events = [
        json.loads(line[6:])
        for line in response.decode().splitlines()
        if line.startswith("data: {")
    ]
    text = "".join(event["choices"][0]["text"] for event in events)
    is_complete = text == expected_text(prompt, 40) and b"[DONE]" in response
    return "streamed text is complete", f"{len(events)} events", is_complete


def check_service(fleet: Fleet) -> CheckResult:
    """Calls a plain service twice with one key; the call must execute once."""
    headers = {**TEAM, "idempotency-key": "quote-1"}
    body = {"load": "hotel mattresses", "count": 40}
    responses = {
        fleet.call(
            "POST", f"{fleet[name].url}/v1/services/{SERVICE}", body, headers
        )
        for name in ("entry-0", "entry-2")
    }
    _, counts = fleet.call("GET", f"{fleet['quotes-0'].url}/executions")
    executions = sum(json.loads(counts)["by_body"].values())
    is_same_response = len(responses) == 1 and next(iter(responses))[0] == 200
    return (
        "plain service called twice with one key",
        f"{executions} execution",
        executions == 1 and is_same_response,
    )


def check_batch(fleet: Fleet) -> CheckResult:
    """Runs a batch job from the sample file; each item must get its result."""
    lines = SAMPLE.read_bytes().splitlines()
    url = f"{fleet['entry-0'].url}/v1/batches"
    submission = fleet.call_raw(
        "POST", url, SAMPLE.read_bytes(), {**TEAM, "idempotency-key": "demo"}
    )
    job = json.loads(submission[1])
    deadline = time.monotonic() + JOB_TIMEOUT_S
    while job.get("state") == "running" and time.monotonic() < deadline:
        time.sleep(0.2)
        job = json.loads(fleet.call("GET", f"{url}/{job['id']}", None, TEAM)[1])
    _, results = fleet.call("GET", f"{url}/{job['id']}/results", None, TEAM)
    prompts = {
        item["custom_id"]: item["body"]["prompt"]
        for item in map(json.loads, lines)
    }
    correct = 0
    for line in results.splitlines():
        result = json.loads(line)
        prompt = prompts.pop(result["custom_id"], None)
        text = result["response"]["body"]["choices"][0]["text"]
        correct += prompt is not None and text == expected_text(prompt, 8)
    return (
        "batch items with the expected text",
        f"{correct} of {len(lines)}",
        correct == len(lines) and not prompts,
    )


def check_configuration(fleet: Fleet) -> CheckResult:
    """Changes the document; every process must report the new revision."""
    document = fleet.default_document()
    document["models"][MODEL]["max_tokens"] = 2048
    started_at = time.monotonic()
    revision = fleet.apply_document(fleet["entry-1"], document, 1)
    url = f"{fleet['entry-2'].url}/v1/fleet/instances"
    expected = sum(
        p.role != "standin" for p in fleet.processes_by_name.values()
    )
    in_force = 0
    while time.monotonic() < started_at + APPLY_TIMEOUT_S:
        status = json.loads(fleet.call("GET", url, None, OPERATOR)[1])
        revisions = [i["revision"] or 0 for i in status["instances"]]
        in_force = sum(applied >= revision for applied in revisions)
        if in_force == expected:
            break
        time.sleep(0.05)
    elapsed_s = time.monotonic() - started_at
    return (
        f"new configuration in force within {APPLY_TIMEOUT_S:.0f} s",
        f"{in_force} of {expected} in {elapsed_s:.2f} s",
        in_force == expected,
    )


CHECKS: tuple[Callable[[Fleet], CheckResult], ...] = (
    check_online,
    check_stream,
    check_service,
    check_batch,
    check_configuration,
)


def main() -> int:
    """Runs the demo; returns 0 if every check passes, 1 otherwise."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="plumvane-demo-"))
    with Fleet(folder) as fleet:
        start_fleet(fleet)
        results = [check(fleet) for check in CHECKS]
        for description, outcome, passed in results:
            print(
                f"{'ok  ' if passed else 'FAIL'}  {description:<50} {outcome}"
            )
        if os.environ.get("KEEP"):
            _wait_for_enter(fleet)
    return 0 if all(passed for _, _, passed in results) else 1


def _wait_for_enter(fleet: Fleet) -> None:
    for process in fleet.processes_by_name.values():
        address = process.url if process.http_port else process.peer_address
        print(f"{process.name:<24} {address}")
    print(f"team token {TEAM_TOKEN!r}, operator token {OPERATOR_TOKEN!r}")
    print(f"logs in {fleet.folder}; press Enter to stop", flush=True)
    sys.stdin.readline()


if __name__ == "__main__":
    sys.exit(main())

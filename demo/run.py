"""Starts a demo fleet, drives it once and prints what came back."""

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

ENTRIES = 3
ENGINES = 3
BULKS = 2
ONLINE_REQUESTS = 30
JOB_TIMEOUT_S = 120.0
IN_FORCE_S = 3.0
TEAM = {"authorization": f"Bearer {TEAM_TOKEN}"}
OPERATOR = {"authorization": f"Bearer {OPERATOR_TOKEN}"}

Check = tuple[str, str, bool]


def start(fleet: Fleet) -> None:
    """Starts all processes and applies the first document."""
    fleet.start_platform()
    entries = [fleet.start_entry(f"entry-{n}") for n in range(ENTRIES)]
    for number in range(BULKS):
        fleet.start_bulk(f"bulk-{number}")
    for number in range(ENGINES):
        fleet.start_engine(f"engine-{number}")
    fleet.start_service("quotes-0")
    document = fleet.default_document()
    revision = fleet.apply_document(entries[0], document, 0)
    fleet.wait_ready(revision)


def check_online(fleet: Fleet) -> Check:
    """Sends online requests; each must get its own answer."""
    correct = 0
    for number in range(ONLINE_REQUESTS):
        entry = fleet[f"entry-{number % ENTRIES}"]
        prompt = f"Condition note for lorry {number}."
        body = {"model": MODEL, "prompt": prompt, "max_tokens": 6}
        status, answer = fleet.call(
            "POST", f"{entry.url}/v1/completions", body, TEAM
        )
        text = json.loads(answer).get("choices", [{}])[0].get("text")
        correct += status == 200 and text == expected_text(prompt, 6)
    return (
        "online requests answered with their own answer",
        f"{correct} of {ONLINE_REQUESTS}",
        correct == ONLINE_REQUESTS,
    )


def check_stream(fleet: Fleet) -> Check:
    """Streams one request; the pieces must join to the whole answer."""
    prompt = "Condition note, streamed."
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 40, "stream": True}
    _, answer = fleet.call(
        "POST", f"{fleet['entry-1'].url}/v1/completions", body, TEAM
    )
    pieces = [
        json.loads(line[6:])
        for line in answer.decode().splitlines()
        if line.startswith("data: {")
    ]
    text = "".join(piece["choices"][0]["text"] for piece in pieces)
    whole = text == expected_text(prompt, 40) and b"[DONE]" in answer
    return "streamed answer is whole", f"{len(pieces)} events", whole


def check_service(fleet: Fleet) -> Check:
    """Calls a plain service twice with one key; it must run once."""
    headers = {**TEAM, "idempotency-key": "quote-1"}
    body = {"load": "hotel mattresses", "count": 40}
    answers = {
        fleet.call(
            "POST", f"{fleet[name].url}/v1/services/{SERVICE}", body, headers
        )
        for name in ("entry-0", "entry-2")
    }
    _, record = fleet.call("GET", f"{fleet['quotes-0'].url}/executions")
    executions = sum(json.loads(record)["by_body"].values())
    same = len(answers) == 1 and next(iter(answers))[0] == 200
    return (
        "plain service, called twice with one key",
        f"{executions} execution",
        executions == 1 and same,
    )


def check_batch(fleet: Fleet) -> Check:
    """Runs a batch job read from the sample file."""
    lines = SAMPLE.read_bytes().splitlines()
    url = f"{fleet['entry-0'].url}/v1/batches"
    response = fleet.call_raw(
        "POST", url, SAMPLE.read_bytes(), {**TEAM, "idempotency-key": "demo"}
    )
    job = json.loads(response[1])
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
        "batch items with their own result",
        f"{correct} of {len(lines)}",
        correct == len(lines) and not prompts,
    )


def check_configuration(fleet: Fleet) -> Check:
    """Changes the document; every process must report it in force."""
    document = fleet.default_document()
    document["models"][MODEL]["max_tokens"] = 2048
    started = time.monotonic()
    revision = fleet.apply_document(fleet["entry-1"], document, 1)
    url = f"{fleet['entry-2'].url}/v1/fleet/instances"
    expected = sum(
        p.role != "standin" for p in fleet.processes_by_name.values()
    )
    in_force = 0
    while time.monotonic() < started + IN_FORCE_S:
        status = json.loads(fleet.call("GET", url, None, OPERATOR)[1])
        known = [i["revision"] or 0 for i in status["instances"]]
        in_force = sum(k >= revision for k in known)
        if in_force == expected:
            break
        time.sleep(0.05)
    took = time.monotonic() - started
    return (
        f"new configuration in force within {IN_FORCE_S:.0f} s",
        f"{in_force} of {expected} in {took:.2f} s",
        in_force == expected,
    )


CHECKS: tuple[Callable[[Fleet], Check], ...] = (
    check_online,
    check_stream,
    check_service,
    check_batch,
    check_configuration,
)


def main() -> int:
    """Runs the demo; returns 0 only if every check holds."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="plumvane-demo-"))
    with Fleet(folder) as fleet:
        start(fleet)
        results = [check(fleet) for check in CHECKS]
        for what, came_back, holds in results:
            print(f"{'ok  ' if holds else 'FAIL'}  {what:<50} {came_back}")
        if os.environ.get("KEEP"):
            _keep(fleet)
    return 0 if all(holds for _, _, holds in results) else 1


def _keep(fleet: Fleet) -> None:
    for process in fleet.processes_by_name.values():
        address = process.url if process.http_port else process.peer_address
        print(f"{process.name:<24} {address}")
    print(f"team token {TEAM_TOKEN!r}, operator token {OPERATOR_TOKEN!r}")
    print(f"logs in {fleet.folder}; press Enter to stop", flush=True)
    sys.stdin.readline()


if __name__ == "__main__":
    sys.exit(main())

"""The catalogue of metrics and its read-out from real processes."""

from __future__ import annotations

import json

from plumvane.metrics import Kind, Metric
from standins.launcher import MODEL, Fleet, Process, Sections, free_port
from tests.catalogues import METRICS, metric_rows, table_rows
from tests.fleets import TEAM, Caller, running_fleet, wait_for

ITEMS = 30


def test_document_lists_each_metric_as_the_code_has_it() -> None:
    """`make catalogues` brings the document up to date."""
    assert table_rows(METRICS, 4) == metric_rows()


def test_each_promise_and_measure_names_metrics_that_exist() -> None:
    names = {metric.full_name for metric in Metric}
    watched = table_rows(METRICS, 2)
    assert len(watched) == 11
    for promise, text in watched:
        named = [
            word.split("{")[0]
            for word in text.split("`")
            if "plumvane_" in word
        ]
        assert named, promise
        assert set(named) <= names, promise


def test_processes_show_what_happened() -> None:
    with running_fleet(
        entries=1, bulks=2, prepare=read_out_everywhere
    ) as fleet:
        entry = fleet["entry-0"]
        caller = Caller(fleet)
        caller.complete(entry, "one")
        body = {"model": MODEL, "prompt": "x", "max_tokens": 20, "stream": True}
        url = f"{entry.url}/v1/completions"
        assert fleet.call("POST", url, body, TEAM)[0] == 200
        fleet.call("POST", url, {**body, "model": "none"}, TEAM)
        job = caller.submit(entry, job_lines(), key="j")[1]["id"]
        wait_for(
            lambda: caller.job(entry, job)["state"] == "completed", "the job"
        )
        at_entry = read(fleet, entry)
        at_sidecar = read(fleet, fleet["engine-0-sidecar"])
        at_bulk = read(fleet, fleet["bulk-0"])
        other = fleet.call("GET", f"{fleet['bulk-0'].url}/other")[0]
    timed = (
        'plumvane_request_duration_seconds_count{route="completions",status='
    )
    assert at_entry[timed + '"200"}'] == 2
    assert at_entry[timed + '"404"}'] == 1
    route = '{route="completions"}'
    for metric in (
        Metric.FIRST_TOKEN,
        Metric.BETWEEN_TOKENS,
        Metric.LONGEST_GAP,
    ):
        assert at_entry[f"{metric.full_name}_count{route}"] == 1
    refusal = 'plumvane_refusals_total{code="unknown_model",not_run="true"}'
    assert at_entry[refusal] == 1
    assert at_entry['plumvane_batch_items_total{outcome="done"}'] == ITEMS
    assert at_entry["plumvane_partitions_owned"] == 16
    assert at_entry["plumvane_partitions_without_owner"] == 0
    assert at_entry['plumvane_instances{role="bulk",state="live"}'] == 2
    assert at_entry["plumvane_jobs_running"] == 0
    assert at_entry['plumvane_events_total{event="job_accepted"}'] == 1
    for found in (at_entry, at_sidecar, at_bulk):
        assert found["plumvane_document_revision"] == 1
        assert found["process_resident_memory_bytes"] > 0
    assert at_sidecar["plumvane_upstream_limit"] >= 1
    assert at_sidecar["plumvane_upstream_batch"] == 0
    assert other == 404
    shown = {name.split("{")[0] for name in {**at_entry, **at_sidecar}}
    for metric in Metric:
        suffix = "_count" if metric.kind is Kind.HISTOGRAM else ""
        if metric is not Metric.LEAST_SLACK:
            assert metric.full_name + suffix in shown, metric


def read_out_everywhere(fleet: Fleet) -> None:
    def more(process: Process) -> Sections:
        if process.role == "entry":
            return {}
        process.http_port = free_port(fleet.host)
        return {"metrics": {"address": f"{fleet.host}:{process.http_port}"}}

    fleet.extra_settings = more


def read(fleet: Fleet, process: Process) -> dict[str, float]:
    status, text = fleet.call("GET", f"{process.url}/metrics")
    assert status == 200
    found = {}
    for line in text.decode().splitlines():
        if not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            found[name] = float(value)
    return found


def job_lines() -> bytes:
    item = {"model": MODEL, "prompt": "plan", "max_tokens": 2}
    lines = [
        json.dumps({"custom_id": f"i{n}", "body": item}) for n in range(ITEMS)
    ]
    return "\n".join(lines).encode()

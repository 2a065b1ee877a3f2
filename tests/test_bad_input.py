"""Bad input: each kind has its own error, and nothing is accepted."""

from __future__ import annotations

import json
import time
from typing import Any

from standins.launcher import MODEL, Fleet
from tests.fleets import OPERATOR, TEAM, Caller, running_fleet

LINES = 1000
BROKEN_LINE = 700
OVER_LIMIT_BYTES = 5 * 1024 * 1024


def test_bad_requests_have_their_own_errors_and_run_nothing() -> None:
    good = {"model": MODEL, "prompt": "note", "max_tokens": 4}
    past = {**TEAM, "plumvane-deadline": str(time.time() - 5)}
    over = json.dumps({**good, "prompt": "x" * OVER_LIMIT_BYTES}).encode()
    nested = b"[" * 200_000
    no_number = b'{"model": "sorter-lm", "prompt": "x", "top_p": NaN}'
    cases: list[tuple[str, bytes, dict[str, str], int, str]] = [
        ("truncated JSON", b'{"model": "so', TEAM, 400, "invalid_json"),
        ("no object", b"[1]", TEAM, 400, "invalid_json"),
        ("no UTF-8", b'{"model": "\xff"}', TEAM, 400, "invalid_json"),
        ("deep nesting", nested, TEAM, 400, "invalid_json"),
        ("NaN", no_number, TEAM, 400, "invalid_json"),
        ("unknown model", body(good, model="x"), TEAM, 404, "unknown_model"),
        ("no prompt", body(good, prompt=None), TEAM, 400, "bad_request"),
        ("no tokens", body(good, max_tokens=0), TEAM, 400, "bad_request"),
        ("many tokens", body(good, max_tokens=10**6), TEAM, 400, "bad_request"),
        ("stream text", body(good, stream="no"), TEAM, 400, "bad_request"),
        ("no workload", body(good, workload="x"), TEAM, 404, "not_found"),
        (
            "wrong token",
            body(good),
            {"authorization": "Bearer wrong"},
            401,
            "unauthorized",
        ),
        ("no token", body(good), {}, 401, "unauthorized"),
        ("operator's token", body(good), OPERATOR, 401, "unauthorized"),
        ("over the limit", over, TEAM, 413, "too_large"),
        ("past deadline", body(good), past, 504, "deadline_exceeded"),
        (
            "no time",
            body(good),
            {**TEAM, "plumvane-deadline": "nan"},
            400,
            "bad_request",
        ),
        (
            "long key",
            body(good),
            {**TEAM, "idempotency-key": "k" * 300},
            400,
            "bad_request",
        ),
    ]
    with running_fleet(entries=2, services=1) as fleet:
        entry = fleet["entry-0"]
        for what, content, headers, status, code in cases:
            found, answer = fleet.call_raw(
                "POST", f"{entry.url}/v1/completions", content, headers
            )
            problem = json.loads(answer)
            assert (found, problem["code"]) == (status, code), (what, problem)
            assert problem["not_run"] is True, what
            assert problem["remedy"], what
        unknown = fleet.call_raw(
            "POST", f"{entry.url}/v1/services/none", b"{}", TEAM
        )
        no_path = fleet.call_raw("GET", f"{entry.url}/v1/none", b"", TEAM)
        no_method = fleet.call_raw("PUT", f"{entry.url}/v1/batches", b"", TEAM)
        caller = Caller(fleet)
        caller.complete(entry, "note 1", key="k")
        reused = caller.complete(fleet["entry-1"], "note 2", key="k")
        assert caller.quote(entry, {"load": 1}, key="q")[0] == 200
        quoted = caller.quote(fleet["entry-1"], {"load": 2}, key="q")
        runs = engine_runs(fleet)
        executed = service_runs(fleet)
        assert_alive(fleet)
    assert (unknown[0], json.loads(unknown[1])["code"]) == (404, "not_found")
    assert (no_path[0], json.loads(no_path[1])["code"]) == (404, "not_found")
    assert json.loads(no_method[1])["code"] == "method_not_allowed"
    assert (reused[0], reused[1]["code"]) == (422, "key_reused")
    assert (quoted[0], quoted[1]["code"]) == (422, "key_reused")
    assert runs == 1
    assert executed == 1


def test_bad_jobs_have_their_own_errors_and_none_is_accepted() -> None:
    whole = job_lines()
    broken = job_lines(broken=BROKEN_LINE)
    long_line = whole + b'{"custom_id": "' + b"x" * 300_000 + b'"}\n'
    past = {"plumvane-deadline": str(time.time() - 5)}
    cases: list[tuple[str, bytes, dict[str, str], int, str]] = [
        ("broken line", broken, {}, 400, "invalid_line"),
        ("repeated id", whole + whole, {}, 400, "bad_request"),
        ("long line", long_line, {}, 413, "too_large"),
        ("no items", b"\n\n", {}, 400, "bad_request"),
        ("unknown model", job_lines(model="x"), {}, 404, "unknown_model"),
        ("past deadline", whole, past, 504, "deadline_exceeded"),
    ]
    with running_fleet(entries=2, bulks=2) as fleet:
        url = f"{fleet['entry-0'].url}/v1/batches"
        for what, content, headers, status, code in cases:
            found, answer = fleet.call_raw(
                "POST", url, content, {**TEAM, **headers}
            )
            problem = json.loads(answer)
            assert (found, problem["code"]) == (status, code), (what, problem)
            assert problem["not_run"] is True, what
            if code == "invalid_line":
                assert f"Line {BROKEN_LINE} " in problem["detail"]
        wrong = fleet.call_raw(
            "POST", url, whole, {"authorization": "Bearer wrong"}
        )
        assert json.loads(wrong[1])["code"] == "unauthorized"
        listed = json.loads(fleet.call("GET", url, None, TEAM)[1])["jobs"]
        assert listed == []
        caller = Caller(fleet)
        small = job_lines(count=2)
        assert caller.submit(fleet["entry-0"], small, key="j")[0] == 202
        reused = caller.submit(fleet["entry-1"], job_lines(count=3), key="j")
        listed = json.loads(fleet.call("GET", url, None, TEAM)[1])["jobs"]
        assert_alive(fleet)
    assert (reused[0], reused[1]["code"]) == (422, "key_reused")
    assert [job["items"] for job in listed] == [2]


def test_bad_documents_name_each_field_and_change_nothing() -> None:
    with running_fleet(entries=1, engines=0) as fleet:
        url = f"{fleet['entry-0'].url}/v1/fleet/document"
        good = fleet.default_document()
        operators = {"op": {**good["operators"]["op"], "role": "view"}}
        cases = [
            ({**good, "modles": {}}, "modles"),
            ({**good, "retention_s": 1}, "retention_s"),
            ({**good, "models": {}}, "workloads.notes.model"),
            ({**good, "models": {"a/b": {}}}, "models.a/b"),
            ({**good, "policies": {"routing": "x"}}, "policies.routing"),
            ({**good, "operators": operators}, "operators"),
            ({**good, "services": {MODEL: {}}}, f"services.{MODEL}"),
            (
                {**good, "teams": {"a": {"token_sha256": ["plain"]}}},
                "teams.a.token_sha256",
            ),
        ]
        for document, place in cases:
            status, answer = fleet.call(
                "PUT", url, document, {**OPERATOR, "if-match": "1"}
            )
            problem = json.loads(answer)
            assert (status, problem["code"]) == (422, "configuration"), place
            assert place in problem["detail"], (place, problem)
        no_base = fleet.call("PUT", url, good, OPERATOR)
        odd_base = fleet.call(
            "PUT", url, good, {**OPERATOR, "if-match": b"\xb2"}
        )
        shown = json.loads(fleet.call("GET", url, None, OPERATOR)[1])
        assert_alive(fleet)
    assert no_base[0] == odd_base[0] == 400
    assert shown["revision"] == 1


def body(fields: dict[str, Any], **changes: Any) -> bytes:
    return json.dumps({**fields, **changes}).encode()


def job_lines(
    *, count: int = LINES, broken: int = 0, model: str = MODEL
) -> bytes:
    lines = []
    for number in range(1, count + 1):
        item = {"model": model, "prompt": f"plan {number}", "max_tokens": 2}
        line = json.dumps({"custom_id": f"i{number}", "body": item})
        lines.append(line[:20] if number == broken else line)
    return "\n".join(lines).encode() + b"\n"


def engine_runs(fleet: Fleet) -> int:
    url = fleet["engine-0"].url
    record = json.loads(fleet.call("GET", f"{url}/record")[1])
    return int(record["counts"].get("requests", 0))


def service_runs(fleet: Fleet) -> int:
    url = fleet["service-0"].url
    counts = json.loads(fleet.call("GET", f"{url}/executions")[1])
    return sum(counts["by_key"].values())


def assert_alive(fleet: Fleet) -> None:
    for process in fleet.processes_by_name.values():
        assert process.popen is not None
        assert process.popen.poll() is None, process.name
    assert fleet.call("GET", f"{fleet['entry-0'].url}/readyz")[0] == 200

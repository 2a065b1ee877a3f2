"""Invalid input gets the error of its kind, and none of it is accepted."""

from __future__ import annotations

import json
import pathlib
import tempfile
import time
from typing import Any

from standins.launcher import MODEL, Fleet
from tests.fleets import OPERATOR, TEAM, Caller, running_fleet

LINE_COUNT = 1000
INVALID_LINE = 700
OVERSIZED_PROMPT_BYTES = 5 * 1024 * 1024


def test_bad_requests_have_their_own_errors_and_run_nothing() -> None:
    valid = {"model": MODEL, "prompt": "note", "max_tokens": 4}
    past_deadline = {**TEAM, "plumvane-deadline": str(time.time() - 5)}
    oversized = json.dumps(
        {**valid, "prompt": "x" * OVERSIZED_PROMPT_BYTES}
    ).encode()
    deeply_nested = b"[" * 200_000
    nan_value = b'{"model": "sorter-lm", "prompt": "x", "top_p": NaN}'
    cases: list[tuple[str, bytes, dict[str, str], int, str]] = [
        ("truncated JSON", b'{"model": "so', TEAM, 400, "invalid_json"),
        ("not an object", b"[1]", TEAM, 400, "invalid_json"),
        ("invalid UTF-8", b'{"model": "\xff"}', TEAM, 400, "invalid_json"),
        ("deep nesting", deeply_nested, TEAM, 400, "invalid_json"),
        ("NaN", nan_value, TEAM, 400, "invalid_json"),
        ("unknown model", body(valid, model="x"), TEAM, 404, "unknown_model"),
        ("null prompt", body(valid, prompt=None), TEAM, 400, "bad_request"),
        ("zero tokens", body(valid, max_tokens=0), TEAM, 400, "bad_request"),
        (
            "too many tokens",
            body(valid, max_tokens=10**6),
            TEAM,
            400,
            "bad_request",
        ),
        ("stream as text", body(valid, stream="no"), TEAM, 400, "bad_request"),
        ("unknown workload", body(valid, workload="x"), TEAM, 404, "not_found"),
        (
            "wrong token",
            body(valid),
            {"authorization": "Bearer wrong"},
            401,
            "unauthorized",
        ),
        ("no token", body(valid), {}, 401, "unauthorized"),
        ("operator's token", body(valid), OPERATOR, 401, "unauthorized"),
        ("body over the limit", oversized, TEAM, 413, "too_large"),
        ("past deadline", body(valid), past_deadline, 504, "deadline_exceeded"),
        (
            "NaN deadline",
            body(valid),
            {**TEAM, "plumvane-deadline": "nan"},
            400,
            "bad_request",
        ),
        (
            "long key",
            body(valid),
            {**TEAM, "idempotency-key": "k" * 300},
            400,
            "bad_request",
        ),
    ]
    with running_fleet(entries=2, services=1) as fleet:
        entry = fleet["entry-0"]
        for case, content, headers, status, code in cases:
            actual_status, answer = fleet.call_raw(
                "POST", f"{entry.url}/v1/completions", content, headers
            )
            problem = json.loads(answer)
            assert (actual_status, problem["code"]) == (status, code), (
                case,
                problem,
            )
            assert problem["not_run"] is True, case
            assert problem["remedy"], case
            assert problem["request_id"], case
        unknown_service = fleet.call_raw(
            "POST", f"{entry.url}/v1/services/none", b"{}", TEAM
        )
        unknown_path = fleet.call_raw("GET", f"{entry.url}/v1/none", b"", TEAM)
        unsupported_method = fleet.call_raw(
            "PUT", f"{entry.url}/v1/batches", b"", TEAM
        )
        caller = Caller(fleet)
        caller.complete(entry, "note 1", key="k")
        reused = caller.complete(fleet["entry-1"], "note 2", key="k")
        assert caller.quote(entry, {"load": 1}, key="q")[0] == 200
        reused_call = caller.quote(fleet["entry-1"], {"load": 2}, key="q")
        engine_requests = count_engine_requests(fleet)
        service_executions = count_service_executions(fleet)
        assert_processes_running(fleet)
    assert (unknown_service[0], json.loads(unknown_service[1])["code"]) == (
        404,
        "not_found",
    )
    assert (unknown_path[0], json.loads(unknown_path[1])["code"]) == (
        404,
        "not_found",
    )
    assert json.loads(unsupported_method[1])["code"] == "method_not_allowed"
    assert (reused[0], reused[1]["code"]) == (422, "key_reused")
    assert (reused_call[0], reused_call[1]["code"]) == (422, "key_reused")
    assert engine_requests == 1
    assert service_executions == 1


def test_refusal_before_the_first_document_names_the_request() -> None:
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(pathlib.Path(folder)) as fleet,
    ):
        fleet.start_platform()
        fleet.set_store_faults(down=True)
        entry = fleet.start_entry("entry-0")
        fleet.wait_started()
        caller = Caller(fleet)
        refusals = [
            caller.complete(entry, "note"),
            caller.quote(entry, {"load": 1}, key="q"),
        ]
    for status, problem in refusals:
        assert (status, problem["code"]) == (503, "store_unavailable"), problem
        assert problem["not_run"] is True
    request_ids = {problem["request_id"] for _, problem in refusals}
    assert len(request_ids) == len(refusals)


def test_bad_jobs_have_their_own_errors_and_none_is_accepted() -> None:
    valid_lines = job_lines()
    invalid_line = job_lines(invalid_line=INVALID_LINE)
    long_line = valid_lines + b'{"custom_id": "' + b"x" * 300_000 + b'"}\n'
    past_deadline = {"plumvane-deadline": str(time.time() - 5)}
    cases: list[tuple[str, bytes, dict[str, str], int, str]] = [
        ("truncated line", invalid_line, {}, 400, "invalid_line"),
        (
            "repeated custom_id",
            valid_lines + valid_lines,
            {},
            400,
            "bad_request",
        ),
        ("long line", long_line, {}, 413, "too_large"),
        ("no items", b"\n\n", {}, 400, "bad_request"),
        ("unknown model", job_lines(model="x"), {}, 404, "unknown_model"),
        ("past deadline", valid_lines, past_deadline, 504, "deadline_exceeded"),
    ]
    with running_fleet(entries=2, bulks=2) as fleet:
        url = f"{fleet['entry-0'].url}/v1/batches"
        for case, content, headers, status, code in cases:
            actual_status, answer = fleet.call_raw(
                "POST", url, content, {**TEAM, **headers}
            )
            problem = json.loads(answer)
            assert (actual_status, problem["code"]) == (status, code), (
                case,
                problem,
            )
            assert problem["not_run"] is True, case
            if code == "invalid_line":
                assert f"Line {INVALID_LINE} " in problem["detail"]
        unauthorized = fleet.call_raw(
            "POST", url, valid_lines, {"authorization": "Bearer wrong"}
        )
        assert json.loads(unauthorized[1])["code"] == "unauthorized"
        jobs = json.loads(fleet.call("GET", url, None, TEAM)[1])["jobs"]
        assert jobs == []
        caller = Caller(fleet)
        small_job = job_lines(count=2)
        assert caller.submit(fleet["entry-0"], small_job, key="j")[0] == 202
        reused = caller.submit(fleet["entry-1"], job_lines(count=3), key="j")
        jobs = json.loads(fleet.call("GET", url, None, TEAM)[1])["jobs"]
        assert_processes_running(fleet)
    assert (reused[0], reused[1]["code"]) == (422, "key_reused")
    assert [job["items"] for job in jobs] == [2]


def test_bad_documents_name_each_field_and_change_nothing() -> None:
    with running_fleet(entries=1, engines=0) as fleet:
        url = f"{fleet['entry-0'].url}/v1/fleet/document"
        valid = fleet.default_document()
        operators = {"op": {**valid["operators"]["op"], "role": "view"}}
        cases = [
            ({**valid, "modles": {}}, "modles"),
            ({**valid, "retention_s": 1}, "retention_s"),
            ({**valid, "models": {}}, "workloads.notes.model"),
            ({**valid, "models": {"a/b": {}}}, "models.a/b"),
            ({**valid, "policies": {"routing": "x"}}, "policies.routing"),
            ({**valid, "operators": operators}, "operators"),
            ({**valid, "services": {MODEL: {}}}, f"services.{MODEL}"),
            (
                {**valid, "teams": {"a": {"token_sha256": ["plain"]}}},
                "teams.a.token_sha256",
            ),
        ]
        for document, field in cases:
            status, answer = fleet.call(
                "PUT", url, document, {**OPERATOR, "if-match": "1"}
            )
            problem = json.loads(answer)
            assert (status, problem["code"]) == (422, "configuration"), field
            assert field in problem["detail"], (field, problem)
        missing_revision = fleet.call("PUT", url, valid, OPERATOR)
        non_ascii_revision = fleet.call(
            "PUT", url, valid, {**OPERATOR, "if-match": b"\xb2"}
        )
        current = json.loads(fleet.call("GET", url, None, OPERATOR)[1])
        assert_processes_running(fleet)
    assert missing_revision[0] == non_ascii_revision[0] == 400
    assert current["revision"] == 1


def body(fields: dict[str, Any], **changes: Any) -> bytes:
    return json.dumps({**fields, **changes}).encode()


def job_lines(
    *, count: int = LINE_COUNT, invalid_line: int = 0, model: str = MODEL
) -> bytes:
    lines = []
    for number in range(1, count + 1):
        item = {"model": model, "prompt": f"plan {number}", "max_tokens": 2}
        line = json.dumps({"custom_id": f"i{number}", "body": item})
        lines.append(line[:20] if number == invalid_line else line)
    return "\n".join(lines).encode() + b"\n"


def count_engine_requests(fleet: Fleet) -> int:
    url = fleet["engine-0"].url
    record = json.loads(fleet.call("GET", f"{url}/record")[1])
    return int(record["counts"].get("requests", 0))


def count_service_executions(fleet: Fleet) -> int:
    url = fleet["service-0"].url
    counts = json.loads(fleet.call("GET", f"{url}/executions")[1])
    return sum(counts["by_key"].values())


def assert_processes_running(fleet: Fleet) -> None:
    for process in fleet.processes_by_name.values():
        assert process.popen is not None
        assert process.popen.poll() is None, process.name
    assert fleet.call("GET", f"{fleet['entry-0'].url}/readyz")[0] == 200

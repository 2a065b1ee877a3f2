"""Tests of the plumvane command, run as a process against a fleet."""

from __future__ import annotations

import json
import os
import pathlib
import pty
import subprocess
import sys
import tempfile
from typing import Any

from plumvane.cli import main as cli
from plumvane.errors import (
    ConflictError,
    ForbiddenError,
    OutcomeUnknownError,
    StoreUnavailableError,
)
from standins.launcher import MODEL, OPERATOR_TOKEN, TEAM_TOKEN, Process
from tests.fleets import Caller, running_fleet, wait_for

PLUMVANE = str(pathlib.Path(sys.executable).parent / "plumvane")
TIMEOUT_S = 60


def test_operator_changes_the_document_and_reads_the_audit_trail() -> None:
    with running_fleet(entries=2) as fleet, temporary_folder() as path:
        entry = fleet["entry-0"]
        show_result = run_as_operator(entry, "config", "show")
        file = path / "fleet.json"
        file.write_text(show_result.stdout, encoding="utf-8")
        diff_unchanged = run_as_operator(entry, "config", "diff", str(file))
        document = json.loads(show_result.stdout)
        document["models"][MODEL]["max_tokens"] = 512
        file.write_text(json.dumps(document), encoding="utf-8")
        check_result = run_as_operator(entry, "config", "check", str(file))
        diff_result = run_as_operator(entry, "config", "diff", str(file))
        apply_result = run_as_operator(entry, "config", "apply", str(file), "1")
        document["models"][MODEL]["max_tokens"] = 256
        file.write_text(json.dumps(document), encoding="utf-8")
        conflict_result = run_as_operator(
            entry, "config", "apply", str(file), "1"
        )
        history = run_as_operator(entry, "config", "history", "--output=json")
        audit_json = run_as_operator(fleet["entry-1"], "audit", "--output=json")
        text = run_as_operator(entry, "audit")
        status_output = wait_for(
            lambda: status_if_in_force(
                run_as_operator(fleet["entry-1"], "status")
            ),
            "revision 2 in force everywhere",
        )
    assert show_result.stderr == "revision 1\n"
    assert (diff_unchanged.returncode, check_result.returncode) == (0, 0)
    assert diff_result.returncode == 2
    assert f"models.{MODEL}.max_tokens" in diff_result.stdout
    assert "4096" in diff_result.stdout and "512" in diff_result.stdout
    assert apply_result.stdout == "Accepted as revision 2.\n"
    assert conflict_result.returncode == 3
    assert (
        "conflict: " in conflict_result.stderr
        and "Remedy: " in conflict_result.stderr
    )
    accepted = json.loads(history.stdout)["changes"]
    assert [c["revision"] for c in accepted] == [1, 2]
    assert accepted[1]["changed"] == [f"models.{MODEL}.max_tokens"]
    refusals = [c["refusal"] for c in json.loads(audit_json.stdout)["changes"]]
    assert refusals == [None, None, "conflict"]
    assert text.stdout.splitlines()[0].startswith("TIME (UTC)")
    assert "engine-0-sidecar" in status_output


def test_team_submits_watches_and_reads_a_job() -> None:
    lines = job_lines(300)
    with running_fleet(entries=2, bulks=2) as fleet, temporary_folder() as path:
        entry = fleet["entry-0"]
        file = path / "job.jsonl"
        file.write_bytes(lines)
        key = "--key=plans"
        submitted = run_as_team(
            entry, "jobs", "submit", str(file), key, "--output=json"
        )
        resubmitted = run_as_team(
            entry, "jobs", "submit", str(file), key, "--output=json"
        )
        job = json.loads(submitted.stdout)["id"]
        watched = run_as_team(entry, "jobs", "watch", job)
        listed = run_as_team(fleet["entry-1"], "jobs", "list")
        show_result = run_as_team(entry, "jobs", "show", job, "--output=json")
        printed = run_as_team(entry, "jobs", "results", job)
        results_file = path / "results.jsonl"
        written = run_as_team(
            entry, "jobs", "results", job, f"--to={results_file}"
        )
        results = results_file.read_text(encoding="utf-8")
        file_names = sorted(p.name for p in path.iterdir())
    assert json.loads(resubmitted.stdout)["id"] == job
    assert watched.returncode == 0, watched.stderr
    assert "300/300" in watched.stdout
    assert "300 of 300 items, completed" in watched.stderr
    assert job in listed.stdout
    assert json.loads(show_result.stdout)["done"] == 300
    assert written.returncode == 0
    assert results == printed.stdout
    ids = [json.loads(line)["custom_id"] for line in results.splitlines()]
    assert sorted(ids) == sorted(f"i{n}" for n in range(300))
    assert file_names == ["job.jsonl", "results.jsonl"]


def test_watch_of_a_cancelled_job_exits_with_6() -> None:
    flags = ("--step_s=0.05",)
    with (
        running_fleet(bulks=2, engine_flags=flags) as fleet,
        temporary_folder() as path,
    ):
        entry = fleet["entry-0"]
        file = path / "job.jsonl"
        file.write_bytes(job_lines(500, max_tokens=200))
        submitted = run_as_team(
            entry, "jobs", "submit", str(file), "--output=json"
        )
        job = json.loads(submitted.stdout)["id"]
        cancelled = run_as_team(entry, "jobs", "cancel", job)
        watched = run_as_team(entry, "jobs", "watch", job)
    assert "give --key=" in submitted.stderr
    assert cancelled.returncode == 0
    assert watched.returncode == 6
    assert "cancelled" in watched.stdout


def test_terminal_shows_a_progress_bar() -> None:
    with running_fleet(bulks=2) as fleet, temporary_folder() as path:
        entry = fleet["entry-0"]
        file = path / "job.jsonl"
        file.write_bytes(job_lines(20))
        submitted = run_as_team(
            entry, "jobs", "submit", str(file), "--output=json"
        )
        screen = run_on_terminal(
            entry, "jobs", "watch", json.loads(submitted.stdout)["id"]
        )
    assert "[##############################] 100% 20 of 20 items" in screen


def test_errors_show_a_remedy_and_set_the_exit_code() -> None:
    with running_fleet(entries=2) as fleet, temporary_folder() as path:
        entry = fleet["entry-0"]
        Caller(fleet).complete(entry, "note", key="k 1")
        file = path / "wrong.json"
        file.write_text('{"modles": {}}', encoding="utf-8")
        cases = [
            (run_as_operator(entry, "config", "check", str(file)), 1, "modles"),
            (
                run_as_operator(entry, "config", "check", "absent"),
                1,
                "readable file",
            ),
            (run_as_operator(entry, "config", "apply"), 1, "Give FILE"),
            (run_as_operator(entry, "jobs", "list"), 77, "unauthorized"),
            (run_as_team(entry, "audit"), 77, "unauthorized"),
            (run_as_team(entry, "jobs", "show", "none"), 1, "not_found"),
            (run_as_team(entry, "jobs", "dance"), 64, "plumvane jobs submit"),
            (run_as_team(entry, "requests", "show", "none"), 1, "not_found"),
        ]
        found = run_as_team(entry, "requests", "show", "k 1", "--output=json")
        fleet["entry-1"].kill()
        entry.kill()
        cases.append((run_as_team(entry, "jobs", "list"), 4, "Check --entry"))
    for completed, code, text in cases:
        assert completed.returncode == code, (code, completed)
        assert text in completed.stderr, (text, completed)
        assert "Traceback" not in completed.stderr
    assert json.loads(found.stdout)["choices"]


def test_exit_code_depends_on_the_error() -> None:
    assert cli.exit_code(ConflictError("")) == 3
    assert cli.exit_code(StoreUnavailableError("")) == 4
    assert cli.exit_code(OutcomeUnknownError("")) == 5
    assert cli.exit_code(ForbiddenError("")) == 77
    assert set(cli.EXIT_CODES) >= {0, 1, 3, 4, 5, 77}


def test_large_file_is_sent_in_bounded_memory() -> None:
    item = {"model": MODEL, "prompt": "p" * 2500}
    with (
        running_fleet(entries=1, engines=0, bulks=2) as fleet,
        temporary_folder() as path,
    ):
        file = path / "job.jsonl"
        with open(file, "w", encoding="utf-8") as out:
            for number in range(50_000):
                line = {"custom_id": f"i{number}", "body": item}
                out.write(json.dumps(line) + "\n")
        program = (
            "import resource, sys\n"
            "from plumvane.cli.main import run\n"
            "try:\n    run()\nfinally:\n"
            "    print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)\n"
        )
        completed = run_command(
            fleet["entry-0"],
            TEAM_TOKEN,
            [sys.executable, "-c", program, "jobs", "submit", str(file)],
        )
        size = file.stat().st_size
    peak_bytes = int(completed.stdout.splitlines()[-1]) * 1024
    assert completed.returncode == 0, completed.stderr
    assert size > 120_000_000
    assert peak_bytes < size, peak_bytes


def run_as_operator(
    entry: Process, *words: str
) -> subprocess.CompletedProcess[str]:
    return run_command(entry, OPERATOR_TOKEN, [PLUMVANE, *words])


def run_as_team(
    entry: Process, *words: str
) -> subprocess.CompletedProcess[str]:
    return run_command(entry, TEAM_TOKEN, [PLUMVANE, *words])


def run_command(
    entry: Process, token: str, command: list[str]
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [*command, f"--entry={entry.url}"],
        env={**os.environ, "PLUMVANE_TOKEN": token},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


def run_on_terminal(entry: Process, *words: str) -> str:
    parent, child = pty.openpty()
    with subprocess.Popen(
        [PLUMVANE, *words, f"--entry={entry.url}"],
        env={**os.environ, "PLUMVANE_TOKEN": TEAM_TOKEN},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=child,
    ):
        os.close(child)
        screen = b""
        try:
            while block := os.read(parent, 4096):
                screen += block
        except OSError:
            # Linux raises EIO once the child has closed the terminal.
            pass
    os.close(parent)
    return screen.decode()


def status_if_in_force(completed: subprocess.CompletedProcess[str]) -> str:
    text = "Revision 2 is in force everywhere."
    return completed.stdout if text in completed.stdout else ""


def temporary_folder() -> Any:
    return _TemporaryFolder()


class _TemporaryFolder(tempfile.TemporaryDirectory[str]):
    def __enter__(self) -> Any:
        return pathlib.Path(super().__enter__())


def job_lines(count: int, *, max_tokens: int = 2) -> bytes:
    lines = []
    for number in range(count):
        item = {"model": MODEL, "prompt": "plan", "max_tokens": max_tokens}
        lines.append(json.dumps({"custom_id": f"i{number}", "body": item}))
    return "\n".join(lines).encode() + b"\n"

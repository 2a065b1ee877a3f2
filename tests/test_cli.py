"""The plumvane command against a fleet, as an operator runs it."""

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


def test_operator_changes_the_document_and_sees_who_did() -> None:
    with running_fleet(entries=2) as fleet, folder() as path:
        entry = fleet["entry-0"]
        shown = operate(entry, "config", "show")
        file = path / "fleet.json"
        file.write_text(shown.stdout, encoding="utf-8")
        same = operate(entry, "config", "diff", str(file))
        document = json.loads(shown.stdout)
        document["models"][MODEL]["max_tokens"] = 512
        file.write_text(json.dumps(document), encoding="utf-8")
        checked = operate(entry, "config", "check", str(file))
        differs = operate(entry, "config", "diff", str(file))
        applied = operate(entry, "config", "apply", str(file), "1")
        document["models"][MODEL]["max_tokens"] = 256
        file.write_text(json.dumps(document), encoding="utf-8")
        late = operate(entry, "config", "apply", str(file), "1")
        history = operate(entry, "config", "history", "--output=json")
        trail = operate(fleet["entry-1"], "audit", "--output=json")
        text = operate(entry, "audit")
        everywhere = wait_for(
            lambda: in_force(operate(fleet["entry-1"], "status")),
            "revision 2 in force everywhere",
        )
    assert shown.stderr == "revision 1\n"
    assert (same.returncode, checked.returncode) == (0, 0)
    assert differs.returncode == 2
    assert f"models.{MODEL}.max_tokens" in differs.stdout
    assert "4096" in differs.stdout and "512" in differs.stdout
    assert applied.stdout == "Accepted as revision 2.\n"
    assert late.returncode == 3
    assert "conflict: " in late.stderr and "Remedy: " in late.stderr
    made = json.loads(history.stdout)["changes"]
    assert [c["revision"] for c in made] == [1, 2]
    assert made[1]["changed"] == [f"models.{MODEL}.max_tokens"]
    refusals = [c["refusal"] for c in json.loads(trail.stdout)["changes"]]
    assert refusals == [None, None, "conflict"]
    assert text.stdout.splitlines()[0].startswith("TIME (UTC)")
    assert "engine-0-sidecar" in everywhere


def test_team_submits_watches_and_reads_a_job() -> None:
    lines = job_lines(300)
    with running_fleet(entries=2, bulks=2) as fleet, folder() as path:
        entry = fleet["entry-0"]
        file = path / "job.jsonl"
        file.write_bytes(lines)
        key = "--key=plans"
        sent = team(entry, "jobs", "submit", str(file), key, "--output=json")
        again = team(entry, "jobs", "submit", str(file), key, "--output=json")
        job = json.loads(sent.stdout)["id"]
        watched = team(entry, "jobs", "watch", job)
        listed = team(fleet["entry-1"], "jobs", "list")
        shown = team(entry, "jobs", "show", job, "--output=json")
        printed = team(entry, "jobs", "results", job)
        to = path / "results.jsonl"
        written = team(entry, "jobs", "results", job, f"--to={to}")
        results = to.read_text(encoding="utf-8")
        left = sorted(p.name for p in path.iterdir())
    assert json.loads(again.stdout)["id"] == job
    assert watched.returncode == 0, watched.stderr
    assert "300/300" in watched.stdout
    assert "300 of 300 items, completed" in watched.stderr
    assert job in listed.stdout
    assert json.loads(shown.stdout)["done"] == 300
    assert written.returncode == 0
    assert results == printed.stdout
    ids = [json.loads(line)["custom_id"] for line in results.splitlines()]
    assert sorted(ids) == sorted(f"i{n}" for n in range(300))
    assert left == ["job.jsonl", "results.jsonl"]


def test_cancelled_job_ends_the_watch_with_its_code() -> None:
    flags = ("--step_s=0.05",)
    with running_fleet(bulks=2, engine_flags=flags) as fleet, folder() as path:
        entry = fleet["entry-0"]
        file = path / "job.jsonl"
        file.write_bytes(job_lines(500, max_tokens=200))
        sent = team(entry, "jobs", "submit", str(file), "--output=json")
        job = json.loads(sent.stdout)["id"]
        cancelled = team(entry, "jobs", "cancel", job)
        watched = team(entry, "jobs", "watch", job)
    assert "give --key=" in sent.stderr
    assert cancelled.returncode == 0
    assert watched.returncode == 6
    assert "cancelled" in watched.stdout


def test_terminal_shows_a_progress_bar() -> None:
    with running_fleet(bulks=2) as fleet, folder() as path:
        entry = fleet["entry-0"]
        file = path / "job.jsonl"
        file.write_bytes(job_lines(20))
        sent = team(entry, "jobs", "submit", str(file), "--output=json")
        screen = on_terminal(
            entry, "jobs", "watch", json.loads(sent.stdout)["id"]
        )
    assert "[##############################] 100% 20 of 20 items" in screen


def test_errors_name_the_remedy_and_have_their_exit_codes() -> None:
    with running_fleet(entries=2) as fleet, folder() as path:
        entry = fleet["entry-0"]
        Caller(fleet).complete(entry, "note", key="k 1")
        file = path / "wrong.json"
        file.write_text('{"modles": {}}', encoding="utf-8")
        cases = [
            (operate(entry, "config", "check", str(file)), 1, "modles"),
            (operate(entry, "config", "check", "absent"), 1, "readable file"),
            (operate(entry, "config", "apply"), 1, "Give FILE"),
            (operate(entry, "jobs", "list"), 77, "unauthorized"),
            (team(entry, "audit"), 77, "unauthorized"),
            (team(entry, "jobs", "show", "none"), 1, "not_found"),
            (team(entry, "jobs", "dance"), 64, "plumvane jobs submit"),
            (team(entry, "requests", "show", "none"), 1, "not_found"),
        ]
        found = team(entry, "requests", "show", "k 1", "--output=json")
        fleet["entry-1"].kill()
        entry.kill()
        cases.append((team(entry, "jobs", "list"), 4, "Check --entry"))
    for done, code, text in cases:
        assert done.returncode == code, (code, done)
        assert text in done.stderr, (text, done)
        assert "Traceback" not in done.stderr
    assert json.loads(found.stdout)["choices"]


def test_exit_codes_follow_the_error() -> None:
    assert cli.exit_code(ConflictError("")) == 3
    assert cli.exit_code(StoreUnavailableError("")) == 4
    assert cli.exit_code(OutcomeUnknownError("")) == 5
    assert cli.exit_code(ForbiddenError("")) == 77
    assert set(cli.EXIT_CODES) >= {0, 1, 3, 4, 5, 77}


def test_large_file_is_sent_in_bounded_memory() -> None:
    item = {"model": MODEL, "prompt": "p" * 2500}
    with (
        running_fleet(entries=1, engines=0, bulks=2) as fleet,
        folder() as path,
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
        done = shell(
            fleet["entry-0"],
            TEAM_TOKEN,
            [sys.executable, "-c", program, "jobs", "submit", str(file)],
        )
        size = file.stat().st_size
    used = int(done.stdout.splitlines()[-1]) * 1024
    assert done.returncode == 0, done.stderr
    assert size > 120_000_000
    assert used < size, used


def operate(entry: Process, *words: str) -> subprocess.CompletedProcess[str]:
    return shell(entry, OPERATOR_TOKEN, [PLUMVANE, *words])


def team(entry: Process, *words: str) -> subprocess.CompletedProcess[str]:
    return shell(entry, TEAM_TOKEN, [PLUMVANE, *words])


def shell(
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


def on_terminal(entry: Process, *words: str) -> str:
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
            # The other end of the terminal is closed.
            pass
    os.close(parent)
    return screen.decode()


def in_force(done: subprocess.CompletedProcess[str]) -> str:
    text = "Revision 2 is in force everywhere."
    return done.stdout if text in done.stdout else ""


def folder() -> Any:
    return _Folder()


class _Folder(tempfile.TemporaryDirectory[str]):
    def __enter__(self) -> Any:
        return pathlib.Path(super().__enter__())


def job_lines(count: int, *, max_tokens: int = 2) -> bytes:
    lines = []
    for number in range(count):
        item = {"model": MODEL, "prompt": "plan", "max_tokens": max_tokens}
        lines.append(json.dumps({"custom_id": f"i{number}", "body": item}))
    return "\n".join(lines).encode() + b"\n"

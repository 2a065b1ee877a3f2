"""SIGHUP reloads the settings, and the process keeps running."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from standins.launcher import free_port, loopback_host

BIN = pathlib.Path(sys.executable).parent
OUTER_DEADLINE_S = 30.0
POLL_INTERVAL_S = 0.05


def write_settings(path: pathlib.Path, host: str, name: str) -> None:
    path.write_text(
        f"[process]\nname = {name}\ndata_centre = a\n"
        f"[store]\nurl = http://{host}:{free_port(host)}\n"
        f"[peers]\naddress = {host}:{free_port(host)}\n",
        encoding="utf-8",
    )


def wait_for_event(log: pathlib.Path, number: int) -> dict[str, object]:
    deadline = time.monotonic() + OUTER_DEADLINE_S
    while time.monotonic() < deadline:
        for line in log.read_text(encoding="utf-8").splitlines():
            if line.startswith("{") and json.loads(line)["event"] == number:
                return dict(json.loads(line))
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"event {number} was not logged")


def test_sighup_reloads_the_settings_without_a_restart() -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        host = loopback_host()
        path, log = folder / "worker.ini", folder / "log"
        write_settings(path, host, "worker-1")
        with open(log, "wb") as output:
            process = subprocess.Popen(
                [BIN / "plumvane-worker", f"--settings={path}"],
                stdout=output,
                stderr=output,
            )
        try:
            wait_for_event(log, 1001)
            path.write_text("[process]\nname =", encoding="utf-8")
            process.send_signal(signal.SIGHUP)
            wait_for_event(log, 1008)
            write_settings(path, host, "worker-2")
            process.send_signal(signal.SIGHUP)
            assert wait_for_event(log, 1007)["needs_restart"] is True
            process.send_signal(signal.SIGTERM)
            assert process.wait(OUTER_DEADLINE_S) == 0
        finally:
            process.kill()
            process.wait()

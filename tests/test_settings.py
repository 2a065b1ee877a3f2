"""Tests that errors in settings files name the section, key and remedy."""

from __future__ import annotations

import pathlib
import socket
import subprocess
import sys
import tempfile

from standins.launcher import free_port, loopback_host

ROOT = pathlib.Path(__file__).parent.parent
SAMPLES = ROOT / "examples" / "settings"
BIN = pathlib.Path(sys.executable).parent
EXIT_SETTINGS = 78


def test_samples_are_valid() -> None:
    for role in ("entry", "sidecar", "bulk", "gateway", "worker"):
        code, out, _ = check(role, SAMPLES / f"{role}.ini")
        assert code == 0
        assert "valid" in out


def test_each_error_names_its_section_key_and_remedy() -> None:
    cases = [
        ("entry", "data_centre", "data_center", "[process], key data_center"),
        ("entry", "127.0.0.1:7101", "localhost:7101", "key peer_address"),
        ("entry", "127.0.0.1:7101", "127.0.0.1:99999", "key peer_address"),
        ("entry", "name = entry-1", "name = Entry 1", "key name"),
        ("entry", "store_url", "#store_url", "section [platform]"),
        ("entry", "http://127.0.0.1:7001", "ftp://x", "key store_url"),
        ("entry", "[http]", "[https]", "section [https]"),
        ("entry", "8080", "8080\nkey_file = README.md", "go together"),
        ("sidecar", "kind = engine", "kind = model", "key kind"),
        ("gateway", "[balancer]", "[balance]", "section [balance]"),
        ("gateway", "http://127.0.0.1:7001", "127.0.0.1:7001", "key url"),
        ("worker", "address = 127.0.0.1:7112", "", "section [peers]"),
        ("bulk", "folder = examples", "folder = absent", "key folder"),
        ("bulk", "[data]", "[data", "not INI"),
    ]
    for role, old, new, expected in cases:
        text = (SAMPLES / f"{role}.ini").read_text(encoding="utf-8")
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "wrong.ini"
            path.write_text(text.replace(old, new, 1), encoding="utf-8")
            code, out, err = check(role, path)
        assert code == EXIT_SETTINGS, (new, out, err)
        assert err.startswith("settings: "), (new, err)
        assert expected in err, (new, err)
        assert "Remedy: " in err, (new, err)
        assert "Traceback" not in err, (new, err)


def test_missing_or_binary_file_is_rejected() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.ini"
        missing = check("entry", path)
        path.write_bytes(b"\xff\xfe\x00[process]")
        binary = check("entry", path)
    for code, _, err in (missing, binary):
        assert code == EXIT_SETTINGS
        assert "settings: " in err
        assert "Traceback" not in err


def test_listen_address_of_peers_may_differ_from_their_address() -> None:
    host = loopback_host()
    with socket.socket() as occupied, tempfile.TemporaryDirectory() as folder:
        occupied.bind((host, 0))
        occupied.listen()
        listen = f"{host}:{occupied.getsockname()[1]}"
        text = (SAMPLES / "worker.ini").read_text(encoding="utf-8")
        text = text.replace(
            "[peers]\n", f"[peers]\nlisten_address = {listen}\n"
        )
        path = pathlib.Path(folder) / "worker.ini"
        path.write_text(text, encoding="utf-8")
        code, _, err = start("worker", path)
    assert code == EXIT_SETTINGS, err[-500:]
    assert f"Cannot listen on {listen}" in err


def test_address_in_use_fails_the_start_with_a_remedy() -> None:
    host = loopback_host()
    with socket.socket() as occupied:
        occupied.bind((host, 0))
        occupied.listen()
        port = occupied.getsockname()[1]
        for key in (
            "peer_address = 127.0.0.1:7101",
            "address = 127.0.0.1:8080",
        ):
            text = (SAMPLES / "entry.ini").read_text(encoding="utf-8")
            name = key.split(" = ")[0]
            text = text.replace(f"\n{key}", f"\n{name} = {host}:{port}")
            for old in ("127.0.0.1:7101", "127.0.0.1:8080"):
                text = text.replace(old, f"{host}:{free_port(host)}")
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / "entry.ini"
                path.write_text(text, encoding="utf-8")
                code, _, err = start("entry", path)
            assert code == EXIT_SETTINGS, err[-500:]
            assert f"Cannot listen on {host}:{port}" in err


def check(role: str, path: pathlib.Path) -> tuple[int, str, str]:
    return start(role, path, "--check")


def start(role: str, path: pathlib.Path, *flags: str) -> tuple[int, str, str]:
    completed = subprocess.run(
        [str(BIN / f"plumvane-{role}"), f"--settings={path}", *flags],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    return completed.returncode, completed.stdout, completed.stderr

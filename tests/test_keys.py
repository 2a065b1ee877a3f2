"""Tests TLS for callers, CURVE keys of peers, and secrecy of credentials."""

from __future__ import annotations

import contextlib
import json
import pathlib
import re
import secrets
import socket
import ssl
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from urllib.parse import urlencode

import httpcore
import trustme
import zmq
import zmq.auth
from zmq.utils.monitor import recv_monitor_message

from plumvane.fleet.document import token_digest
from plumvane.peers import keys, wire
from plumvane.settings import KeysSection
from standins.launcher import (
    MODEL,
    OPERATOR_TOKEN,
    TEAM_TOKEN,
    Fleet,
    Process,
    Sections,
)
from tests.fleets import OPERATOR, Caller, running_fleet, wait_for

PLUMVANE = str(pathlib.Path(sys.executable).parent / "plumvane")
OUTER_DEADLINE_MS = 30_000
HANDSHAKE_FAILURES = {
    zmq.EVENT_HANDSHAKE_FAILED_AUTH,
    zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL,
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL,
}


def test_peer_without_an_allowed_key_is_refused() -> None:
    with key_folder() as folder, fleet_with_keys(folder) as fleet:
        address = fleet["entry-0"].peer_address
        status, _ = Caller(fleet).complete(fleet["entry-0"], "note")
        public = read_key(folder / "fleet.key")[0]
        unknown_pair = zmq.curve_keypair()
        other_public = zmq.curve_keypair()[0]
        node_pair = read_key(folder / "node.key_secret")
        assert status == 200
        assert handshake_result(address, None, None) == "refused"
        assert handshake_result(address, unknown_pair, public) == "refused"
        assert handshake_result(address, node_pair, other_public) == "refused"
        assert handshake_result(address, node_pair, public) == "welcomed"
        # A key added to the folder is accepted without a restart.
        zmq.auth.create_certificates(str(folder / "allowed"), "late")
        added_pair = read_key(folder / "allowed" / "late.key_secret")
        wait_for(
            lambda: handshake_result(address, added_pair, public) == "welcomed",
            "the added key is accepted",
        )


def test_process_without_keys_cannot_join_a_fleet_with_keys() -> None:
    with key_folder() as folder, fleet_with_keys(folder) as fleet:
        fleet.extra_settings = lambda process: {}
        outsider = fleet.start_sidecar(
            "outsider", fleet["engine-0"].url, "engine", MODEL
        )
        fleet.wait_started()
        wait_for(
            lambda: "outsider" in instance_names(fleet, fleet["entry-0"]),
            "the platform lists the outsider",
        )
        caller = Caller(fleet)
        answers = [
            caller.complete(fleet[f"entry-{n % 2}"], f"note {n}")[0]
            for n in range(20)
        ]
        # Reports of peers with allowed keys arrive some time after the start.
        wait_for(
            lambda: (
                revisions_by_name(fleet, fleet["entry-0"])["engine-0-sidecar"]
                == 1
            ),
            "the entry has a report of the sidecar",
        )
        applied_revisions = revisions_by_name(fleet, fleet["entry-0"])
        log = outsider.log.read_text(encoding="utf-8")
    assert applied_revisions["outsider"] is None
    assert applied_revisions["engine-0-sidecar"] == 1
    assert "configuration_in_force" not in log
    assert answers == [200] * 20


def test_fleet_key_is_rotated_without_downtime() -> None:
    with key_folder() as folder, fleet_with_keys(folder) as fleet:
        both = f"{folder / 'fleet.key'},{folder / 'next.key'}"
        phases = [
            {"server_public_files": both},
            {
                "server_public_files": both,
                "server_secret_file": str(folder / "next.key_secret"),
            },
        ]
        programs = [
            p for p in fleet.processes_by_name.values() if p.role != "standin"
        ]
        caller = Caller(fleet)
        for number, phase in enumerate(phases):
            for program in programs:
                update_key_settings(fleet, program, phase)
                restart(fleet, program)
                fleet.wait_ready(1)
                wait_for(
                    lambda n=number: (
                        caller.complete(
                            fleet["entry-0"], f"{n} {secrets.token_hex(4)}"
                        )[0]
                        == 200
                    ),
                    "a request succeeds during the key rotation",
                )
        public = read_key(folder / "next.key")[0]
        node_pair = read_key(folder / "node.key_secret")
        address = fleet["entry-0"].peer_address
        assert handshake_result(address, node_pair, public) == "welcomed"


def test_invalid_key_files_are_rejected_with_a_remedy() -> None:
    with key_folder() as folder:
        (folder / "text.key_secret").write_text("no key", encoding="utf-8")
        for name in ("text.key_secret", "fleet.key"):
            section = KeysSection(
                server_secret_file=folder / name,
                server_public_files=str(folder / "fleet.key"),
                client_secret_file=folder / "node.key_secret",
                allowed_folder=folder / "allowed",
            )
            try:
                keys.load(section)
                raise AssertionError(f"{name} was accepted")
            except keys.SettingsError as error:
                assert "server_secret_file" in str(error)
                assert "Remedy: " in str(error)


def test_callers_are_served_over_tls_only() -> None:
    authority = trustme.CA()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with Fleet(folder) as fleet:
            certificate = authority.issue_cert(fleet.host)
            certificate.private_key_pem.write_to_path(folder / "tls.key")
            with open(folder / "tls.pem", "wb") as file:
                for blob in certificate.cert_chain_pems:
                    file.write(blob.bytes())
            authority.cert_pem.write_to_path(folder / "ca.pem")
            fleet.start_platform()
            entry = fleet.start_entry(
                "entry-0",
                certificate_file=str(folder / "tls.pem"),
                key_file=str(folder / "tls.key"),
            )
            fleet.wait_started()
            url = entry.url.replace("http:", "https:")
            context = ssl.create_default_context()
            authority.configure_trust(context)
            with httpcore.ConnectionPool(ssl_context=context) as pool:
                health = pool.request("GET", f"{url}/healthz")
                stored = pool.request(
                    "PUT",
                    f"{url}/v1/fleet/document",
                    headers={"if-match": "0"},
                    content=json.dumps(fleet.default_document()).encode(),
                )
                logged_in = pool.request(
                    "POST",
                    f"{url}/console/login",
                    headers={
                        "content-type": "application/x-www-form-urlencoded"
                    },
                    content=urlencode({"token": OPERATOR_TOKEN}).encode(),
                )
            trusted = run_cli(
                url, "config", "show", f"--ca_file={folder}/ca.pem"
            )
            untrusted = run_cli(url, "config", "show")
            plain = _plain_answer(entry)
    cookies = dict(logged_in.headers)
    assert health.status == 200
    assert stored.status == 200
    assert b"secure" in cookies[b"set-cookie"].lower()
    assert trusted.returncode == 0, trusted.stderr
    assert untrusted.returncode == 4
    assert not plain.startswith(b"HTTP/1.1 200")


def test_tokens_and_keys_are_in_no_log_status_or_document() -> None:
    with key_folder() as folder, fleet_with_keys(folder, bulks=2) as fleet:
        entry = fleet["entry-0"]
        caller = Caller(fleet)
        caller.complete(entry, "note", key="k")
        wrong = "wrong-" + secrets.token_hex(8)
        fleet.call(
            "POST",
            f"{entry.url}/v1/completions",
            {"model": MODEL, "prompt": "x"},
            {"authorization": f"Bearer {wrong}"},
        )
        login = fleet.http.request(
            "POST",
            f"{entry.url}/console/login",
            headers={"content-type": "application/x-www-form-urlencoded"},
            content=urlencode({"token": OPERATOR_TOKEN}).encode(),
        )
        cookie = dict(login.headers)[b"set-cookie"].split(b";")[0].decode()
        fleet.call(
            "PUT",
            f"{entry.url}/v1/fleet/document",
            {"operators": {"x": {"token_sha256": OPERATOR_TOKEN}}},
            {**OPERATOR, "if-match": "1"},
        )
        texts = {}
        for path in (
            "/v1/fleet/document",
            "/v1/fleet/audit",
            "/v1/fleet/instances",
            "/metrics",
            "/readyz",
            "/console/document",
            "/console/audit",
            "/console/",
        ):
            headers = {**OPERATOR, "cookie": cookie}
            answer = fleet.call("GET", f"{entry.url}{path}", None, headers)
            assert answer[0] == 200, path
            texts[path] = answer[1].decode()
        for process in fleet.processes_by_name.values():
            process.signal(15)
        for process in fleet.processes_by_name.values():
            if process.role != "standin" and process.popen:
                process.popen.wait(30)
                texts[process.name] = process.log.read_text(encoding="utf-8")
        secret_keys = [
            read_key(path)[1].decode() for path in folder.glob("*.key_secret")
        ]
    assert token_digest(TEAM_TOKEN) in texts["/v1/fleet/document"]
    credentials = [TEAM_TOKEN, OPERATOR_TOKEN, wrong, cookie.split("=", 1)[1]]
    for secret in [*credentials, *secret_keys]:
        sources = [source for source, text in texts.items() if secret in text]
        assert sources == [], (secret[:6], sources)


@contextlib.contextmanager
def key_folder() -> Iterator[pathlib.Path]:
    """Yields a folder with keys created by the command line tool."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        (folder / "allowed").mkdir()
        for key in ("fleet", "next", "node"):
            created = run_cli("", "keys", "make", str(folder), key)
            assert created.returncode == 0, created.stderr
            mode = (folder / f"{key}.key_secret").stat().st_mode
            assert mode & 0o077 == 0
        repeated = run_cli("", "keys", "make", str(folder), "node")
        assert repeated.returncode == 1
        text = (folder / "node.key").read_bytes()
        (folder / "allowed" / "node.key").write_bytes(text)
        yield folder


@contextlib.contextmanager
def fleet_with_keys(folder: pathlib.Path, bulks: int = 0) -> Iterator[Fleet]:
    def prepare(fleet: Fleet) -> None:
        fleet.extra_settings = lambda process: key_settings(folder)

    with running_fleet(entries=2, bulks=bulks, prepare=prepare) as fleet:
        yield fleet


def key_settings(folder: pathlib.Path) -> Sections:
    return {
        "keys": {
            "server_secret_file": folder / "fleet.key_secret",
            "server_public_files": folder / "fleet.key",
            "client_secret_file": folder / "node.key_secret",
            "allowed_folder": folder / "allowed",
        }
    }


def restart(fleet: Fleet, process: Process) -> None:
    """Restarts a process; unlists it in between, as the platform does."""
    assert process.terminate() == 0
    fleet.deregister_instance(process.name)
    entries = [
        p
        for p in fleet.processes_by_name.values()
        if p.role == "entry" and p is not process
    ]
    for entry in entries:
        wait_for(
            lambda e=entry: process.name not in revisions_by_name(fleet, e),
            f"{entry.name} no longer lists {process.name}",
        )
    process.start()
    fleet.register_instance(process)
    fleet.wait_started()


def update_key_settings(
    fleet: Fleet, process: Process, changes: dict[str, str]
) -> None:
    path = fleet.folder / f"{process.name}.ini"
    text = path.read_text(encoding="utf-8")
    for key, value in changes.items():
        text = re.sub(rf"(?m)^{key} = .*$", f"{key} = {value}", text)
    path.write_text(text, encoding="utf-8")


def handshake_result(
    address: str, pair: tuple[bytes, bytes] | None, server: bytes | None
) -> str:
    """Sends HELLO to a peer and classifies the response.

    Returns:
        `welcomed` for a WELCOME frame, `answered` for any other frame,
        `refused` if the connection fails, or `silent` on a timeout.
    """
    with zmq.Context() as context, context.socket(zmq.DEALER) as client:
        client.linger = 0
        client.setsockopt(zmq.IDENTITY, secrets.token_bytes(12))
        if pair and server:
            client.curve_publickey, client.curve_secretkey = pair
            client.curve_serverkey = server
        monitor = client.get_monitor_socket(
            zmq.EVENT_DISCONNECTED | sum(HANDSHAKE_FAILURES)
        )
        client.connect(f"tcp://{address}")
        client.send_multipart(
            [wire.pack(wire.Kind.HELLO), f"{wire.PROTOCOL_VERSION} x".encode()]
        )
        poller = zmq.Poller()
        poller.register(client, zmq.POLLIN)
        poller.register(monitor, zmq.POLLIN)
        result = "silent"
        for socket, _ in poller.poll(OUTER_DEADLINE_MS):
            if socket is client:
                head = client.recv_multipart()[0]
                welcomed = wire.unpack(head).kind == wire.Kind.WELCOME
                result = "welcomed" if welcomed else "answered"
            elif result == "silent":
                recv_monitor_message(monitor)
                result = "refused"
        client.disable_monitor()
        monitor.close()
        return result


def read_key(path: pathlib.Path) -> tuple[bytes, bytes]:
    public, secret = zmq.auth.load_certificate(str(path))
    return public, secret or b""


def instance_names(fleet: Fleet, entry: Process) -> list[str]:
    answer = fleet.call("GET", f"{entry.url}/readyz")[1]
    return list(json.loads(answer)["instances"])


def revisions_by_name(fleet: Fleet, entry: Process) -> dict[str, int | None]:
    url = f"{entry.url}/v1/fleet/instances"
    answer = json.loads(fleet.call("GET", url, None, OPERATOR)[1])
    return {i["name"]: i["revision"] for i in answer["instances"]}


def run_cli(url: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [PLUMVANE, *arguments, f"--entry={url or 'http://127.0.0.1:1'}"],
        env={"PLUMVANE_TOKEN": OPERATOR_TOKEN, "PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def _plain_answer(entry: Process) -> bytes:
    with socket.create_connection((entry.host, entry.http_port), 10) as plain:
        plain.sendall(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
        try:
            return plain.recv(1000)
        except ConnectionError:
            return b""

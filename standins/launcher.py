"""Starts a fleet of real processes on a loopback address."""

from __future__ import annotations

import configparser
import dataclasses
import json
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

import httpcore

__all__ = ["Fleet", "Process", "free_port", "loopback_host"]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05
MODEL = "sorter-lm"
SERVICE = "quotes"
TEAM = "intake"
TEAM_TOKEN = "intake-token"
OPERATOR_TOKEN = "operator-token"
DATA_CENTRES: tuple[str, ...] = (
    "windhoek-hall",
    "okahandja",
    "rehoboth",
    "brakwater",
)


Sections = dict[str, dict[str, Any]]
# Ports that `free_port` has returned, with their addresses. The kernel may
# return a port again until the process that it is meant for listens on it.
_assigned_ports: set[tuple[str, int]] = set()


def loopback_host() -> str:
    """Returns a random loopback address, unlikely to be in use."""
    parts = [secrets.randbelow(250) + 2 for _ in range(3)]
    return "127." + ".".join(str(part) for part in parts)


def free_port(host: str) -> int:
    """Returns a free port on the address, a different one for each call."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            probe.bind((host, 0))
            port = int(probe.getsockname()[1])
        if (host, port) not in _assigned_ports:
            _assigned_ports.add((host, port))
            return port


@dataclasses.dataclass(slots=True)
class Process:
    """A process of the fleet.

    Attributes:
        name: Name of the instance.
        role: `standin`, or the program's role, such as `entry`.
        command: Command line.
        log: Path of the log file.
        host: Loopback address.
        peer_port: Port at which peers reach it, or 0.
        listen_port: Port on which it listens for peers behind the proxy, or 0.
        http_port: Port of its HTTP interface, or 0.
        serves: Model or service behind it.
        data_centre: Data centre of the instance.
        popen: The started process, if any; it may have exited.
    """

    name: str
    role: str
    command: list[str]
    log: pathlib.Path
    host: str
    peer_port: int = 0
    listen_port: int = 0
    http_port: int = 0
    serves: str = ""
    data_centre: str = ""
    popen: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """Base URL of its HTTP interface."""
        return f"http://{self.host}:{self.http_port}"

    @property
    def peer_address(self) -> str:
        """IP:PORT at which peers reach it."""
        return f"{self.host}:{self.peer_port}"

    @property
    def pid(self) -> int:
        """Process identifier.

        Raises:
            RuntimeError: The process was never started.
        """
        if self.popen is None:
            raise RuntimeError(f"{self.name} was not started.")
        return self.popen.pid

    def has_exited(self) -> bool:
        """Returns whether the process is not running."""
        return self.popen is None or self.popen.poll() is not None

    def start(self) -> None:
        """Starts the process; its output is appended to the log."""
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process with SIGKILL."""
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    def terminate(self) -> int:
        """Stops the process with SIGTERM and returns its exit code."""
        if self.popen is None:
            return 0
        self.signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S)


class Fleet:
    """A fleet of stand-ins and plumvane processes.

    Leaving it as a context manager kills all processes.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates an empty fleet.

        Args:
            folder: Folder for settings, logs and chunks.
        """
        self.folder = folder
        self.host = loopback_host()
        self.processes_by_name: dict[str, Process] = {}
        self.http = httpcore.ConnectionPool(max_connections=64)
        self._bin = pathlib.Path(sys.executable).parent
        self._programs_started = 0
        #: Data centres, assigned to the started programs in turn.
        self.data_centres = DATA_CENTRES
        #: Returns additional settings for a program.
        self.extra_settings: Callable[[Process], Sections] = lambda process: {}

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *error: object) -> None:
        self.kill_all()

    def __getitem__(self, name: str) -> Process:
        return self.processes_by_name[name]

    def kill_all(self) -> None:
        """Kills every process."""
        for process in self.processes_by_name.values():
            process.signal(signal.SIGCONT)
            process.kill()
        self.http.close()

    def start_platform(self, *, lag_s: float = 0.3) -> None:
        """Starts the store and the instance list.

        Args:
            lag_s: Seconds by which the instance list lags behind.
        """
        self.start_standin("store", "store")
        self.start_standin("instances", "instances", f"--lag_s={lag_s}")
        self.wait_started()

    def start_proxy(self) -> None:
        """Starts the fault proxy in front of all programs started later."""
        self.start_standin("proxy", "proxy", f"--route_host={self.host}")
        self.wait_started()

    def set_peer_faults(self, name: str, **faults: Any) -> None:
        """Sets faults of the connections to a program's peer port."""
        self.call("POST", f"{self['proxy'].url}/routes/{name}/faults", faults)

    def start_standin(self, name: str, module: str, *flags: str) -> Process:
        """Starts a stand-in; does not wait until it accepts connections."""
        port = free_port(self.host)
        command = [
            sys.executable,
            "-m",
            f"standins.{module}",
            f"--host={self.host}",
            f"--port={port}",
            *flags,
        ]
        process = self._add(name, "standin", command)
        process.http_port = port
        process.start()
        return process

    def start_engine(self, name: str, *flags: str) -> Process:
        """Starts an engine and the sidecar beside it, `NAME-sidecar`."""
        engine = self.start_standin(name, "engine", *flags)
        return self.start_sidecar(
            f"{name}-sidecar", engine.url, "engine", MODEL
        )

    def start_service(self, name: str, *flags: str) -> Process:
        """Starts a plain service and the sidecar beside it."""
        service = self.start_standin(name, "service", *flags)
        return self.start_sidecar(
            f"{name}-sidecar", service.url, "service", SERVICE
        )

    def start_sidecar(
        self, name: str, url: str, kind: str, serves: str
    ) -> Process:
        """Starts a sidecar in front of an upstream."""
        upstream = {"url": url, "kind": kind, "serves": serves}
        return self._start_program(
            name, "sidecar", {"upstream": upstream}, serves=serves
        )

    def start_entry(self, name: str, **http: str) -> Process:
        """Starts an entry instance.

        Args:
            name: Name of the instance.
            **http: Additional settings of the section [http].
        """
        port = free_port(self.host)
        section = {"address": f"{self.host}:{port}", **http}
        return self._start_program(
            name, "entry", {"http": section}, http_port=port
        )

    def start_bulk(self, name: str) -> Process:
        """Starts a bulk instance with its own data folder."""
        data = self.folder / f"{name}-data"
        data.mkdir(exist_ok=True)
        return self._start_program(name, "bulk", {"data": {"folder": data}})

    def start_on_platform(
        self, name: str, role: str, sections: Sections, *, http_port: int = 0
    ) -> Process:
        """Starts a program that finds its fleet in the platform's store.

        Args:
            name: Name of the instance.
            role: `gateway` or `worker`.
            sections: Settings of the program.
            http_port: Port on which it serves callers, or 0.
        """
        path = self.folder / f"{name}.ini"
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(sections)
        with open(path, "w", encoding="utf-8") as file:
            parser.write(file)
        command = [str(self._bin / f"plumvane-{role}"), f"--settings={path}"]
        process = self._add(name, role, command)
        process.http_port = http_port
        process.start()
        return process

    def restart(self, name: str) -> None:
        """Restarts a process that has exited, and waits for its ports."""
        process = self[name]
        process.start()
        for port in (
            process.listen_port or process.peer_port,
            process.http_port,
        ):
            if port:
                self._wait_for_port(process, port)

    def register_instance(self, process: Process, state: str = "live") -> None:
        """Adds an instance to the platform's list, or updates it."""
        self.call(
            "PUT",
            f"{self['instances'].url}/instances/{process.name}",
            {
                "name": process.name,
                "role": process.role,
                "address": process.peer_address,
                "data_centre": process.data_centre,
                "serves": process.serves,
                "state": state,
            },
        )

    def deregister_instance(self, name: str) -> None:
        """Removes an instance from the platform's list."""
        self.call("DELETE", f"{self['instances'].url}/instances/{name}")

    def set_store_faults(self, **faults: Any) -> None:
        """Sets faults of the store; see `standins.store`."""
        self.call("POST", f"{self['store'].url}/faults", faults)

    @staticmethod
    def default_document() -> dict[str, Any]:
        """Returns a fleet document with the fleet's model, service and team."""
        from plumvane.fleet.document import token_digest

        return {
            "models": {MODEL: {}},
            "services": {SERVICE: {"idempotent": False}},
            "workloads": {
                "notes": {"kind": "online", "model": MODEL},
                "plans": {"kind": "batch", "model": MODEL, "rank": 10},
            },
            "teams": {TEAM: {"token_sha256": [token_digest(TEAM_TOKEN)]}},
            "operators": {
                "op": {
                    "token_sha256": token_digest(OPERATOR_TOKEN),
                    "role": "change",
                }
            },
        }

    def apply_document(
        self, entry: Process, document: dict[str, Any], from_revision: int
    ) -> int:
        """Applies a fleet document through an entry; returns its revision."""
        self.wait_started()
        answer = self.call(
            "PUT",
            f"{entry.url}/v1/fleet/document",
            document,
            {
                "authorization": f"Bearer {OPERATOR_TOKEN}",
                "if-match": str(from_revision),
            },
        )
        return int(json.loads(answer[1])["revision"])

    def call(
        self,
        method: str,
        url: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Sends an HTTP request with a JSON body; returns status and body."""
        content = b"" if body is None else json.dumps(body).encode()
        return self.call_raw(method, url, content, headers)

    def call_raw(
        self,
        method: str,
        url: str,
        content: bytes,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Sends an HTTP request; returns status and body."""
        response = self.http.request(
            method,
            url,
            headers=list((headers or {}).items()),
            content=content,
            extensions={"timeout": {"connect": 5.0, "read": 60.0}},
        )
        return response.status, response.content

    def wait_started(self) -> None:
        """Waits until every process accepts connections."""
        for process in self.processes_by_name.values():
            for port in (process.listen_port, process.http_port):
                if port:
                    self._wait_for_port(process, port)

    def wait_ready(self, revision: int = 0) -> None:
        """Waits until entries see all instances, and owners of partitions."""
        self.wait_started()
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if self._is_ready(revision):
                return
            time.sleep(POLL_S)
        raise TimeoutError(
            f"The fleet is not ready; see the logs in {self.folder}."
        )

    def _is_ready(self, revision: int) -> bool:
        running = {
            p.name
            for p in self.processes_by_name.values()
            if p.role != "standin" and p.popen and p.popen.poll() is None
        }
        for process in self.processes_by_name.values():
            if process.role != "entry" or process.name not in running:
                continue
            status, body = self.call("GET", f"{process.url}/readyz")
            answer = json.loads(body)
            if status != 200 or answer["revision"] < revision:
                return False
            if not running <= set(answer["instances"]):
                return False
            if answer["partitions_without_owner"]:
                return False
        return True

    def _add(self, name: str, role: str, command: list[str]) -> Process:
        process = Process(
            name, role, command, self.folder / f"{name}.log", self.host
        )
        self.processes_by_name[name] = process
        return process

    def _start_program(
        self,
        name: str,
        role: str,
        sections: dict[str, dict[str, Any]],
        *,
        serves: str = "",
        http_port: int = 0,
    ) -> Process:
        path = self.folder / f"{name}.ini"
        command = [str(self._bin / f"plumvane-{role}"), f"--settings={path}"]
        process = self._add(name, role, command)
        process.peer_port = free_port(self.host)
        process.http_port = http_port
        process.serves = serves
        number = self._programs_started % len(self.data_centres)
        process.data_centre = self.data_centres[number]
        self._programs_started += 1
        if "proxy" in self.processes_by_name:
            self._open_route(process)
        extra_sections = self.extra_settings(process)
        self._write_settings(path, process, {**sections, **extra_sections})
        process.start()
        self.register_instance(process)
        return process

    def _open_route(self, process: Process) -> None:
        process.listen_port = free_port(self.host)
        self.call(
            "PUT",
            f"{self['proxy'].url}/routes/{process.name}",
            {
                "port": process.peer_port,
                "target": f"{self.host}:{process.listen_port}",
            },
        )

    def _write_settings(
        self,
        path: pathlib.Path,
        process: Process,
        sections: dict[str, dict[str, Any]],
    ) -> None:
        parser = configparser.ConfigParser(interpolation=None)
        parser["process"] = {
            "name": process.name,
            "data_centre": process.data_centre,
            "peer_address": process.peer_address,
        }
        if process.listen_port:
            listen = f"{process.host}:{process.listen_port}"
            parser["process"]["listen_address"] = listen
        parser["platform"] = {
            "instances_url": f"{self['instances'].url}/instances"
        }
        if process.role == "entry":
            parser["platform"]["store_url"] = self["store"].url
        for section, values in sections.items():
            parser[section] = {k: str(v) for k, v in values.items()}
        with open(path, "w", encoding="utf-8") as file:
            parser.write(file)

    def _wait_for_port(self, process: Process, port: int) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if process.popen is None or process.popen.poll() is not None:
                break
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
                if sock.connect_ex((process.host, port)) == 0:
                    return
            time.sleep(POLL_S)
        text = process.log.read_text(errors="replace")[-2000:]
        raise RuntimeError(f"{process.name} did not start: {text}")

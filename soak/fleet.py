"""Processes of a soak: store, servers, gateways, workers and fault proxy."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from typing import Any

import anyio
import msgspec

from plumvane.errors import StoreUnavailableError
from plumvane.platform.store import PlatformStore
from soak import teams
from standins.launcher import Fleet, Process, free_port

__all__ = ["CRASHING_PART", "HOST", "MAX_PROCESSES", "FleetSize", "SoakFleet"]

HOST = "soak.example"
DATA_CENTRES = ("a", "b")
# Most processes of one soak; each takes 40 to 60 MB.
MAX_PROCESSES = 150
# Versions of the servers' software at the start, side by side in each service.
FIRST_VERSIONS = ("v1", "v2")
VERSION_FLAG = "--software_version="
# Part of prompts on which the model engines crash.
CRASHING_PART = "dead"
# Delay in seconds before a refused write to the store is retried.
WRITE_RETRY_DELAY_S = 0.2
# Fixed routes, with the settings in which they differ. The fault
# `change_configuration` adds and removes `extra-N` routes, and beside them one
# over the paths of items.
ROUTES: tuple[dict[str, Any], ...] = (
    {"name": "note", "kind": "streaming", "resumable": True},
    {"name": "quote", "kind": "streaming"},
    {"name": "slip", "kind": "safe"},
    {"name": "pay", "kind": "unsafe"},
    {
        "name": "plan",
        "kind": "batch",
        "completion-target-ms": 10_000,
        "retention-s": 600,
    },
)
ENGINE_ROUTES = frozenset({"note", "quote", "plan"})


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """Numbers of the processes of a soak.

    Attributes:
        gateways: Number of gateways.
        workers: Number of workers.
        engines: Number of model engines.
        services: Number of plain services.
    """

    gateways: int = 3
    workers: int = 3
    engines: int = 4
    services: int = 2


class SoakFleet:
    """Starts the processes, with the fault proxy between them.

    The proxy carries the connections of each process to the store, those to
    each server, and those of peers to each gateway and worker.
    """

    def __init__(self, folder: pathlib.Path, size: FleetSize) -> None:
        """Starts all processes.

        Args:
            folder: Folder for settings and logs.
            size: Numbers of processes.
        """
        self.fleet = Fleet(folder)
        self.version = 0
        self.extra_routes: list[str] = []
        # Teams with the keys of their callers; none if callers need no keys.
        self.keys_by_team: dict[str, list[str]] = {}
        self.metrics_by_gateway: dict[str, str] = {}
        # Whether clients send requests on which the model engines crash.
        self.sends_crashing_part = False
        # Routes on which clients repeat a request that crashes each server.
        self.crashing_routes: set[str] = set()
        # Whether the teams of the soak are configured, whose clients send keys.
        self.has_soak_teams = False
        self.routes_by_process: dict[str, list[str]] = {}
        self.fleet.start_standin("store", "platform_store")
        self.fleet.start_proxy()
        self.store = PlatformStore(self.fleet["store"].url)
        self.servers = [
            *(
                self._start_server("engine", n, "lm")
                for n in range(size.engines)
            ),
            *(
                self._start_server("app", n, "app")
                for n in range(size.services)
            ),
        ]
        self.gateways = [
            self._start_program(f"gateway-{n}", n) for n in range(size.gateways)
        ]
        self.workers = [
            self._start_program(f"worker-{n}", n) for n in range(size.workers)
        ]

    @property
    def programs(self) -> list[Process]:
        """The processes under test: gateways and workers."""
        return [*self.gateways, *self.workers]

    def wait_started(self) -> None:
        """Waits until servers and gateways accept connections."""
        self.fleet.wait_started()

    def close(self) -> None:
        """Kills all processes of the soak."""
        self.fleet.kill_all()

    async def write_configuration(self) -> None:
        """Writes the next version of the configuration."""
        self.version += 3
        extra = [{"name": name, "kind": "safe"} for name in self.extra_routes]
        if extra:
            # Most items of jobs lie under this prefix.
            extra.append(
                {
                    "name": "over-items",
                    "kind": "streaming",
                    "path-prefix": "/plan/ok/",
                }
            )
        routes = [
            {
                "host": HOST,
                "path-prefix": f"/{route['name']}/",
                "service": "lm" if route["name"] in ENGINE_ROUTES else "app",
                "timeout-ms": 5000,
                "target-latency-ms": 300,
                "max-attempts": 2 if route["kind"] != "batch" else 3,
                **route,
            }
            for route in (*ROUTES, *extra)
        ]
        value = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "lm", "engine": {}}, {"name": "app"}],
            "limits": {},
            "tenants": self._team_rows(),
        }
        encoded = msgspec.json.encode(value)
        while True:
            try:
                await self.store.put(
                    "op/config", encoded, expected_revision=None
                )
                return
            except StoreUnavailableError:
                # A fault refuses the store's calls; operators retry too.
                await anyio.sleep(WRITE_RETRY_DELAY_S)

    def _team_rows(self) -> list[dict[str, Any]]:
        """Returns the teams as operators write them; none without keys."""
        if self.has_soak_teams:
            return teams.configuration()
        return [
            {"name": name, "api-keys": keys}
            for name, keys in self.keys_by_team.items()
        ]

    def set_faults(self, route: str, **faults: Any) -> None:
        """Sets the faults of a proxy route."""
        self.fleet.set_peer_faults(route, **faults)

    @staticmethod
    def set_version(server: Process, version: str) -> None:
        """Sets the software version that a server has after its next start."""
        server.command = [
            *(a for a in server.command if not a.startswith(VERSION_FLAG)),
            f"{VERSION_FLAG}{version}",
        ]

    def set_store_faults(self, **faults: Any) -> None:
        """Sets the faults of the platform store stand-in."""
        self.fleet.call("POST", f"{self.fleet['store'].url}/faults", faults)

    def _route(self, name: str, target: str) -> str:
        """Opens a proxy route to a target and returns its address."""
        port = free_port(self.fleet.host)
        proxy = self.fleet["proxy"].url
        body = {"port": port, "target": target}
        self.fleet.call("PUT", f"{proxy}/routes/{name}", body)
        return f"{self.fleet.host}:{port}"

    def _start_server(self, kind: str, number: int, service: str) -> Process:
        name = f"{kind}-{number}"
        store = self._route(f"{name}-store", self._address("store"))
        port = free_port(self.fleet.host)
        address = self._route(name, f"{self.fleet.host}:{port}")
        process = self.fleet.start_standin(
            name,
            "platform_server",
            f"--port={port}",
            f"--name={name}",
            f"--service={service}",
            f"--address={address}",
            f"--store=http://{store}",
            f"{VERSION_FLAG}{FIRST_VERSIONS[number % len(FIRST_VERSIONS)]}",
            f"--crashing_part={CRASHING_PART}",
        )
        process.serves = service
        process.http_port = port
        self.routes_by_process[name] = [name, f"{name}-store"]
        return process

    def _start_program(self, name: str, number: int) -> Process:
        role = name.partition("-")[0]
        store = self._route(f"{name}-store", self._address("store"))
        listen = self._free_address()
        peers = self._route(f"{name}-peers", listen)
        self.routes_by_process[name] = [f"{name}-store", f"{name}-peers"]
        http_port = 0
        sections: dict[str, dict[str, Any]] = {
            "process": {
                "name": name,
                "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
            },
            "store": {"url": f"http://{store}"},
            "peers": {"address": peers, "listen_address": listen},
        }
        if role == "gateway":
            http_port = free_port(self.fleet.host)
            callers = f"{self.fleet.host}:{http_port}"
            sections["callers"] = {"address": callers}
            sections["balancer"] = {"address": self._free_address()}
            metrics = self._free_address()
            sections["metrics"] = {"address": metrics}
            self.metrics_by_gateway[name] = f"http://{metrics}/metrics"
        return self.fleet.start_on_platform(
            name, role, sections, http_port=http_port
        )

    def _address(self, name: str) -> str:
        return f"{self.fleet.host}:{self.fleet[name].http_port}"

    def _free_address(self) -> str:
        return f"{self.fleet.host}:{free_port(self.fleet.host)}"

    def limit_rate(self, server: Process, max_rate: float | None) -> None:
        """Has a server limit its rate, in requests per second, or lift that."""
        url = f"http://{self.fleet.host}:{server.http_port}/limit"
        self.fleet.call("POST", url, {"max_rate": max_rate})

    def arrivals(self) -> list[dict[str, Any]]:
        """Returns the requests that reached servers while they had a limit."""
        return self._logged('{"arrival"')

    def program_logs(self) -> list[pathlib.Path]:
        """Returns the logs of gateways and workers."""
        return [process.log for process in self.programs]

    def executions(self) -> list[dict[str, Any]]:
        """Returns the executions that the servers logged, ordered by time."""
        return self._logged('{"run"')

    def _logged(self, start: str) -> list[dict[str, Any]]:
        found = []
        for server in self.servers:
            for line in server.log.read_text(errors="replace").splitlines():
                if line.startswith(start):
                    found.append({**json.loads(line), "server": server.name})
        return sorted(found, key=lambda row: row["at"])

"""Runs a small deployment for one case and keeps its record."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import resource
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from review.rig2.servers import Run, Server
from review.rig2.store import Store
from review.rig2.wire import Answer, call

__all__ = [
    "FINISH_S",
    "HOST_NAME",
    "CannotRunError",
    "Program",
    "Sheet",
    "Site",
    "batch_route",
    "main",
]

ROOT = pathlib.Path(__file__).resolve().parents[2]
# An address of its own, so that scripts beside each other don't take the ports
# that this one has chosen and not bound yet.
ADDRESS = f"127.{secrets.randbelow(250) + 2}.{secrets.randbelow(250) + 2}.1"
HOST_NAME = "ficu95.example"
START_S = 20.0
# `finish-s` of the sheets.
FINISH_S = 18.0
# Descriptors that a machine has, of which 200 are for files, and those that are
# left to its process.
MAX_DESCRIPTORS = 4100 - 200
SETTINGS = """\
[process]
name = {name}
data_centre = {zone}
{grace}
[store]
url = http://{store}
{fronts}
[metrics]
address = {metrics}

[peers]
address = {peers}

[upstreams]
drain_ms = {bound_ms}

[routes]
apply_ms = {bound_ms}

[terms]
names = {terms}

[quotas]
overage = 0.1
"""
FRONTS = """
[callers]
address = {front}

[balancer]
address = {ready}

[memory]
limit_mb = {memory_mb}

[data_centres]
leave = when_it_pays
crossing_cost_ms = 50
"""


@dataclasses.dataclass(frozen=True)
class Sheet:
    """What a deployment's sheet gives; by default that of `ksh-plumvane`.

    Attributes:
        bound_ms: `drain-ms` and `config-apply-ms`.
        terms: The contracts.
        memory_mb: Memory of a `front` machine.
        descriptors: Descriptors of a process.
    """

    bound_ms: int = 2000
    terms: str = "base,drain,config,cost,recover,batch,stream,engine,platform"
    memory_mb: int = 300
    descriptors: int = MAX_DESCRIPTORS


class CannotRunError(Exception):
    """The case could not be set up."""


def _limit_descriptors(count: int) -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


_chosen_ports: set[int] = set()


def free_port() -> int:
    """Returns a port that is free on the address, another one each time."""
    while True:
        with socket.socket() as probe:
            probe.bind((ADDRESS, 0))
            port = int(probe.getsockname()[1])
        if port not in _chosen_ports:
            _chosen_ports.add(port)
            return port


def free_address() -> str:
    """Returns an address that is free on the loopback interface."""
    return f"{ADDRESS}:{free_port()}"


@dataclasses.dataclass
class Program:
    """A program of the project.

    Attributes:
        name: Name of its machine.
        role: `gateway` or `worker`.
        settings: Path of its settings file.
        front: Address for clients; empty for a worker.
        ready: Address of its readiness check; empty for a worker.
        store_port: Port at which it reaches the store.
        descriptors: Descriptors that its process may open.
        ends: How its processes ended by themselves: times and exit codes.
        popen: Its process.
    """

    name: str
    role: str
    settings: pathlib.Path
    front: str
    ready: str
    store_port: int
    descriptors: int = MAX_DESCRIPTORS
    ends: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file.

        It may open as many descriptors as the platform leaves to it.
        """
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            run = tomllib.load(file)["roles"][self.role]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PLUMVANE_SETTINGS"] = str(self.settings)
        run[0] = shutil.which(run[0]) or run[0]
        with open(self.settings.with_suffix(".log"), "ab") as log:
            self.popen = subprocess.Popen(
                run,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: _limit_descriptors(self.descriptors),
            )

    def is_running(self) -> bool:
        """Returns whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it runs."""
        if self.popen is not None and self.is_running():
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    def memory_mb(self) -> float:
        """Returns the resident memory of the process."""
        if self.popen is None:
            return 0.0
        try:
            status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1000
        return 0.0

    def events(self, *names: str) -> list[dict[str, Any]]:
        """Returns lines of the process's log, of some events."""
        found = []
        text = self.settings.with_suffix(".log").read_text(errors="replace")
        for line in text.splitlines():
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if not names or row.get("event") in names:
                    found.append(row)
        return found


class Site:
    """A small deployment with its clients and its operator."""

    def __init__(self, folder: pathlib.Path, has_trouble: bool) -> None:
        """Creates a deployment without machines.

        Args:
            folder: Folder for settings and logs.
            has_trouble: Whether the case brings its disruption about.
        """
        self.folder = folder
        self.has_trouble = has_trouble
        self.store = Store()
        self.runs: list[Run] = []
        self.servers: list[Server] = []
        self.programs: list[Program] = []
        self.lines: list[str] = []
        self.began_at = time.monotonic()
        self.tasks: list[asyncio.Task[None]] = []
        self.version = 0
        self.sheet = Sheet()

    def log(self, text: str) -> None:
        """Adds a line to the record."""
        line = f"{time.monotonic() - self.began_at:7.2f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Runs a task until the case ends."""
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def start_server(self, service: str, **fields: Any) -> Server:
        """Starts a server."""
        server = Server(
            self.store, service, free_address(), self.runs, **fields
        )
        await server.start()
        self.spawn(server.beat())
        self.servers.append(server)
        return server

    async def start_program(self, role: str, zone: str = "a") -> Program:
        """Starts a gateway or a worker, with its own way to the store."""
        number = sum(p.role == role for p in self.programs) + 1
        name = f"{'front' if role == 'gateway' else 'storage'}-{zone}-{number}"
        store_port = free_port()
        await self.store.listen(ADDRESS, store_port)
        front = ready = fronts = grace = ""
        if role == "gateway":
            front, ready = free_address(), free_address()
            fronts = FRONTS.format(
                front=front, ready=ready, memory_mb=self.sheet.memory_mb
            )
            grace = "grace_s = 8\n"
        settings = self.folder / f"{name}.ini"
        settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                grace=grace,
                store=f"{ADDRESS}:{store_port}",
                fronts=fronts,
                metrics=free_address(),
                peers=free_address(),
                bound_ms=self.sheet.bound_ms,
                terms=self.sheet.terms,
            )
        )
        program = Program(
            name,
            role,
            settings,
            front,
            ready,
            store_port,
            self.sheet.descriptors,
        )
        program.start()
        self.programs.append(program)
        return program

    def gateways(self) -> list[Program]:
        """Returns the gateways."""
        return [p for p in self.programs if p.role == "gateway"]

    def workers(self) -> list[Program]:
        """Returns the workers."""
        return [p for p in self.programs if p.role == "worker"]

    def put_configuration(
        self, routes: list[dict[str, Any]], services: dict[str, bool]
    ) -> None:
        """Writes the next configuration, as the operator does.

        Args:
            routes: The routes.
            services: Whether each service has model engines.
        """
        self.version += 3
        rows: list[dict[str, Any]] = []
        for name, is_engine in services.items():
            row: dict[str, Any] = {
                "name": name,
                "health-path": "/health",
                "max-connections": 180,
                "protocol": "h1",
                "tls": False,
            }
            if is_engine:
                row["engine"] = {"slots": 8, "models": [{"name": "m"}]}
            rows.append(row)
        value = {
            "version": self.version,
            "routes": routes,
            "services": rows,
            "limits": {
                "max-header-bytes": 16_384,
                "max-body-bytes": 4_194_304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15_000,
            },
        }
        self.store.put("op/config", json.dumps(value).encode())

    async def wait_ready(self) -> None:
        """Waits until all gateways are ready and all workers registered."""
        ends_at = time.monotonic() + START_S
        while time.monotonic() < ends_at:
            await asyncio.sleep(0.1)
            answers = [
                await call(p.ready, "GET", "/v1/ready", timeout_s=1.0)
                for p in self.gateways()
            ]
            prefix = "plumvane/live/workers/"
            keys = [k for k in self.store.items_by_key if k.startswith(prefix)]
            if all(a.status == 200 for a in answers) and len(keys) == len(
                self.workers()
            ):
                await asyncio.sleep(1.0)
                self.log("all programs are ready")
                return
        raise CannotRunError("the programs did not become ready")

    async def submit(
        self,
        gateway: Program,
        prefix: str,
        items: int,
        tokens: int = 80,
        headers: dict[str, str] | None = None,
    ) -> tuple[str, list[str], Answer]:
        """Hands a batch job in.

        Returns:
            The id of the job, those of its items, and the answer.
        """
        job_id = secrets.token_hex(8)
        rows = []
        for _ in range(items):
            item_id = secrets.token_hex(8)
            own = {
                "X-Model": "m",
                "X-Token-Usage": f"540,{tokens}",
                "X-Prompt-Prefix": f"9c2e41:300,{item_id[:8]}:240",
                **(headers or {}),
            }
            rows.append(
                {
                    "id": item_id,
                    "path": f"{prefix}3/{item_id[:4]}",
                    "headers": own,
                    "body": "q83vEjRWeJA=",
                    "tokens": 540 + tokens,
                }
            )
        answer = await call(
            gateway.front,
            "POST",
            f"{prefix}{job_id[:6]}",
            {
                "Host": HOST_NAME,
                "X-Request-Id": job_id,
                "Content-Type": "application/json",
            },
            json.dumps({"items": rows}).encode(),
        )
        self.log(f"job {job_id} at {gateway.name}: {answer.status}")
        return job_id, [row["id"] for row in rows], answer

    def is_excused(self, item_ids: list[str]) -> bool:
        """Returns whether the rule on unlisted items lets them be so by now.

        It does if a server had one of them in the last 5 s, servers were half
        full then, or any item was finished in the last 3 s.
        """
        now = time.monotonic()
        recent = [
            run
            for run in self.runs
            if run.status in ("runs", "done")
            and (not run.ended_at or run.ended_at > now - 5.0)
        ]
        has_one = any(run.request in item_ids for run in recent)
        is_full = len(recent) > sum(s.slots for s in self.servers) / 2
        is_moving = any(
            run.status == "done" and run.ended_at > now - 3.0 for run in recent
        )
        return has_one or is_full or is_moving

    async def read_on(
        self, gateway: Program, job_id: str, results: list[dict[str, Any]]
    ) -> bool:
        """Reads the results of a job beyond those that are known.

        Args:
            gateway: Where to read them.
            job_id: The job.
            results: Its results from the first position on; extended.

        Returns:
            Whether all its items are listed.
        """
        answer = await call(
            gateway.front,
            "GET",
            f"/v1/lots/{job_id}?after={len(results)}",
            {"Host": HOST_NAME, "X-Wait-Ms": "1000"},
        )
        if answer.status != 200:
            return False
        page = json.loads(answer.body)
        results += page["results"]
        return len(results) == page["total"]


def batch_route(service: str, prefix: str = "/pule252/") -> dict[str, Any]:
    """Returns a batch route as on the sheets."""
    return {
        "name": "r-batch",
        "host": HOST_NAME,
        "path-prefix": prefix,
        "kind": "batch",
        "timeout-ms": 15_000,
        "target-latency-ms": 400,
        "priority": 2,
        "service": service,
        "max-attempts": 3,
        "session-affinity": True,
        "resumable": True,
        "gap-aim-ms": 200,
        "completion-target-ms": 18_000,
        "retention-s": 60,
    }


@contextlib.asynccontextmanager
async def _site(has_trouble: bool, keep: str | None) -> AsyncIterator[Site]:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(keep or name)
        folder.mkdir(parents=True, exist_ok=True)
        site = Site(folder, has_trouble)
        try:
            site.spawn(site.store.expire_leases())
            yield site
        finally:
            for program in site.programs:
                program.kill()
            for task in site.tasks:
                task.cancel()


def main(
    folder: pathlib.Path, play: Callable[[Site], Awaitable[list[str]]]
) -> None:
    """Plays a case, writes its record and exits with its result.

    Args:
        folder: Folder of the case.
        play: Plays the case; returns how the rule was broken, if it was.
    """

    async def run() -> int:
        has_trouble = sys.argv[1:] != ["0"]
        async with _site(has_trouble, os.environ.get("KEEP")) as site:
            try:
                async with asyncio.timeout(115):
                    broken = await play(site)
            except (CannotRunError, TimeoutError) as error:
                site.log(f"cannot run: {error!r}")
                status = 2
            else:
                for line in broken:
                    site.log(f"BROKEN: {line}")
                status = 1 if broken else 0
            site.log(f"trouble={int(has_trouble)} exit={status}")
            rows = [
                f"{run.at - site.began_at:7.2f} server {run.server} "
                f"request {run.request} {run.path} after {run.after}: "
                f"{run.status}"
                for run in site.runs
            ]
            record = [*site.lines, "", "what reached the servers:", *rows]
            text = "\n".join(record) + "\n"
            (folder / "record.txt").write_text(text)
            return status

    sys.exit(asyncio.run(run()))

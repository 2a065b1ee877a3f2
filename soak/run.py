"""Runs a soak with one or more seeds; exits with status 1 if one fails."""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import random
import re
import shutil
import sys
import tempfile

import anyio
from absl import app, flags

from plumvane import clock
from soak.checks import find_violations
from soak.clients import (
    ConfigurationClient,
    JobClient,
    JobReader,
    Observations,
    RequestClient,
    Schedule,
)
from soak.faults import (
    FaultLog,
    inject_faults,
    report_exit,
    restart_ended,
)
from soak.fleet import MAX_PROCESSES, FleetSize, SoakFleet

__all__ = ["main", "soak"]

_SEED = flags.DEFINE_integer("seed", 1, "First seed.")
_SEEDS = flags.DEFINE_integer("seeds", 1, "Number of seeds.")
_SECONDS = flags.DEFINE_float("seconds", 15.0, "Seconds with faults per seed.")
_KEEP = flags.DEFINE_string(
    "keep", None, "Folder for the logs of failed seeds."
)

_GATEWAYS = flags.DEFINE_integer("gateways", 3, "Gateways.", lower_bound=1)
_WORKERS = flags.DEFINE_integer("workers", 3, "Workers.", lower_bound=1)
_SERVERS = flags.DEFINE_integer(
    "servers",
    4,
    "Model engines; there are half as many plain services.",
    lower_bound=4,
)
_CLIENTS = flags.DEFINE_integer(
    "clients",
    12,
    "Clients that send requests; for every three of them, two submit jobs.",
    lower_bound=4,
)

# A rule of the platform, in capitals before a violation.
RULE_PATTERN = re.compile(r"\b([A-Z]{4,}): ")
DEFAULT_SIZE = FleetSize()
# Request clients for each client that submits jobs, and for each reader. Each
# worker should own open jobs most of the time.
CLIENTS_PER_JOB_CLIENT = 1.5
CLIENTS_PER_READER = 4
# Route beside the fixed ones in the first configuration.
FIRST_EXTRA_ROUTE = "extra"
# Seconds allowed for the start of gateways and workers after they listen.
STARTUP_S = 3.0
# Seconds after the end of fault injection for which clients go on sending, and
# within which all accepted jobs must have all their results.
RECOVERY_TRAFFIC_S = 10.0
COMPLETION_TIMEOUT_S = 25.0
# Seconds allowed for reading all results again in the end.
FINAL_READS_TIMEOUT_S = 15.0


def main() -> None:
    """Runs the soak from the command line."""
    app.run(_run_all)


def _run_all(argv: list[str]) -> None:
    del argv
    size = FleetSize(
        gateways=_GATEWAYS.value,
        workers=_WORKERS.value,
        engines=_SERVERS.value,
        services=_SERVERS.value // 2,
    )
    if sum(dataclasses.astuple(size)) > MAX_PROCESSES:
        raise app.UsageError(f"Over {MAX_PROCESSES} processes.")
    failed_seeds = 0
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        violations, summary = soak(
            seed,
            _SECONDS.value,
            size=size,
            clients=_CLIENTS.value,
            keep=_KEEP.value,
        )
        failed_seeds += bool(violations)
        print(
            f"seed {seed}: {len(violations)} violations"
            f"{_counts_by_rule(violations)}; {summary}",
            flush=True,
        )
        for violation in violations[:20]:
            print(f"  {violation}", flush=True)
    print(f"{failed_seeds} of {_SEEDS.value} seeds violated a guarantee")
    sys.exit(failed_seeds > 0)


def _counts_by_rule(violations: list[str]) -> str:
    """Returns the counts of those violations that name their rule."""
    found = [RULE_PATTERN.search(violation) for violation in violations]
    counts = collections.Counter(match[1] for match in found if match)
    return "".join(f", {rule}: {n}" for rule, n in sorted(counts.items()))


def soak(
    seed: int,
    seconds: float,
    *,
    size: FleetSize = DEFAULT_SIZE,
    clients: int = 12,
    keep: str | None = None,
) -> tuple[list[str], str]:
    """Runs the soak with one seed.

    Args:
        seed: Seeds the random choice of faults, targets and requests.
        seconds: Seconds for which faults are injected.
        size: Numbers of processes.
        clients: Number of clients that send requests.
        keep: Folder to which the logs are copied if a guarantee was violated.

    Returns:
        The violated guarantees, and a one-line summary.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        fleet = SoakFleet(folder, size)
        try:
            fleet.wait_started()
            violations, summary = anyio.run(
                _run_seed, fleet, seed, seconds, clients
            )
        finally:
            fleet.close()
        if violations and keep is not None:
            target = pathlib.Path(keep) / f"seed-{seed}"
            shutil.copytree(folder, target, dirs_exist_ok=True)
            (target / "errors.txt").write_text("\n".join(violations))
    return violations, summary


async def _run_seed(
    fleet: SoakFleet, seed: int, seconds: float, clients: int
) -> tuple[list[str], str]:
    observations, log = Observations(), FaultLog()
    fleet.has_soak_teams = True
    fleet.extra_routes.append(FIRST_EXTRA_ROUTE)
    await fleet.write_configuration()
    await anyio.sleep(STARTUP_S)
    schedule = Schedule()
    reader = JobReader(fleet, observations, random.Random(f"{seed} reader"))
    async with anyio.create_task_group() as watchers:
        async with anyio.create_task_group() as group:
            for number in range(clients):
                rng = random.Random(f"{seed} request {number}")
                client = RequestClient(fleet, observations, rng)
                group.start_soon(client.run, schedule)
            for number in range(int(clients / CLIENTS_PER_JOB_CLIENT)):
                rng = random.Random(f"{seed} job {number}")
                group.start_soon(
                    JobClient(fleet, observations, rng).run, schedule
                )
            for number in range(clients // CLIENTS_PER_READER):
                rng = random.Random(f"{seed} reader {number}")
                group.start_soon(
                    JobReader(fleet, observations, rng).run, schedule
                )
            await inject_faults(fleet, random.Random(seed), log, seconds)
            faults_ended_at = clock.wall()
            watchers.start_soon(restart_ended, fleet, log)
            now = clock.monotonic()
            schedule.jobs_until = now + RECOVERY_TRAFFIC_S / 2
            schedule.requests_until = now + RECOVERY_TRAFFIC_S
            schedule.jobs_finished_by = now + COMPLETION_TIMEOUT_S
            rng = random.Random(f"{seed} configuration")
            group.start_soon(ConfigurationClient(fleet, observations, rng).run)
        watchers.cancel_scope.cancel()
    for process in (*fleet.programs, *fleet.servers):
        report_exit(process, log)
    await reader.read_all_again(clock.monotonic() + FINAL_READS_TIMEOUT_S)
    violations = find_violations(
        observations,
        log,
        fleet.executions(),
        faults_ended_at,
        fleet.arrivals(),
        fleet.program_logs(),
    )
    counts = sorted(observations.statuses.items())
    status_counts = ", ".join(f"{label}: {count}" for label, count in counts)
    return violations, f"{len(log.rows)} faults; {status_counts}"


if __name__ == "__main__":
    main()

"""Runs a soak with one seed or several; ends with status 1 if one broke."""

from __future__ import annotations

import pathlib
import random
import shutil
import sys
import tempfile

import anyio
from absl import app, flags

from plumvane import clock
from soak.checks import find_violations
from soak.clients import JobClient, Observations, RequestClient
from soak.faults import FaultLog, inject_faults
from soak.fleet import SoakFleet

__all__ = ["main", "soak"]

_SEED = flags.DEFINE_integer("seed", 1, "First seed.")
_SEEDS = flags.DEFINE_integer("seeds", 1, "Number of seeds.")
_SECONDS = flags.DEFINE_float("seconds", 15.0, "Seconds with faults, a seed.")
_KEEP = flags.DEFINE_string("keep", None, "Folder for logs of broken seeds.")

REQUEST_CLIENTS = 12
JOB_CLIENTS = 3
# Time for the start of all processes, in seconds.
START_S = 4.0
# Time after the last fault in which callers go on, and until all jobs must be
# listed, in seconds.
CALM_S = 10.0
FINISH_S = 25.0


def main() -> None:
    """Runs the program."""
    app.run(_run_all)


def _run_all(argv: list[str]) -> None:
    del argv
    broken = 0
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        errors, summary = soak(seed, _SECONDS.value, keep=_KEEP.value)
        broken += bool(errors)
        print(f"seed {seed}: {len(errors)} broken; {summary}", flush=True)
        for error in errors[:20]:
            print(f"  {error}", flush=True)
    print(f"{broken} of {_SEEDS.value} seeds broke a promise")
    sys.exit(broken > 0)


def soak(
    seed: int, seconds: float, *, keep: str | None = None
) -> tuple[list[str], str]:
    """Plays one seed.

    Args:
        seed: Draws faults, targets and requests.
        seconds: Time with faults.
        keep: Folder that takes the logs if a promise was broken.

    Returns:
        The broken promises, and what happened in one line.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        fleet = SoakFleet(folder)
        try:
            errors, summary = anyio.run(_play, fleet, seed, seconds)
        finally:
            fleet.close()
        if errors and keep is not None:
            target = pathlib.Path(keep) / f"seed-{seed}"
            shutil.copytree(folder, target, dirs_exist_ok=True)
            (target / "errors.txt").write_text("\n".join(errors))
    return errors, summary


async def _play(
    fleet: SoakFleet, seed: int, seconds: float
) -> tuple[list[str], str]:
    observed, log = Observations(), FaultLog()
    await fleet.write_configuration()
    await anyio.sleep(START_S)
    faults_end = clock.monotonic() + seconds
    # Faults that have begun may last a little longer.
    clients_end = faults_end + CALM_S + 5.0
    final = faults_end + FINISH_S
    healed_at = clock.wall()
    async with anyio.create_task_group() as group:
        for number in range(REQUEST_CLIENTS):
            rng = random.Random(f"{seed} request {number}")
            client = RequestClient(fleet, observed, rng)
            group.start_soon(client.run, clients_end)
        for number in range(JOB_CLIENTS):
            rng = random.Random(f"{seed} job {number}")
            jobs = JobClient(fleet, observed, rng)
            group.start_soon(jobs.run, faults_end + CALM_S / 2, final)
        await inject_faults(fleet, random.Random(seed), log, seconds)
        healed_at = clock.wall()
    errors = find_violations(observed, log, fleet.executions(), healed_at)
    counts = sorted(observed.statuses.items())
    shown = ", ".join(f"{what}: {count}" for what, count in counts)
    return errors, f"{len(log.rows)} faults; {shown}"


if __name__ == "__main__":
    main()

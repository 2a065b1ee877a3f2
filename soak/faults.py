"""Faults of a soak, put in from outside the processes."""

from __future__ import annotations

import dataclasses
import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from plumvane import clock
from soak.fleet import SoakFleet
from standins.launcher import Process

__all__ = ["FAULTS_BY_NAME", "FaultLog", "inject_faults"]

# Pause before a killed process is started again, in seconds.
RESTART_S = 0.3
# Longest time of one fault, in seconds.
LONGEST_S = 4.0
# Pauses between the starts of two faults, in seconds; they overlap.
PAUSES_S = (0.0, 0.2, 0.5, 1.0, 2.0)
# Time for which a program may take to end after SIGTERM, in seconds.
GRACE_S = 8.0


@dataclasses.dataclass
class FaultLog:
    """The faults that were put in.

    Attributes:
        rows: Name, target, and Unix times of start and end of each.
        errors: What the processes did that they must not do.
    """

    rows: list[tuple[str, str, float, float]] = dataclasses.field(
        default_factory=list
    )
    errors: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Context:
    """What a fault works on.

    Attributes:
        fleet: The processes.
        rng: Draws targets and times.
        log: Takes what was done.
        busy: Names of processes that a fault has stopped.
    """

    fleet: SoakFleet
    rng: random.Random
    log: FaultLog
    busy: set[str] = dataclasses.field(default_factory=set)

    def span_s(self) -> float:
        """Draws the time of a fault in seconds."""
        return self.rng.uniform(0.2, LONGEST_S)

    def free(self, processes: list[Process]) -> Process | None:
        """Draws a process that no other fault has stopped."""
        found = [p for p in processes if p.name not in self.busy]
        return self.rng.choice(found) if found else None


Fault = Callable[[Context], Awaitable[str]]
FAULTS_BY_NAME: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Registers a fault, which returns its target, by its function's name."""
    FAULTS_BY_NAME[getattr(function, "__name__", "")] = function
    return function


async def inject_faults(
    fleet: SoakFleet, rng: random.Random, log: FaultLog, seconds: float
) -> None:
    """Puts faults in for some time, several at once, and heals all."""
    context = Context(fleet, rng, log)
    deadline = clock.monotonic() + seconds
    async with anyio.create_task_group() as group:
        while clock.remaining(deadline) > 0:
            name = rng.choice(sorted(FAULTS_BY_NAME))
            group.start_soon(_run, name, context)
            await anyio.sleep(rng.choice(PAUSES_S))
    for routes in fleet.routes_by_process.values():
        for route in routes:
            fleet.set_faults(route)
    fleet.set_store_faults()


async def _run(name: str, context: Context) -> None:
    started = clock.wall()
    target = await FAULTS_BY_NAME[name](context)
    context.log.rows.append((name, target, started, clock.wall()))


async def _restart(context: Context, process: Process) -> None:
    await anyio.sleep(RESTART_S)
    process.start()
    context.busy.discard(process.name)


@fault
async def kill(context: Context) -> str:
    """Kills a process; it starts again."""
    fleet = context.fleet
    process = context.free([*fleet.programs, *fleet.servers])
    if process is None:
        return ""
    context.busy.add(process.name)
    process.kill()
    await _restart(context, process)
    return process.name


@fault
async def kill_all_programs(context: Context) -> str:
    """Kills all programs of the system at the same moment."""
    found = [p for p in context.fleet.programs if p.name not in context.busy]
    context.busy.update(p.name for p in found)
    for process in found:
        process.kill()
    for process in found:
        await _restart(context, process)
    return "programs"


@fault
async def terminate(context: Context) -> str:
    """Stops a process gracefully; it starts again."""
    fleet = context.fleet
    process = context.free([*fleet.programs, *fleet.servers])
    if process is None or process.popen is None:
        return ""
    context.busy.add(process.name)
    process.signal(signal.SIGTERM)
    with anyio.move_on_after(GRACE_S):
        while process.popen.poll() is None:
            await anyio.sleep(0.05)
    if process.popen.poll() is None:
        context.log.errors.append(f"{process.name} outlived SIGTERM")
        process.kill()
    await _restart(context, process)
    return process.name


@fault
async def pause(context: Context) -> str:
    """Stops a process without its knowledge and lets it go on."""
    fleet = context.fleet
    process = context.free([*fleet.programs, *fleet.servers])
    if process is None:
        return ""
    context.busy.add(process.name)
    process.signal(signal.SIGSTOP)
    await anyio.sleep(context.span_s())
    process.signal(signal.SIGCONT)
    context.busy.discard(process.name)
    return process.name


@fault
async def reload(context: Context) -> str:
    """Has a program read its settings again."""
    process = context.free(context.fleet.programs)
    if process is None:
        return ""
    process.signal(signal.SIGHUP)
    return process.name


async def _spoil(context: Context, mode: str, **more: object) -> str:
    """Sets a fault of one way between two processes for a while."""
    routes = sorted(sum(context.fleet.routes_by_process.values(), []))
    route = context.rng.choice(routes)
    context.fleet.set_faults(route, mode=mode, **more)
    await anyio.sleep(context.span_s())
    context.fleet.set_faults(route)
    return route


@fault
async def cut(context: Context) -> str:
    """Resets the connections of a way and refuses new ones."""
    return await _spoil(context, "cut")


@fault
async def silence(context: Context) -> str:
    """Lets nothing through on a way, without a word."""
    return await _spoil(context, "freeze")


@fault
async def silence_one_way(context: Context) -> str:
    """Lets nothing through in one direction."""
    return await _spoil(
        context, context.rng.choice(("freeze_in", "freeze_out"))
    )


@fault
async def silence_open_connections(context: Context) -> str:
    """Silences the open connections of a way; new ones work."""
    return await _spoil(context, "freeze", new_pass=True)


@fault
async def delay(context: Context) -> str:
    """Delays a way."""
    return await _spoil(context, "pass", delay_s=context.rng.uniform(0.02, 0.4))


@fault
async def refuse_store_calls(context: Context) -> str:
    """Has the store refuse all calls."""
    context.fleet.set_store_faults(refusal=context.rng.choice((429, 503)))
    await anyio.sleep(context.span_s())
    context.fleet.set_store_faults()
    return "store"


@fault
async def forget_history(context: Context) -> str:
    """Has the store forget its history."""
    context.fleet.set_store_faults(forget_history=True)
    return "store"


@fault
async def change_configuration(context: Context) -> str:
    """Adds or removes a route."""
    names = context.fleet.extra_routes
    if names and context.rng.random() < 0.5:
        names.pop()
    else:
        names.append(f"extra-{context.fleet.version}")
    await context.fleet.write_configuration()
    return f"version {context.fleet.version}"

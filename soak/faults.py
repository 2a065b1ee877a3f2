"""Faults that a soak injects from outside the processes."""

from __future__ import annotations

import dataclasses
import random
import signal
from collections.abc import Awaitable, Callable, Collection

import anyio

from plumvane import clock
from plumvane.httppool import NETWORK_ERRORS
from soak.fleet import SoakFleet
from standins.launcher import Process

__all__ = [
    "FAULTS_BY_NAME",
    "FaultLog",
    "inject_faults",
    "report_exit",
    "restart_ended",
]

# Range of the pauses of owners of jobs, in seconds: longer than the lease of a
# worker, so that another one takes over while the owner still holds results.
OWNER_PAUSES_S = (3.0, 6.0)
# Range of the times for which programs are cut from the store, in seconds.
CUT_S = (4.0, 9.0)
# Delays of the blocks of bytes of a slow store, in seconds, and the time for
# which it is slow after such a pause.
STORE_DELAYS_S = (0.2, 0.4)
SLOW_STORE_S = 2.0
# Delays in seconds between the signals of one series.
SIGNAL_INTERVALS_S = (0.0, 0.1, 0.5, 1.5, 3.0)
# Series of signals that a program gets one after the other.
SIGNAL_SERIES: tuple[tuple[signal.Signals, ...], ...] = (
    (signal.SIGHUP, signal.SIGTERM, signal.SIGKILL),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGKILL),
    (signal.SIGTERM, signal.SIGSTOP, signal.SIGCONT),
    (signal.SIGSTOP, signal.SIGTERM, signal.SIGCONT, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGSTOP, signal.SIGKILL),
)
# Delay in seconds before a stopped process is restarted.
RESTART_DELAY_S = 0.3
# Maximum duration of one fault in seconds.
MAX_DURATION_S = 4.0
# Intervals in seconds between the starts of two faults; faults overlap.
START_INTERVALS_S = (0.0, 0.2, 0.5, 1.0, 2.0)
# Intervals in seconds between the restarts of the processes of one service.
RESTART_INTERVALS_S = (0.2, 0.6, 1.5)
# Interval of checks for processes that have exited, in seconds.
EXIT_POLL_S = 0.05
# Limits that engines name, in requests per second.
MAX_RATES = (1.0, 2.5, 6.0)
# Most configurations that are written in a row.
MAX_CONFIGURATIONS = 4
# Seconds within which a process must exit after SIGTERM.
TERMINATION_TIMEOUT_S = 8.0


@dataclasses.dataclass
class FaultLog:
    """The faults that were injected.

    Attributes:
        rows: Name, target, and Unix times in seconds of start and end of each.
        errors: Violations seen while injecting faults, one line each.
    """

    rows: list[tuple[str, str, float, float]] = dataclasses.field(
        default_factory=list
    )
    errors: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class FaultContext:
    """State shared by the faults of one soak.

    Attributes:
        fleet: The processes.
        rng: Draws targets and durations.
        log: Record of the faults.
        deadline: Monotonic time in seconds after which no step of a fault
            starts.
        unavailable: Names of processes that are killed or stopped by a fault.
    """

    fleet: SoakFleet
    rng: random.Random
    log: FaultLog
    deadline: float
    unavailable: set[str] = dataclasses.field(default_factory=set)

    def draw_duration_s(self) -> float:
        """Draws the duration of a fault in seconds."""
        return self.rng.uniform(0.2, MAX_DURATION_S)

    def pick_process(self, processes: list[Process]) -> Process | None:
        """Draws a process that no other fault has killed or stopped."""
        targets = [p for p in processes if p.name not in self.unavailable]
        return self.rng.choice(targets) if targets else None


Fault = Callable[[FaultContext], Awaitable[str]]
FAULTS_BY_NAME: dict[str, Fault] = {}
# Relative frequencies of the faults that are not drawn as often as the others.
WEIGHTS_BY_NAME = {"cut_from_store": 4, "pause_owners": 4}


def fault(function: Fault) -> Fault:
    """Registers a fault under its function's name.

    The function returns its target, or "" if there was none. Faults are drawn
    from the sorted names, so renaming one changes what a seed replays.
    """
    FAULTS_BY_NAME[getattr(function, "__name__", "")] = function
    return function


def _draw_name(rng: random.Random) -> str:
    names = sorted(FAULTS_BY_NAME)
    weights = [WEIGHTS_BY_NAME.get(name, 1) for name in names]
    return rng.choices(names, weights)[0]


async def inject_faults(
    fleet: SoakFleet, rng: random.Random, log: FaultLog, seconds: float
) -> None:
    """Injects overlapping faults for some seconds, then reverts all of them."""
    deadline = clock.monotonic() + seconds
    context = FaultContext(fleet, rng, log, deadline)
    async with anyio.create_task_group() as watchers:
        watchers.start_soon(restart_ended, fleet, log, context.unavailable)
        async with anyio.create_task_group() as group:
            while clock.remaining(deadline) > 0:
                name = _draw_name(rng)
                group.start_soon(_run, name, context)
                await anyio.sleep(rng.choice(START_INTERVALS_S))
        watchers.cancel_scope.cancel()
    for routes in fleet.routes_by_process.values():
        for route in routes:
            fleet.set_faults(route)
    fleet.set_store_faults()


def report_exit(process: Process, log: FaultLog) -> None:
    """Reports a process that has exited other than by a signal or a drain."""
    status = process.popen.poll() if process.popen is not None else None
    if status is not None and status > 0:
        log.errors.append(f"FAULT: {process.name} ended with status {status}")


async def restart_ended(
    fleet: SoakFleet, log: FaultLog, unavailable: Collection[str] = ()
) -> None:
    """Reports and restarts processes that end by themselves, until cancelled.

    Args:
        fleet: The processes.
        log: Record of the faults.
        unavailable: Names of processes that faults have killed or stopped.
    """
    while True:
        for process in (*fleet.programs, *fleet.servers):
            if process.name in unavailable or not process.has_exited():
                continue
            report_exit(process, log)
            process.start()
        await anyio.sleep(EXIT_POLL_S)


async def _run(name: str, context: FaultContext) -> None:
    started = clock.wall()
    target = await FAULTS_BY_NAME[name](context)
    context.log.rows.append((name, target, started, clock.wall()))


async def _restart(context: FaultContext, process: Process) -> None:
    await anyio.sleep(RESTART_DELAY_S)
    process.start()
    context.unavailable.discard(process.name)


@fault
async def kill(context: FaultContext) -> str:
    """Kills a process with SIGKILL and restarts it."""
    fleet = context.fleet
    process = context.pick_process([*fleet.programs, *fleet.servers])
    if process is None:
        return ""
    context.unavailable.add(process.name)
    process.kill()
    await _restart(context, process)
    return process.name


@fault
async def kill_all_programs(context: FaultContext) -> str:
    """Kills all gateways and workers at once and restarts them."""
    targets = [
        p for p in context.fleet.programs if p.name not in context.unavailable
    ]
    context.unavailable.update(p.name for p in targets)
    for process in targets:
        process.kill()
    for process in targets:
        await _restart(context, process)
    return "programs"


async def _wait_terminated(context: FaultContext, process: Process) -> None:
    """Waits for the exit of a process that got SIGTERM, and restarts it."""
    with anyio.move_on_after(TERMINATION_TIMEOUT_S):
        while not process.has_exited():
            await anyio.sleep(EXIT_POLL_S)
    if not process.has_exited():
        context.log.errors.append(
            f"{process.name} did not exit in time after SIGTERM"
        )
        process.kill()
    report_exit(process, context.log)
    await _restart(context, process)


@fault
async def terminate(context: FaultContext) -> str:
    """Stops a process with SIGTERM and restarts it."""
    fleet = context.fleet
    process = context.pick_process([*fleet.programs, *fleet.servers])
    if process is None:
        return ""
    context.unavailable.add(process.name)
    process.signal(signal.SIGTERM)
    await _wait_terminated(context, process)
    return process.name


@fault
async def signal_in_series(context: FaultContext) -> str:
    """Sends a program several signals in a row, also while it drains."""
    process = context.pick_process(context.fleet.programs)
    if process is None:
        return ""
    context.unavailable.add(process.name)
    series = context.rng.choice(SIGNAL_SERIES)
    for number in series:
        process.signal(number)
        await anyio.sleep(context.rng.choice(SIGNAL_INTERVALS_S))
    await _wait_terminated(context, process)
    return f"{process.name} {' '.join(number.name for number in series)}"


@fault
async def restart_in_turn(context: FaultContext) -> str:
    """Restarts all gateways or all workers one after the other.

    The restarts overlap if the interval is shorter than a drain.
    """
    fleet = context.fleet
    processes = context.rng.choice((fleet.gateways, fleet.workers))
    interval_s = context.rng.choice(RESTART_INTERVALS_S)
    async with anyio.create_task_group() as group:
        for process in processes:
            if clock.remaining(context.deadline) <= 0:
                break
            process.signal(signal.SIGHUP)
            if process.name not in context.unavailable:
                context.unavailable.add(process.name)
                process.signal(signal.SIGTERM)
                group.start_soon(_wait_terminated, context, process)
            await anyio.sleep(interval_s)
    return processes[0].role


@fault
async def pause_owners(context: FaultContext) -> str:
    """Suspends some workers for longer than their lease, but not all.

    Their connections to the store may be slow when they resume, so that they
    go on before they learn of their successors.
    """
    workers = context.fleet.workers
    targets = [w for w in workers if w.name not in context.unavailable]
    count = context.rng.randint(1, max(1, len(workers) - 1))
    targets = context.rng.sample(targets, min(count, len(targets)))
    context.unavailable.update(w.name for w in targets)
    for worker in targets:
        worker.signal(signal.SIGSTOP)
    await anyio.sleep(context.rng.uniform(*OWNER_PAUSES_S))
    delay_s = context.rng.choice((0.0, *STORE_DELAYS_S))
    for worker in targets:
        context.fleet.set_faults(f"{worker.name}-store", delay_s=delay_s)
        worker.signal(signal.SIGCONT)
        context.unavailable.discard(worker.name)
    await anyio.sleep(SLOW_STORE_S)
    for worker in targets:
        context.fleet.set_faults(f"{worker.name}-store")
    return " ".join(w.name for w in targets)


@fault
async def release(context: FaultContext) -> str:
    """Restarts a service's servers one after the other with another version.

    The end of injection stops it halfway; another release may overlap it.
    """
    service = context.rng.choice(("lm", "app"))
    version = f"v{context.rng.getrandbits(32):x}"
    is_crash = context.rng.random() < 0.3
    interval_s = context.rng.choice(RESTART_INTERVALS_S)
    servers = [s for s in context.fleet.servers if s.serves == service]
    async with anyio.create_task_group() as group:
        for server in servers:
            if clock.remaining(context.deadline) <= 0:
                break
            context.fleet.set_version(server, version)
            if server.name not in context.unavailable:
                context.unavailable.add(server.name)
                server.signal(signal.SIGKILL if is_crash else signal.SIGTERM)
                group.start_soon(_wait_terminated, context, server)
            await anyio.sleep(interval_s)
    return f"{service} {version}"


@fault
async def pause(context: FaultContext) -> str:
    """Suspends a process with SIGSTOP and resumes it with SIGCONT."""
    fleet = context.fleet
    process = context.pick_process([*fleet.programs, *fleet.servers])
    if process is None:
        return ""
    context.unavailable.add(process.name)
    process.signal(signal.SIGSTOP)
    await anyio.sleep(context.draw_duration_s())
    process.signal(signal.SIGCONT)
    context.unavailable.discard(process.name)
    return process.name


@fault
async def reload(context: FaultContext) -> str:
    """Has a gateway or worker reload its settings with SIGHUP.

    It may be draining, or paused, by another fault.
    """
    process = context.rng.choice(context.fleet.programs)
    process.signal(signal.SIGHUP)
    return process.name


async def _apply_route_faults(
    context: FaultContext, mode: str, **faults: object
) -> str:
    """Applies faults to a random proxy route for a random duration."""
    routes = sorted(sum(context.fleet.routes_by_process.values(), []))
    route = context.rng.choice(routes)
    context.fleet.set_faults(route, mode=mode, **faults)
    await anyio.sleep(context.draw_duration_s())
    context.fleet.set_faults(route)
    return route


@fault
async def cut(context: FaultContext) -> str:
    """Resets the open connections of a route and refuses new ones."""
    return await _apply_route_faults(context, "cut")


@fault
async def cut_from_store(context: FaultContext) -> str:
    """Cuts some programs from the store while the others reach it.

    Those that are cut may be unable to reach any peers either; the peers that
    reach the store then take over.
    """
    fleet = context.fleet
    targets = context.rng.sample(
        fleet.programs, context.rng.randint(1, len(fleet.programs) // 2)
    )
    mode = context.rng.choice(("cut", "freeze", "freeze_in", "freeze_out"))
    routes = [f"{program.name}-store" for program in targets]
    has_peers = context.rng.random() < 0.3
    if not has_peers:
        routes += [
            f"{p.name}-peers" for p in fleet.programs if p not in targets
        ]
    for route in routes:
        fleet.set_faults(route, mode=mode)
    await anyio.sleep(context.rng.uniform(*CUT_S))
    for route in routes:
        fleet.set_faults(route)
    reach = "with peers" if has_peers else "without peers"
    return f"{mode} {reach} {' '.join(program.name for program in targets)}"


@fault
async def silence(context: FaultContext) -> str:
    """Holds back all bytes on a route while its connections stay open."""
    return await _apply_route_faults(context, "freeze")


@fault
async def silence_one_way(context: FaultContext) -> str:
    """Holds back all bytes of a route in one direction."""
    return await _apply_route_faults(
        context, context.rng.choice(("freeze_in", "freeze_out"))
    )


@fault
async def silence_open_connections(context: FaultContext) -> str:
    """Holds back the bytes of a route's open connections; new ones work."""
    return await _apply_route_faults(context, "freeze", new_pass=True)


@fault
async def delay(context: FaultContext) -> str:
    """Delays the bytes on a route."""
    return await _apply_route_faults(
        context, "pass", delay_s=context.rng.uniform(0.02, 0.4)
    )


@fault
async def refuse_store_calls(context: FaultContext) -> str:
    """Has the store refuse all calls with status 429 or 503."""
    context.fleet.set_store_faults(refusal=context.rng.choice((429, 503)))
    await anyio.sleep(context.draw_duration_s())
    context.fleet.set_store_faults()
    return "store"


@fault
async def forget_history(context: FaultContext) -> str:
    """Has the store drop its history, so that watches must list again."""
    context.fleet.set_store_faults(forget_history=True)
    return "store"


@fault
async def crash_engines(context: FaultContext) -> str:
    """Has clients send requests on which the model engines crash, to the end.

    The engines are started again at once.
    """
    context.fleet.sends_crashing_part = True
    return "engines"


@fault
async def repeat_crashing_request(context: FaultContext) -> str:
    """Has clients repeat a request that crashes each server, to the end."""
    route = context.rng.choice(("note", "slip"))
    context.fleet.crashing_routes.add(route)
    return route


@fault
async def limit_engines(context: FaultContext) -> str:
    """Has up to half of the model engines limit their rate, to the end."""
    engines = [
        server
        for server in context.fleet.servers[: len(context.fleet.servers) // 3]
        if server.name not in context.unavailable and not server.has_exited()
    ]
    for engine in engines:
        max_rate = context.rng.choice(MAX_RATES)
        try:
            context.fleet.limit_rate(engine, max_rate)
        except NETWORK_ERRORS:
            # It ends just now; the next start has no limit.
            continue
    return " ".join(engine.name for engine in engines)


@fault
async def change_configuration(context: FaultContext) -> str:
    """Adds or removes routes of the configuration, one or more in a row."""
    route_names = context.fleet.extra_routes
    for _ in range(context.rng.randint(1, MAX_CONFIGURATIONS)):
        if route_names and context.rng.random() < 0.5:
            route_names.pop()
        else:
            route_names.append(f"extra-{context.fleet.version}")
        await context.fleet.write_configuration()
    return f"version {context.fleet.version}"

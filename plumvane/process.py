"""Start, signal handling and shutdown of a plumvane process."""

from __future__ import annotations

import gc
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.abc
import anyio.to_thread
from absl import app, flags

from plumvane import events, metrics, settings, web
from plumvane.errors import SettingsError

__all__ = ["freeze_startup_objects", "run_program", "supervise"]

EXIT_SETTINGS = 78
RESTART_DELAY_S = 0.5
# Delay after the start before metrics are configured, in seconds: importing
# OpenTelemetry takes CPU time that a restarted process needs for its callers.
METRICS_DELAY_S = 5.0

_SETTINGS = flags.DEFINE_string(
    "settings",
    os.environ.get("PLUMVANE_SETTINGS"),
    "Path of the INI file with the process's settings.",
)
_CHECK = flags.DEFINE_bool(
    "check", False, "Only check the settings, then exit."
)

S = TypeVar("S", bound=settings.ProgramSettings)
# Serves until the event is set, then drains and returns.
Serve = Callable[[S, anyio.Event], Awaitable[None]]


def run_program(model: type[S], serve: Serve[S]) -> None:
    """Reads the settings, serves until SIGTERM or SIGINT, then drains.

    Args:
        model: Settings model of the program.
        serve: Serves until the event is set, then drains.
    """

    def main(argv: list[str]) -> None:
        del argv
        checked = _load(model)
        if _CHECK.value:
            print(f"{_SETTINGS.value}: the settings are valid")
            return
        sink = events.configure()
        freeze_startup_objects()
        try:
            anyio.run(
                _serve_until_signal,
                checked,
                serve,
                backend_options={"use_uvloop": True},
            )
        except* SettingsError as errors:
            for error in _flatten(errors):
                print(error, file=sys.stderr)
            sys.exit(EXIT_SETTINGS)
        finally:
            sink.close()

    app.run(main)


def freeze_startup_objects() -> None:
    """Exempts all existing objects from later garbage collections.

    A full collection blocks all requests while it traverses the objects, and
    most objects of a newly started process belong to its modules.
    """
    gc.collect()
    gc.freeze()


def _is_settings_error(error: Exception) -> bool:
    if isinstance(error, ExceptionGroup):
        return error.subgroup(SettingsError) is not None
    return isinstance(error, SettingsError)


def _flatten(group: BaseExceptionGroup[SettingsError]) -> list[SettingsError]:
    found = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found.extend(_flatten(error))
        else:
            found.append(error)
    return found


async def supervise(run: Callable[[], Awaitable[None]]) -> None:
    """Runs a background task and restarts it after each exception.

    Args:
        run: The task, which should never return; if it does, it is not
            started again.

    Raises:
        SettingsError: The task cannot run with the settings, or an exception
            group with such an error.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            if _is_settings_error(error):
                raise
            events.log(
                events.Event.TASK_FAILED,
                task=getattr(run, "__qualname__", repr(run)),
                error=repr(error),
            )
            await anyio.sleep(RESTART_DELAY_S)


def _load(model: type[S]) -> S:
    try:
        if _SETTINGS.value is None:
            raise SettingsError(
                "No settings are given.", remedy="Name an INI file."
            )
        return settings.load(_SETTINGS.value, model)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)


async def _serve_until_signal(checked: S, serve: Serve[S]) -> None:
    stopping = anyio.Event()
    name = checked.process.name
    async with anyio.create_task_group() as group:
        group.start_soon(_handle_stop_signals, stopping)
        group.start_soon(_validate_settings_on_sighup, checked)
        events.log(events.Event.PROCESS_STARTED, name=name)
        if checked.metrics is not None:
            group.start_soon(_serve_metrics, checked.metrics.address)
        await serve(checked, stopping)
        group.cancel_scope.cancel()
    events.log(events.Event.PROCESS_STOPPED, name=name)


async def _serve_metrics(address: settings.Address) -> None:
    metrics.keep_until_configured()
    bound = web.bind(address.host, address.port)
    async with anyio.create_task_group() as group:
        group.start_soon(web.HttpServer(metrics.MetricsEndpoint(), bound).run)
        await anyio.sleep(METRICS_DELAY_S)
        await anyio.to_thread.run_sync(metrics.configure)


async def _handle_stop_signals(stopping: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            events.log(events.Event.PROCESS_LEAVING)
            stopping.set()


async def _validate_settings_on_sighup(
    checked: settings.ProgramSettings,
) -> None:
    """Validates the settings file on each SIGHUP.

    The new settings take effect only when the process restarts.
    """
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            try:
                found = settings.load(_SETTINGS.value or "", type(checked))
            except SettingsError as error:
                events.log(events.Event.SETTINGS_REFUSED, error=str(error))
            else:
                events.log(
                    events.Event.SETTINGS_READ, needs_restart=found != checked
                )

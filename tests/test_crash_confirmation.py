"""Which upstreams have crashed, seen by connections to real sockets."""

from __future__ import annotations

import random

import anyio
import anyio.abc

from plumvane import clock
from plumvane.discovery.view import FleetView
from plumvane.relay.liveness import Liveness, check_liveness
from plumvane.store.memory import MemoryStore
from plumvane.worker.confirmation import MIN_EXPIRY_S, CrashConfirmation
from standins.launcher import free_port
from tests.gateways import make_listed_upstream
from tests.workers import POLL_S, run_with_timeout

HOST = "127.0.0.1"
INCARNATION = ("u", 0)


async def close_at_once(stream: anyio.abc.SocketStream) -> None:
    """Accepts a connection as a proxy does whose server has ended."""
    await stream.aclose()


async def keep_open(stream: anyio.abc.SocketStream) -> None:
    """Accepts a connection and sends nothing."""
    async with stream:
        await anyio.sleep_forever()


def make_confirmation(port: int, **fields: object) -> CrashConfirmation:
    """Returns a confirmation that knows one upstream of a plain service."""
    view = FleetView(MemoryStore(), "a", random.Random(1))
    view.add_upstream(make_listed_upstream("u", host=HOST, port=port, **fields))
    return CrashConfirmation(view)


def has_crashed(confirmation: CrashConfirmation) -> bool:
    """Returns whether the upstream has crashed, under a request lost now."""
    now = clock.monotonic()
    return confirmation.has_crashed(INCARNATION, now, now)


def test_liveness_tells_open_closed_and_refused_connections_apart() -> None:
    async def steps() -> None:
        assert await check_liveness(HOST, free_port(HOST)) is Liveness.REFUSED
        for handler, expected in (
            (close_at_once, Liveness.CLOSED),
            (keep_open, Liveness.ALIVE),
        ):
            port = free_port(HOST)
            listener = await anyio.create_tcp_listener(
                local_host=HOST, local_port=port
            )
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, handler)
                assert await check_liveness(HOST, port) is expected
                group.cancel_scope.cancel()
            await listener.aclose()

    run_with_timeout(steps)


def test_plain_service_that_refuses_connections_has_crashed() -> None:
    async def steps() -> None:
        confirmation = make_confirmation(free_port(HOST))
        confirmation.request(INCARNATION)
        async with anyio.create_task_group() as group:
            group.start_soon(confirmation.run)
            while not has_crashed(confirmation):
                await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()
        assert confirmation.refuses_connections(INCARNATION)

    run_with_timeout(steps)


def test_plain_service_that_accepts_connections_has_not_crashed() -> None:
    async def steps() -> None:
        port = free_port(HOST)
        listener = await anyio.create_tcp_listener(
            local_host=HOST, local_port=port
        )
        confirmation = make_confirmation(port)
        lost_at = clock.monotonic()
        confirmation.request(INCARNATION)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, keep_open)
            group.start_soon(confirmation.run)
            while not confirmation.is_alive_after(INCARNATION, lost_at):
                await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()
        await listener.aclose()
        assert not has_crashed(confirmation)

    run_with_timeout(steps)


def test_plain_service_that_left_has_not_crashed() -> None:
    async def steps() -> None:
        confirmation = make_confirmation(free_port(HOST), is_draining=True)
        confirmation.request(INCARNATION)
        async with anyio.create_task_group() as group:
            group.start_soon(confirmation.run)
            while not confirmation.refuses_connections(INCARNATION):
                await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()
        assert not has_crashed(confirmation)

    run_with_timeout(steps)


def test_upstream_whose_entry_expired_after_a_loss_has_crashed() -> None:
    view = FleetView(MemoryStore(), "a", random.Random(1))
    view.add_upstream(make_listed_upstream("u"))
    confirmation = CrashConfirmation(view)
    view.upstreams.remove("u")
    now = clock.monotonic()
    assert confirmation.has_crashed(INCARNATION, now - 2 * MIN_EXPIRY_S, now)


def test_upstream_that_serves_on_after_its_entry_ended_has_not_crashed() -> (
    None
):
    view = FleetView(MemoryStore(), "a", random.Random(1))
    view.add_upstream(make_listed_upstream("u"))
    confirmation = CrashConfirmation(view)
    view.upstreams.remove("u")
    now = clock.monotonic()
    assert not confirmation.has_crashed(INCARNATION, now, now)

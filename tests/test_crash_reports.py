"""Observations reach workers that did not reply for a while."""

from __future__ import annotations

import types
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from plumvane import clock
from plumvane.discovery.crash_reports import (
    MAX_AGE_S,
    MAX_UNREPORTED,
    Loss,
    Observations,
    ReportSender,
)
from plumvane.discovery.relayed import PeerEntry
from plumvane.errors import LinkLostError
from plumvane.peers.messages import Done, Message
from plumvane.peers.messages.prompts import ReportPrompts
from plumvane.serving.crashes import AnswerState
from plumvane.serving.upstreams import Upstream
from tests.gateways import make_listed_upstream
from tests.workers import POLL_S, run_with_timeout

# Seconds for which the workers do not reply, longer than the confirmation of a
# crash takes.
OUTAGE_S = 2.5


class Workers:
    """Workers that are called without a network.

    Attributes:
        silent: Whether calls fail.
        reports: Reports that were taken.
    """

    def __init__(self, count: int) -> None:
        self.links = self
        self.peers_by_name = {
            f"w{n}": PeerEntry(f"w{n}", "worker") for n in range(count)
        }
        self.silent = False
        self.reports: list[ReportPrompts] = []

    async def call(
        self, address: str, message: Message, *, deadline: float
    ) -> Message:
        """Passes a report to a worker."""
        if self.silent:
            raise LinkLostError("lost")
        assert isinstance(message, ReportPrompts)
        self.reports.append(message)
        return Done()

    def lost(self) -> list[str]:
        """Returns the fingerprints of the requests that were reported."""
        return [row.fingerprint for r in self.reports for row in r.lost]


def make_observations(*fingerprints: str, age_s: float = 0.0) -> Observations:
    """Returns losses of some requests."""
    at = clock.monotonic() - age_s
    upstream = Upstream(make_listed_upstream("u"))
    observations = Observations(answer_count=1)
    for fingerprint in fingerprints:
        observations.losses.append(
            Loss(upstream, (), fingerprint, AnswerState.BEGUN, at - 0.1, at)
        )
    return observations


def run_sender(
    workers: Workers, steps: Callable[[Callable[..., None]], Awaitable[None]]
) -> None:
    """Runs steps with a function that sends observations."""
    peers: Any = types.SimpleNamespace(
        links=workers.links, peers_by_name=workers.peers_by_name
    )

    async def run() -> None:
        sender = ReportSender("g", peers)
        async with anyio.create_task_group() as group:
            await steps(lambda seen: sender.send(seen, group))
            group.cancel_scope.cancel()

    run_with_timeout(run)


# Guards against BUDGET: while no worker replied, the evidence was lost, and
# requests that crash upstreams went on (soak seed 585).
def test_losses_are_reported_once_the_workers_reply_again() -> None:
    workers = Workers(2)
    workers.silent = True

    async def steps(send: Callable[..., None]) -> None:
        for number in range(3):
            send(make_observations(f"f{number}"))
            await anyio.sleep(OUTAGE_S / 3)
        workers.silent = False
        while len(workers.reports) < 2:
            await anyio.sleep(POLL_S)

    run_sender(workers, steps)
    assert sorted(workers.lost()) == ["f0", "f0", "f1", "f1", "f2", "f2"]
    row = workers.reports[0].lost[0]
    assert OUTAGE_S <= row.age_s < MAX_AGE_S
    assert [report.answer_count for report in workers.reports] == [3, 3]


def test_worker_that_starts_later_gets_what_was_observed_before() -> None:
    workers = Workers(0)

    async def steps(send: Callable[..., None]) -> None:
        send(make_observations("f0"))
        workers.peers_by_name["w"] = PeerEntry("w", "worker")
        send(make_observations("f1"))
        while not workers.reports:
            await anyio.sleep(POLL_S)

    run_sender(workers, steps)
    assert workers.lost() == ["f0", "f1"]


def test_old_and_excess_observations_are_dropped() -> None:
    observations = make_observations("old", age_s=2 * MAX_AGE_S)
    observations.add(make_observations("new"))
    observations.drop_old()
    assert [loss.fingerprint for loss in observations.losses] == ["new"]
    for number in range(2 * MAX_UNREPORTED):
        observations.add(make_observations(f"f{number}"))
        observations.add_cleared(f"p{number}", clock.monotonic())
    assert len(observations.losses) == MAX_UNREPORTED
    assert len(observations.cleared_at_by_part) == MAX_UNREPORTED

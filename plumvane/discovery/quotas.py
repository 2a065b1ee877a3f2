"""Quotas of teams over all instances.

A worker keeps the account of a team. This instance reports to it what it has
admitted, and asks it about the requests of teams that are near their quota.
"""

from __future__ import annotations

import collections

import anyio

from plumvane import clock, events, metrics
from plumvane.discovery.grantors import Grantors
from plumvane.discovery.loads import WORKER_ROLE
from plumvane.discovery.relayed import RelayedStore
from plumvane.discovery.view import FleetView
from plumvane.errors import QuotaExceededError
from plumvane.metrics import Metric
from plumvane.peers.messages import Message
from plumvane.peers.messages.quotas import (
    QuotaReported,
    QuotaTaken,
    ReportQuotas,
    TakeQuota,
    TeamCount,
)
from plumvane.peers.server import Call, PeerServer
from plumvane.serving.counts import LargestCount
from plumvane.serving.quotas import (
    REPORT_S,
    Grant,
    GrantorSeat,
    QuotaAccounts,
    QuotaBounds,
    QuotaMeter,
)
from plumvane.serving.teams import Team
from plumvane.settings import QuotasSection

__all__ = ["QuotaGrantor", "Quotas", "quota_bounds"]

# Registered role of the instances that admit requests.
GATEWAY_ROLE = "gateway"
# Time for which a worker that did not reply is not asked, in seconds: while
# some ask it again and others still ask its deputy, both grant.
SILENCE_S = 1.0
# Workers that keep the account of a team: the first of the ranking, and those
# that stand in for it. With one more than permits have, two may be lost.
WORKERS_ASKED = 3
# Names of the sources of a decision, in logs and metrics.
MARGIN, GRANTOR, DEPUTY, OWN_SHARE = "margin", "grantor", "deputy", "own share"


class Quotas:
    """Takes a place in its team's quota for each request of this instance."""

    def __init__(
        self,
        peers: RelayedStore | None,
        bounds: QuotaBounds,
        view: FleetView | None = None,
    ) -> None:
        """Creates the quotas of an instance that admits requests.

        Args:
            peers: Finds and calls workers; None if there are none.
            bounds: How far quotas may be exceeded.
            view: Configuration in force; None if its version is not known.
        """
        self._peers = peers
        self._view = view
        self._meter = QuotaMeter(bounds)
        self._grantors = Grantors(
            peers,
            events.Event.QUOTAS_SILENT,
            silence_s=SILENCE_S,
            asked=WORKERS_ASKED,
        )
        self._has_counts = anyio.Event()
        self._count = LargestCount()
        self._instances = 1
        self._counted_at = float("-inf")

    async def run(self) -> None:
        """Reports what was admitted until cancelled."""
        while True:
            await self._has_counts.wait()
            await anyio.sleep(REPORT_S)
            self._has_counts = anyio.Event()
            await self.report()

    async def take(self, team: Team, request_id: str) -> str:
        """Takes a place in a team's quota.

        Args:
            team: The team, in the configuration in force.
            request_id: Identifier of the request, for the log.

        Returns:
            Which source admitted the request, for `give_back`.

        Raises:
            QuotaExceededError: There is none; the error says when there will
                be one for this caller.
        """
        if team.max_rate <= 0:
            return MARGIN
        if self._meter.admit(team, self._count_instances()):
            self._has_counts.set()
            _record("admitted", MARGIN)
            return MARGIN
        grant, source, worker = await self._ask(team)
        if not grant.wait_s:
            if source == OWN_SHARE:
                self._has_counts.set()
            _record("admitted", source)
            return source
        _record("refused", source)
        events.log(
            events.Event.QUOTA_EXCEEDED,
            request=request_id,
            team=team.name,
            max_rate=team.max_rate,
            burst=team.burst,
            tokens=round(grant.tokens, 2),
            wait_s=round(grant.wait_s, 3),
            source=source,
            worker=worker,
            age_s=round(grant.age_s, 2),
        )
        raise QuotaExceededError(
            f"Team {team.name!r} is over its quota of {team.max_rate:g} "
            f"requests/s and {team.burst:g} at once.",
            not_run=True,
            retry_after_s=grant.wait_s,
        )

    def give_back(self, team: Team, source: str) -> None:
        """Returns the place of a request that no upstream has run.

        Args:
            team: The team.
            source: Which source admitted the request.
        """
        if team.max_rate > 0:
            self._meter.give_back(team, is_own=source == OWN_SHARE)
            self._has_counts.set()

    async def report(self) -> None:
        """Reports what was admitted, in one message to each worker."""
        teams_by_worker = collections.defaultdict(list)
        for team, _ in self._meter.unreported():
            for first, worker in self._reachable(team):
                teams_by_worker[worker, first].append(team)
                break
            else:
                # No worker can be asked now: this report is still due.
                self._has_counts.set()
        async with anyio.create_task_group() as group:
            for (worker, first), teams in teams_by_worker.items():
                group.start_soon(self._report, worker, first, teams)

    async def _report(self, worker: str, first: str, teams: list[Team]) -> None:
        rows = tuple(self._row(team, self._meter.send(team)) for team in teams)
        reply = None
        try:
            reply = await self._grantors.ask(
                worker, ReportQuotas(rows, first), QuotaReported
            )
        finally:
            for team, row in zip(teams, rows, strict=True):
                if reply is None:
                    self._meter.restore(team, row.count)
                else:
                    is_near = team.name in reply.near
                    self._meter.settle(team, row.count, is_near)
            if reply is None:
                self._has_counts.set()

    async def _ask(self, team: Team) -> tuple[Grant, str, str]:
        """Returns a decision, and which kind of source and worker made it."""
        for first, worker in self._reachable(team):
            row = self._row(team, self._meter.send(team))
            reply = None
            try:
                reply = await self._grantors.ask(
                    worker, TakeQuota(row, first), QuotaTaken
                )
            finally:
                if reply is None:
                    self._meter.restore(team, row.count)
            if reply is not None:
                self._meter.settle(team, row.count, reply.is_near)
                grant = Grant(
                    reply.wait_s, reply.is_near, reply.tokens, reply.age_s
                )
                return grant, DEPUTY if first else GRANTOR, worker
        grant = self._meter.take_own(
            team, self._count_instances(), clock.monotonic()
        )
        return grant, OWN_SHARE, ""

    def _row(self, team: Team, count: int) -> TeamCount:
        """Returns a count with the quota in force, and its version."""
        routes = self._view.routes if self._view is not None else None
        version = 0
        if routes is not None and routes.teams is not None:
            known = routes.teams.teams_by_name.get(team.name)
            if known is not None:
                team, version = known, routes.version
        return TeamCount(team.name, team.max_rate, team.burst, count, version)

    def _reachable(self, team: Team) -> list[tuple[str, str]]:
        """Returns pairs of a worker stood in for, if any, and one to ask."""
        workers = self._grantors.ranked(team.name)
        return [
            (workers[0] if worker != workers[0] else "", worker)
            for worker in workers
            if not self._grantors.is_silent(worker)
        ]

    def _count_instances(self) -> int:
        now = clock.monotonic()
        if now - self._counted_at >= REPORT_S:
            self._counted_at = now
            listed = _count_gateways(self._peers)
            self._instances = self._count.update(listed, now)
        return self._instances


class QuotaGrantor:
    """Keeps the accounts of teams at a worker."""

    def __init__(
        self, peers: RelayedStore | None, view: FleetView, bounds: QuotaBounds
    ) -> None:
        """Creates a grantor without accounts.

        Args:
            peers: Lists the instances; None if there are none.
            view: Configuration in force.
            bounds: How far quotas may be exceeded.
        """
        self._peers = peers
        self._view = view
        self._count = LargestCount()
        self._accounts = QuotaAccounts(bounds, clock.monotonic())

    def serve(self, server: PeerServer) -> None:
        """Registers the handlers of the messages about quotas."""
        server.handle(TakeQuota, self._handle_take)
        server.handle(ReportQuotas, self._handle_report)

    async def _handle_take(self, call: Call, message: TakeQuota) -> Message:
        now = clock.monotonic()
        grant = self._accounts.take(
            self._team(message.team),
            message.team.count,
            self._seat(call.peer_name, message.first, now),
            now,
        )
        return QuotaTaken(
            grant.wait_s, grant.is_near, grant.tokens, grant.age_s
        )

    async def _handle_report(
        self, call: Call, message: ReportQuotas
    ) -> Message:
        now = clock.monotonic()
        seat = self._seat(call.peer_name, message.first, now)
        return QuotaReported(
            tuple(
                row.team
                for row in message.counts
                if self._accounts.report(self._team(row), row.count, seat, now)
            )
        )

    def _seat(self, instance: str, first: str, now: float) -> GrantorSeat:
        peers = self._peers.peers_by_name if self._peers else {}
        workers = (
            name for name, entry in peers.items() if entry.role == WORKER_ROLE
        )
        self._accounts.update_grantors(frozenset(workers), now)
        gateways = self._count.update(_count_gateways(self._peers), now)
        return self._accounts.seat(instance, first, gateways, now)

    def _team(self, row: TeamCount) -> Team:
        """Returns a team as configured by the newer version."""
        routes = self._view.routes
        if routes is not None and row.version > routes.version:
            return Team(row.team, max_rate=row.max_rate, burst=row.burst)
        teams = routes.teams if routes is not None else None
        known = teams.teams_by_name.get(row.team) if teams else None
        return known or Team(row.team, max_rate=row.max_rate, burst=row.burst)


def quota_bounds(section: QuotasSection) -> QuotaBounds:
    """Returns the bounds of quotas that the settings name."""
    return QuotaBounds(section.window_s, section.overage, section.slack)


def _count_gateways(peers: RelayedStore | None) -> int | None:
    """Returns the number of listed gateways; None before there is a list."""
    if peers is None:
        return 1
    if not peers.has_listed_peers:
        return None
    entries = peers.peers_by_name.values()
    return max(1, sum(entry.role == GATEWAY_ROLE for entry in entries))


def _record(outcome: str, source: str) -> None:
    metrics.add(Metric.QUOTA_REQUESTS, outcome=outcome, source=source)

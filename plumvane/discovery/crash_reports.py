"""Reports of requests that broke off or were answered, to all workers."""

from __future__ import annotations

import collections
import dataclasses

import anyio
import anyio.abc

from plumvane import clock, events
from plumvane.discovery.loads import WORKER_ROLE
from plumvane.discovery.relayed import RelayedStore
from plumvane.errors import PlumvaneError
from plumvane.peers.messages.prompts import (
    LostRequest,
    PartAge,
    ReportPrompts,
)
from plumvane.serving.crashes import AnswerState, Prompt
from plumvane.serving.upstreams import Upstream

__all__ = ["Loss", "Observations", "ReportSender"]

# Timeout of a report, and delay before it is sent again, in seconds.
REPORT_TIMEOUT_S = 0.5
REPORT_RETRY_S = 0.2
# Time for which an observation is reported to workers that do not reply, in
# seconds: some longer than the restart of all of them.
MAX_AGE_S = 10.0
# Most observations that wait for a report; the oldest are dropped.
MAX_UNREPORTED = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A request that broke off.

    Attributes:
        upstream: Upstream at which it did.
        prompt: Its prompt.
        fingerprint: What its repeats have in common; empty for an item.
        state: How far its answer had come.
        sent_at: Monotonic time in seconds at which it was sent.
        at: Monotonic time in seconds at which it broke off.
    """

    upstream: Upstream
    prompt: Prompt
    fingerprint: str
    state: AnswerState
    sent_at: float
    at: float


@dataclasses.dataclass(slots=True)
class Observations:
    """What an instance observed of requests.

    Attributes:
        losses: Requests that broke off, the oldest first.
        cleared_at_by_part: Monotonic times in seconds of the answers to parts
            and requests that were suspected.
        answer_count: Number of prompts that were answered.
    """

    losses: collections.deque[Loss] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_UNREPORTED)
    )
    cleared_at_by_part: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    answer_count: int = 0

    def __bool__(self) -> bool:
        """Returns whether there are any."""
        return bool(self.losses or self.cleared_at_by_part or self.answer_count)

    def add_cleared(self, part: str, answered_at: float) -> None:
        """Adds an answer to a part or a request that was suspected."""
        self.cleared_at_by_part.pop(part, None)
        self.cleared_at_by_part[part] = answered_at
        if len(self.cleared_at_by_part) > MAX_UNREPORTED:
            del self.cleared_at_by_part[next(iter(self.cleared_at_by_part))]

    def add(self, newer: Observations) -> None:
        """Adds newer observations."""
        self.losses.extend(newer.losses)
        for part, answered_at in newer.cleared_at_by_part.items():
            self.add_cleared(part, answered_at)
        self.answer_count += newer.answer_count

    def drop_old(self) -> None:
        """Drops what is too old to be reported."""
        oldest_at = clock.monotonic() - MAX_AGE_S
        while self.losses and self.losses[0].at < oldest_at:
            self.losses.popleft()
        self.cleared_at_by_part = {
            part: at
            for part, at in self.cleared_at_by_part.items()
            if at >= oldest_at
        }

    def encode(self) -> ReportPrompts:
        """Returns the message for workers, with the ages at this moment."""
        now = clock.monotonic()
        return ReportPrompts(
            tuple(
                LostRequest(
                    loss.upstream.upstream_id,
                    loss.upstream.listed.started_ms,
                    loss.prompt,
                    int(loss.state),
                    now - loss.at,
                    loss.fingerprint,
                    loss.at - loss.sent_at if loss.fingerprint else 0.0,
                )
                for loss in self.losses
            ),
            tuple(
                PartAge(part, now - at)
                for part, at in self.cleared_at_by_part.items()
            ),
            self.answer_count,
        )


class ReportSender:
    """Sends observations to all workers until each has taken them."""

    def __init__(self, name: str, peers: RelayedStore) -> None:
        """Creates a sender without observations.

        Args:
            name: Name of this instance, which is skipped as a worker.
            peers: Finds and calls workers.
        """
        self._name = name
        self._peers = peers
        # Observations of the last time, for workers that appear later.
        self._recent = Observations()
        self._pending_by_address: dict[str, Observations] = {}
        # Workers to which a report is under way.
        self._busy_addresses: set[str] = set()

    def send(
        self, observations: Observations, group: anyio.abc.TaskGroup
    ) -> None:
        """Sends observations to all registered workers.

        Args:
            observations: The newest observations.
            group: Task group in which they are sent.
        """
        self._recent.add(observations)
        self._recent.drop_old()
        self._recent.answer_count = 0
        addresses = {
            entry.address
            for name, entry in self._peers.peers_by_name.items()
            if entry.role == WORKER_ROLE and name != self._name
        }
        for gone in self._pending_by_address.keys() - addresses:
            del self._pending_by_address[gone]
        for address in addresses:
            pending = self._pending_by_address.get(address)
            if pending is None:
                pending = self._pending_by_address[address] = Observations()
                pending.add(self._recent)
                pending.answer_count = observations.answer_count
            else:
                pending.add(observations)
            if address not in self._busy_addresses:
                self._busy_addresses.add(address)
                group.start_soon(self._deliver, address)

    async def _deliver(self, address: str) -> None:
        """Sends what is pending for a worker, again until it replies."""
        attempt = 0
        try:
            while self._pending_by_address.get(address):
                report = self._pending_by_address[address]
                self._pending_by_address[address] = Observations()
                attempt += 1
                if await self._call(address, report.encode(), attempt):
                    attempt = 0
                    continue
                newer = self._pending_by_address.get(address)
                if newer is None:
                    return
                report.add(newer)
                report.drop_old()
                self._pending_by_address[address] = report
                await anyio.sleep(REPORT_RETRY_S)
        finally:
            self._busy_addresses.discard(address)

    async def _call(
        self, address: str, report: ReportPrompts, attempt: int
    ) -> bool:
        """Sends a report; returns whether the worker took it."""
        deadline = clock.monotonic() + REPORT_TIMEOUT_S
        try:
            await self._peers.links.call(address, report, deadline=deadline)
        except PlumvaneError as error:
            events.log(
                events.Event.PROMPTS_UNREPORTED,
                peer=address,
                attempt=attempt,
                losses=len(report.lost),
                error=error.detail,
            )
            return False
        return True

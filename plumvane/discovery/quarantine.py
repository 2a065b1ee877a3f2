"""Requests that crash upstreams: reports to workers and their verdicts.

One instance sees few of the crashes, so all instances report requests that
broke off to all workers, which attribute the crashes to parts of prompts, or to
single requests that come again, and stream what they quarantine back beside the
upstream loads. Requests are kept among the parts by their `request_key`.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable
from typing import TypeVar

import anyio
import msgspec

from plumvane import clock, events
from plumvane.decoding import decode
from plumvane.discovery.crash_reports import (
    Loss,
    Observations,
    ReportSender,
)
from plumvane.discovery.relayed import RelayedStore
from plumvane.errors import (
    PromptQuarantinedError,
    RequestQuarantinedError,
    StoreUnavailableError,
)
from plumvane.peers.messages import Message
from plumvane.peers.messages.prompts import (
    PartsQuarantined,
    PartsReleased,
    PartsSuspected,
    QuarantinedPart,
    ReportPrompts,
    request_key,
)
from plumvane.serving.crashes import AnswerState, Prompt
from plumvane.serving.upstreams import Upstream

__all__ = [
    "ANSWERING_EVENTS",
    "MAX_QUARANTINED",
    "QUARANTINE_PREFIX",
    "PromptQuarantine",
    "Quarantined",
    "StoredQuarantine",
]

# Keys of the parts in quarantine, which outlast all instances.
QUARANTINE_PREFIX = "plumvane/quarantine/"
# Events from which an answer shows that its prompt does not crash the upstream.
ANSWERING_EVENTS = 3
# Delay in which observations are collected for one report, in seconds.
REPORT_DELAY_S = 0.1
# Time for which answers are counted after a part was suspected, in seconds.
COUNTING_S = 10.0
# Delay between attempts to read the stored parts, in seconds.
STORE_RETRY_S = 0.5
# Most parts of one prompt that are remembered: the first ones and the last.
MAX_PROMPT_PARTS = 32
# Bounds of the parts, and of the answered requests, that are remembered, the
# newest.
MAX_PARTS = 4096
MAX_ANSWERED_REQUESTS = 1024
MAX_QUARANTINED = 256

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """A part or a request in quarantine.

    Attributes:
        part: Identifier of the part, or key of the request.
        since: Monotonic time in seconds at which it was quarantined.
        until: Monotonic time in seconds at which it is released.
        upstreams: Upstreams that crashed on it, as evidence.
    """

    part: str
    since: float
    until: float
    upstreams: tuple[str, ...]

    def encode(self) -> QuarantinedPart:
        """Returns the message for peers."""
        now = clock.monotonic()
        return QuarantinedPart(
            self.part, now - self.since, self.until - now, self.upstreams
        )


class StoredQuarantine(msgspec.Struct, frozen=True):
    """Value of the key of a part or a request in quarantine.

    Attributes:
        since: Unix time in seconds at which it was quarantined.
        until: Unix time in seconds at which it is released.
        upstreams: Upstreams that crashed on it.
    """

    since: float
    until: float
    upstreams: tuple[str, ...]


_stored_decoder = msgspec.msgpack.Decoder(StoredQuarantine)


class PromptQuarantine:
    """The parts and requests in quarantine, as this instance knows them."""

    def __init__(self, name: str, peers: RelayedStore | None) -> None:
        """Creates an empty quarantine.

        Args:
            name: Name of this instance.
            peers: Finds and calls workers, and reads the store; None if there
                are none.
        """
        self._peers = peers
        # Called with the reports of this instance; set by a worker.
        self.on_report: Callable[[ReportPrompts], None] = _ignore
        self._quarantined_by_part: dict[str, Quarantined] = {}
        self._released_at_by_part: dict[str, float] = {}
        self._suspected_at_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._answered_at_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # The same for requests by their keys, most of which come once.
        self._answered_at_by_request: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._unreported = Observations()
        self._sender = ReportSender(name, peers) if peers is not None else None
        self._counts_until = 0.0
        self._has_observations = anyio.Event()

    # Parts in quarantine

    def find(self, prompt: Prompt) -> Quarantined | None:
        """Returns the part of a prompt that is in quarantine, if any."""
        if not self._quarantined_by_part:
            return None
        now = clock.monotonic()
        for part in prompt[:-1]:
            found = self._quarantined_by_part.get(part)
            if found is not None and found.until > now:
                return found
        return None

    def check(self, prompt: Prompt, fingerprint: str) -> None:
        """Checks that a request may be sent to upstreams.

        Args:
            prompt: Its prompt.
            fingerprint: What its repeats have in common with it.

        Raises:
            PromptQuarantinedError: A part of its prompt is in quarantine.
            RequestQuarantinedError: The request itself is.
        """
        found = self.find(prompt)
        if found is not None:
            raise PromptQuarantinedError(
                f"Part {found.part} of the prompt crashed "
                f"{len(found.upstreams)} upstreams: "
                f"{', '.join(found.upstreams)}."
            )
        repeat = self._quarantined_by_part.get(request_key(fingerprint))
        if repeat is not None and repeat.until > clock.monotonic():
            raise RequestQuarantinedError(
                f"The request, or one like it, crashed {len(repeat.upstreams)} "
                f"upstreams: {', '.join(repeat.upstreams)}."
            )

    def quarantined(self) -> list[Quarantined]:
        """Returns the parts in quarantine."""
        now = clock.monotonic()
        return [q for q in self._quarantined_by_part.values() if q.until > now]

    def put(self, quarantined: Quarantined, source: str) -> bool:
        """Quarantines a part unless an answer has refuted it since.

        Args:
            quarantined: The part.
            source: Where it was learnt, for the log.

        Returns:
            Whether the part was not in quarantine before.
        """
        part, now = quarantined.part, clock.monotonic()
        released_at = self._released_at_by_part.get(part, float("-inf"))
        if quarantined.since <= released_at or quarantined.until <= now:
            return False
        known = self._quarantined_by_part.get(part)
        is_new = known is None or known.until <= now
        if known is None or known.until < quarantined.until:
            self._quarantined_by_part.pop(part, None)
            self._quarantined_by_part[part] = quarantined
            _drop_oldest(self._quarantined_by_part, MAX_QUARANTINED)
        if is_new:
            events.log(
                events.Event.PROMPT_QUARANTINED,
                part=part,
                upstreams=quarantined.upstreams,
                for_s=round(quarantined.until - now, 1),
                age_s=round(now - quarantined.since, 2),
                source=source,
            )
        return is_new

    def release(self, part: str, answered_at: float, source: str) -> bool:
        """Releases a part that was answered after it was quarantined.

        Args:
            part: Identifier of the part.
            answered_at: Monotonic time in seconds of the answer.
            source: Where the answer was reported, for the log.

        Returns:
            Whether the part was in quarantine.
        """
        known = self._quarantined_by_part.get(part)
        if known is None or answered_at <= known.since:
            return False
        del self._quarantined_by_part[part]
        self._released_at_by_part.pop(part, None)
        self._released_at_by_part[part] = answered_at
        _drop_oldest(self._released_at_by_part, MAX_PARTS)
        events.log(
            events.Event.PROMPT_RELEASED,
            part=part,
            upstreams=known.upstreams,
            source=source,
        )
        return True

    # Observations of this instance

    def record_loss(
        self,
        upstream: Upstream,
        prompt: Prompt,
        events_received: int | None,
        fingerprint: str = "",
        sent_at: float = 0.0,
    ) -> None:
        """Records that a request broke off at an upstream.

        Args:
            upstream: The upstream.
            prompt: Prompt of the request.
            events_received: Number of events that the upstream had sent; None
                if it had not begun to answer.
            fingerprint: What repeats of the request have in common with it;
                empty for an item of a batch job, which comes once.
            sent_at: Monotonic time in seconds at which a request that has a
                fingerprint was sent.
        """
        if len(prompt) < 2 and not fingerprint:
            return
        if len(prompt) > MAX_PROMPT_PARTS:
            prompt = (*prompt[: MAX_PROMPT_PARTS - 1], prompt[-1])
        state = AnswerState.BEGUN
        if events_received is None:
            state = AnswerState.WAITING
        elif events_received >= ANSWERING_EVENTS:
            state = AnswerState.ANSWERING
        now = clock.monotonic()
        self._unreported.losses.append(
            Loss(upstream, prompt, fingerprint, state, sent_at, now)
        )
        self._has_observations.set()

    def record_answer(self, prompt: Prompt, fingerprint: str = "") -> None:
        """Records that an upstream answers a request and has not crashed.

        Args:
            prompt: Prompt of the request.
            fingerprint: What repeats of the request have in common with it;
                empty for an item of a batch job.
        """
        now = clock.monotonic()
        if prompt and now < self._counts_until:
            self._unreported.answer_count += 1
            self._has_observations.set()
        for part in prompt[:-1]:
            self._record_answered(part, self._answered_at_by_part, now)
        _drop_oldest(self._answered_at_by_part, MAX_PARTS)
        if fingerprint:
            key = request_key(fingerprint)
            self._record_answered(key, self._answered_at_by_request, now)
            _drop_oldest(self._answered_at_by_request, MAX_ANSWERED_REQUESTS)

    def _record_answered(
        self,
        part: str,
        answered_at_by_part: collections.OrderedDict[str, float],
        now: float,
    ) -> None:
        answered_at_by_part[part] = now
        answered_at_by_part.move_to_end(part)
        is_suspected = self._suspected_at_by_part.pop(part, None)
        if is_suspected is not None or part in self._quarantined_by_part:
            self._record_cleared(part, now)

    def _record_cleared(self, part: str, answered_at: float) -> None:
        self._unreported.add_cleared(part, answered_at)
        self._has_observations.set()

    # Messages of workers

    def apply(self, message: Message) -> None:
        """Applies a message that a worker streams beside the loads."""
        now = clock.monotonic()
        if isinstance(message, PartsSuspected):
            for row in message.parts:
                self.suspect(row.part, now - row.age_s)
        elif isinstance(message, PartsQuarantined):
            for part in message.parts:
                self.put(
                    Quarantined(
                        part.part,
                        now - part.age_s,
                        now + part.remaining_s,
                        part.upstreams,
                    ),
                    "worker",
                )
        elif isinstance(message, PartsReleased):
            for row in message.parts:
                self.release(row.part, now - row.age_s, "worker")

    def suspect(self, part: str, crashed_at: float) -> None:
        """Has the next answer to a part reported.

        Args:
            part: Identifier of the part.
            crashed_at: Monotonic time in seconds of the crash that speaks
                against the part.
        """
        self._counts_until = clock.monotonic() + COUNTING_S
        answered_at = self._answered_at_by_part.get(
            part, self._answered_at_by_request.get(part, float("-inf"))
        )
        if answered_at > crashed_at:
            self._record_cleared(part, answered_at)
            return
        self._suspected_at_by_part[part] = crashed_at
        _drop_oldest(self._suspected_at_by_part, MAX_PARTS)

    # Reports and the store

    async def run(self) -> None:
        """Reads the stored parts and reports observations until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._read_stored)
            while True:
                await self._has_observations.wait()
                await anyio.sleep(REPORT_DELAY_S)
                self._has_observations = anyio.Event()
                observations, self._unreported = (
                    self._unreported,
                    Observations(),
                )
                self.on_report(observations.encode())
                if self._sender is not None:
                    self._sender.send(observations, group)

    async def _read_stored(self) -> None:
        if self._peers is None:
            return
        while True:
            try:
                stored = await self._peers.list(QUARANTINE_PREFIX)
                break
            except StoreUnavailableError:
                # The store client logs that it does not respond.
                await anyio.sleep(STORE_RETRY_S)
        now, wall = clock.monotonic(), clock.wall()
        for record in stored.records:
            part = record.key.removeprefix(QUARANTINE_PREFIX)
            try:
                value = decode(_stored_decoder, record.value)
            except msgspec.MsgspecError as error:
                events.log(
                    events.Event.QUARANTINE_UNREADABLE,
                    part=part,
                    revision=record.revision,
                    error=str(error),
                )
                continue
            since = now - max(0.0, wall - value.since)
            until = now + value.until - wall
            self.put(Quarantined(part, since, until, value.upstreams), "store")


def _drop_oldest(rows_by_part: dict[str, T], limit: int) -> None:
    while len(rows_by_part) > limit:
        del rows_by_part[next(iter(rows_by_part))]


def _ignore(report: ReportPrompts) -> None:
    """Ignores a report of this instance."""

"""Attributes crashes of upstreams to prompts and requests; quarantines them."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

import anyio
import msgspec

from plumvane import clock, events
from plumvane.discovery.quarantine import (
    QUARANTINE_PREFIX,
    PromptQuarantine,
    Quarantined,
    StoredQuarantine,
)
from plumvane.discovery.view import FleetView
from plumvane.errors import PlumvaneError
from plumvane.peers.messages import Done, Message
from plumvane.peers.messages.prompts import (
    REQUEST_KEY_PREFIX,
    PartAge,
    PartsQuarantined,
    PartsReleased,
    PartsSuspected,
    ReportPrompts,
    request_key,
)
from plumvane.peers.server import Call, PeerServer
from plumvane.serving.crashes import (
    AnswerState,
    CrashHistory,
    Prompt,
)
from plumvane.serving.repeats import RepeatHistory, RequestLoss
from plumvane.store.base import TransactionalStore
from plumvane.worker.confirmation import (
    CONFIRMATION_S,
    CrashConfirmation,
    Incarnation,
)
from plumvane.worker.feed import LoadFeed

__all__ = ["CrashAttribution"]

# Time for which requests with a part are refused, in seconds: the longest lease
# of the store, which removes the part's key.
QUARANTINE_S = 600.0
# Interval between two judgements, in seconds.
JUDGEMENT_INTERVAL_S = 0.1
# Time for which a worker that has just started only collects reports, in
# seconds: it gets the earlier losses at once, but the answers that speak for a
# part only after it has named the part as a suspect.
COLLECTION_S = 1.0
# Interval between two writes of new verdicts to the store, in seconds.
STORE_INTERVAL_S = 0.3
# Most losses that await the confirmation of a crash; the oldest are dropped.
MAX_UNCONFIRMED = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Loss:
    """A request that broke off at an upstream, as an instance reported it.

    Attributes:
        incarnation: The upstream.
        at: Monotonic time in seconds.
        prompt: Prompt of the request.
        fingerprint: What its repeats have in common; empty for an item.
        sent_at: Monotonic time in seconds at which it was sent.
        state: How far its answer had come.
        received_at: Monotonic time in seconds at which it was reported.
    """

    incarnation: Incarnation
    at: float
    prompt: Prompt
    fingerprint: str
    sent_at: float
    state: AnswerState
    received_at: float


class CrashAttribution:
    """Joins what all instances report about requests, and judges them.

    Each worker gets all reports and judges on its own, so that the loss of some
    workers loses nothing.
    """

    def __init__(
        self,
        store: TransactionalStore,
        view: FleetView,
        quarantine: PromptQuarantine,
        feed: LoadFeed,
    ) -> None:
        """Creates an attribution without reports.

        Args:
            store: Store in which parts in quarantine outlast the instances.
            view: Listed upstreams, whose load this worker reads.
            quarantine: This instance's parts in quarantine.
            feed: Streams verdicts to all instances.
        """
        self._store = store
        self._view = view
        self._quarantine = quarantine
        self._feed = feed
        self._history = CrashHistory()
        self._repeats = RepeatHistory()
        self._confirmation = CrashConfirmation(view)
        self._unconfirmed: collections.deque[_Loss] = collections.deque(
            maxlen=MAX_UNCONFIRMED
        )
        self._announced_at_by_part: dict[str, float] = {}
        self._judged_parts: set[str] = set()
        # Whether answers, and crashes or verdicts, have come since the last
        # judgement.
        self._has_answers = False
        self._has_news = False
        self._unstored: dict[str, Quarantined | None] = {}
        quarantine.on_report = self.add_report
        feed.snapshot = self._snapshot

    def serve(self, server: PeerServer) -> None:
        """Registers the handler of reports."""
        server.handle(ReportPrompts, self._handle_report)

    async def run(self) -> None:
        """Judges the reports and stores the verdicts until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._store_verdicts)
            group.start_soon(self._confirmation.run)
            judges_from = clock.monotonic() + COLLECTION_S
            while True:
                await anyio.sleep(JUDGEMENT_INTERVAL_S)
                if clock.remaining(judges_from) > 0:
                    self.collect()
                else:
                    self.judge()

    async def _handle_report(
        self, call: Call, message: ReportPrompts
    ) -> Message:
        self.add_report(message)
        return Done()

    def add_report(self, report: ReportPrompts) -> None:
        """Adds what an instance has observed."""
        now = clock.monotonic()
        if report.answer_count:
            self._history.add_answers(report.answer_count, now)
            self._has_answers = True
        for row in report.lost:
            incarnation = (row.upstream_id, row.started_ms)
            state = AnswerState(min(row.state, max(AnswerState)))
            self._unconfirmed.append(
                _Loss(
                    incarnation,
                    now - row.age_s,
                    row.prompt,
                    row.fingerprint,
                    now - row.age_s - row.ran_s,
                    state,
                    now,
                )
            )
            self._confirmation.request(incarnation)
        for answer in report.answered:
            answered_at = now - answer.age_s
            self._history_of(answer.part).clear(answer.part, answered_at)
            self._has_answers = True
            if self._quarantine.release(answer.part, answered_at, "report"):
                self._release(answer.part, answered_at)

    def _release(self, part: str, answered_at: float) -> None:
        self._history_of(part).release(part)
        self._unstored[part] = None
        age_s = clock.monotonic() - answered_at
        self._feed.publish(PartsReleased((PartAge(part, age_s),)))

    def _history_of(self, key: str) -> CrashHistory | RepeatHistory:
        """Returns the history that has a part, or the key of a request."""
        is_request = key.startswith(REQUEST_KEY_PREFIX)
        return self._repeats if is_request else self._history

    # Judgement

    def collect(self) -> None:
        """Takes the reports and names suspects, without a judgement."""
        now = clock.monotonic()
        self._take_reports(now)
        if self._has_news or self._has_answers:
            self._announce_suspects(now)

    def judge(self) -> None:
        """Quarantines what the confirmed crashes speak against."""
        now = clock.monotonic()
        self._take_reports(now)
        if not (self._has_news or self._has_answers):
            return
        self._has_news = self._has_answers = False
        while (repeat := self._repeats.find_culprit(now)) is not None:
            self._blame(
                repeat.request, repeat.crash_ids, "crashes under its repeats"
            )
        while (culprit := self._history.find_culprit(now)) is not None:
            self._blame(
                culprit.part,
                culprit.crash_ids,
                f"crashes under {culprit.requests} requests",
            )
        self._announce_suspects(now)

    def _take_reports(self, now: float) -> None:
        """Adds the confirmed crashes and the verdicts of others."""
        self._has_news |= self._adopt_quarantined()
        self._has_news |= self._confirm_crashes(now)

    def _adopt_quarantined(self) -> bool:
        """Follows the verdicts of other workers, of the store, and of time.

        Returns:
            Whether there were any.
        """
        parts = {q.part for q in self._quarantine.quarantined()}
        for part in parts - self._judged_parts:
            self._explain_by(part)
        for part in self._judged_parts - parts:
            self._history_of(part).expire(part)
        has_changed = parts != self._judged_parts
        self._judged_parts = parts
        return has_changed

    def _confirm_crashes(self, now: float) -> bool:
        """Adds the losses at upstreams that have crashed to the history.

        Returns:
            Whether there were any.
        """
        waiting, self._unconfirmed = (
            self._unconfirmed,
            collections.deque(maxlen=MAX_UNCONFIRMED),
        )
        losses_by_crash: dict[Incarnation, list[_Loss]] = {}
        for loss in waiting:
            if self._confirmation.has_crashed(loss.incarnation, loss.at, now):
                losses_by_crash.setdefault(loss.incarnation, []).append(loss)
            elif (
                now - loss.received_at < CONFIRMATION_S
                and not self._confirmation.is_alive_after(
                    loss.incarnation, loss.at
                )
            ):
                self._unconfirmed.append(loss)
        for incarnation, losses in losses_by_crash.items():
            self._add_crash(incarnation, losses)
            events.log(
                events.Event.UPSTREAM_CRASHED,
                upstream=incarnation[0],
                started_ms=incarnation[1],
                prompts=[
                    (
                        loss.state.name.lower(),
                        loss.prompt,
                        loss.fingerprint,
                        round(loss.at - loss.sent_at, 3),
                    )
                    for loss in losses
                ],
            )
        return bool(losses_by_crash)

    def _add_crash(
        self, incarnation: Incarnation, losses: Iterable[_Loss]
    ) -> None:
        """Adds losses at an upstream that has crashed to the histories.

        What is in quarantine explains the crash, so that it speaks less against
        what else broke off there.
        """
        crash_id = f"{incarnation[0]}/{incarnation[1]}"
        is_refusing = self._confirmation.refuses_connections(incarnation)
        for loss in losses:
            request = request_key(loss.fingerprint)
            if len(loss.prompt) > 1:
                # The times at which items are sent are not reported.
                sent_at = loss.sent_at if loss.fingerprint else float("-inf")
                self._history.add_loss(
                    crash_id,
                    loss.at,
                    loss.prompt,
                    loss.state,
                    sent_at,
                    loss.fingerprint,
                )
            if loss.fingerprint:
                has_begun = loss.state is AnswerState.BEGUN
                self._repeats.add_loss(
                    crash_id,
                    RequestLoss(
                        request,
                        loss.sent_at,
                        loss.at,
                        loss.state,
                        was_received=has_begun or is_refusing,
                    ),
                )
            if request in self._judged_parts:
                self._history.explain(crash_id)
            if not self._judged_parts.isdisjoint(loss.prompt[:-1]):
                self._repeats.explain(crash_id)

    def _blame(self, key: str, crash_ids: tuple[str, ...], source: str) -> None:
        """Quarantines a part or a request.

        Args:
            key: Identifier of the part, or key of the request.
            crash_ids: Crashes that it explains.
            source: Evidence, for the log.
        """
        now = clock.monotonic()
        upstreams = tuple(i.rpartition("/")[0] for i in crash_ids)
        quarantined = Quarantined(key, now, now + QUARANTINE_S, upstreams)
        self._explain_by(key)
        self._judged_parts.add(key)
        if self._quarantine.put(quarantined, source):
            self._feed.publish(PartsQuarantined((quarantined.encode(),)))
            self._unstored[key] = quarantined

    def _explain_by(self, key: str) -> None:
        """Has a part or request explain all crashes in which it broke off.

        They are more than those that convict it: in some, another request
        broke off before.

        Args:
            key: Identifier of the part, or key of the request.
        """
        blamed = self._history_of(key)
        blamed.blame(key)
        other = self._history if blamed is self._repeats else self._repeats
        for crash_id in blamed.crash_ids(key):
            other.explain(crash_id)

    def _announce_suspects(self, now: float) -> None:
        """Asks all instances to report answers to newly suspected parts."""
        suspected = self._history.suspected_at_by_part(now)
        suspected |= self._repeats.suspected_at_by_request(now)
        new = {
            part: at
            for part, at in suspected.items()
            if self._announced_at_by_part.get(part) != at
        }
        self._announced_at_by_part = suspected
        if new:
            self._feed.publish(_suspects_message(new, now))
            for part, at in new.items():
                self._quarantine.suspect(part, at)

    def _snapshot(self) -> Iterable[Message]:
        quarantined = self._quarantine.quarantined()
        if quarantined:
            yield PartsQuarantined(tuple(q.encode() for q in quarantined))
        if self._announced_at_by_part:
            yield _suspects_message(
                self._announced_at_by_part, clock.monotonic()
            )

    # Store

    async def _store_verdicts(self) -> None:
        """Writes the verdicts of this worker to the store."""
        while True:
            await anyio.sleep(STORE_INTERVAL_S)
            for part, quarantined in list(self._unstored.items()):
                try:
                    await self._store_verdict(part, quarantined)
                except PlumvaneError as error:
                    events.log(
                        events.Event.QUARANTINE_DELAYED,
                        part=part,
                        error=error.detail,
                    )
                    break
                if self._unstored.get(part) is quarantined:
                    del self._unstored[part]

    async def _store_verdict(
        self, part: str, quarantined: Quarantined | None
    ) -> None:
        key = QUARANTINE_PREFIX + part
        if quarantined is None:
            await self._store.delete(key, expected_revision=None)
            return
        lease = await self._store.grant_lease(
            clock.remaining(quarantined.until)
        )
        wall, now = clock.wall(), clock.monotonic()
        value = StoredQuarantine(
            wall + quarantined.since - now,
            wall + quarantined.until - now,
            quarantined.upstreams,
        )
        await self._store.put(
            key,
            msgspec.msgpack.encode(value),
            expected_revision=None,
            lease_id=lease.lease_id,
        )


def _suspects_message(
    crashed_at_by_part: dict[str, float], now: float
) -> PartsSuspected:
    return PartsSuspected(
        tuple(
            PartAge(part, now - at) for part, at in crashed_at_by_part.items()
        )
    )

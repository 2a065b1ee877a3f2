"""Attribution of upstreams' crashes to requests that come again."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from plumvane.serving.crashes import (
    CRASH_LIFETIME_S,
    LOSS_SPREAD_S,
    MAX_CRASHES,
    AnswerState,
)

__all__ = ["RepeatCulprit", "RepeatHistory", "RequestLoss"]

# Crashes in succession from which a request is blamed that only ever crashes,
# and crashes from which it is blamed again after its earlier blame has expired.
MIN_CRASHES = 3
MIN_CRASHES_AFTER_EXPIRY = 1
# Time within which upstreams may have ended together before requests reached
# them, in seconds, if nothing shows that they were alive then; and such outages
# from which a request is blamed that was in all of them.
OUTAGE_S = 1.0
MIN_OUTAGES = 2
# Smallest share of all crashes in the same period that a request must be
# involved in. Crashes within this time of each other, in seconds, count as one.
MIN_SHARE = 0.5
MOMENT_S = 0.05
# Bounds of the memory: requests of one crash, and answers and expired blames.
MAX_REQUESTS_OF_CRASH = 128
MAX_REQUESTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLoss:
    """A request that broke off when an upstream crashed.

    Attributes:
        request: Key of the request, the same for its repeats.
        sent_at: Monotonic time in seconds at which it was sent.
        lost_at: Monotonic time in seconds at which it broke off.
        state: How far its answer had come.
        was_received: Whether the upstream certainly lived when it was sent.
    """

    request: str
    sent_at: float
    lost_at: float
    state: AnswerState
    was_received: bool


@dataclasses.dataclass(slots=True)
class _Crash:
    """Crash of one incarnation of an upstream.

    Attributes:
        at: Monotonic time in seconds of the first loss.
        losses_by_request: First loss of each request, by its key.
        is_explained: Whether a part of a prompt explains it.
    """

    at: float
    losses_by_request: dict[str, RequestLoss] = dataclasses.field(
        default_factory=dict
    )
    is_explained: bool = False

    def add(self, loss: RequestLoss) -> None:
        """Adds a loss, unless too many are known."""
        self.at = min(self.at, loss.lost_at)
        known = self.losses_by_request.get(loss.request)
        has_room = len(self.losses_by_request) < MAX_REQUESTS_OF_CRASH
        if known.lost_at > loss.lost_at if known is not None else has_room:
            self.losses_by_request[loss.request] = loss

    def suspects(self) -> list[RequestLoss]:
        """Returns the requests that may have caused it.

        An upstream crashes when it begins to run a request, so that those
        which it had just begun to answer go before those that waited.
        """
        present = [
            loss
            for loss in self.losses_by_request.values()
            if loss.sent_at < self.at
            and loss.lost_at <= self.at + LOSS_SPREAD_S
        ]
        begun = [loss for loss in present if loss.state is AnswerState.BEGUN]
        return begun or present


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatCulprit:
    """A request that is blamed for crashes.

    Attributes:
        request: Key of the request, the same for its repeats.
        crash_ids: Crashes that it explains, the oldest first.
    """

    request: str
    crash_ids: tuple[str, ...]


class RepeatHistory:
    """Recent crashes and the requests that may have caused them by themselves.

    A request is identified by a key that it shares with its repeats. An answer
    to it clears it of the crashes before.
    """

    def __init__(self) -> None:
        """Creates an empty history."""
        self._crashes_by_id: collections.OrderedDict[str, _Crash] = (
            collections.OrderedDict()
        )
        self._answered_at_by_request: dict[str, float] = {}
        self._blamed: set[str] = set()
        # Requests whose blame has expired, the oldest first.
        self._expired: dict[str, None] = {}

    def add_loss(self, crash_id: str, loss: RequestLoss) -> None:
        """Records that a request broke off when an upstream crashed.

        Args:
            crash_id: Identifies the incarnation of the upstream.
            loss: The request; one that was being answered is cleared.
        """
        crash = self._crashes_by_id.setdefault(crash_id, _Crash(loss.lost_at))
        if loss.state is AnswerState.ANSWERING:
            self.clear(loss.request, loss.lost_at)
        else:
            crash.add(loss)
        while len(self._crashes_by_id) > MAX_CRASHES:
            self._crashes_by_id.popitem(last=False)

    def clear(self, request: str, at: float) -> None:
        """Records that an upstream answered a request.

        Args:
            request: Key of the request, the same for its repeats.
            at: Monotonic time in seconds of the answer.
        """
        known = self._answered_at_by_request.pop(request, at)
        self._answered_at_by_request[request] = max(at, known)
        if len(self._answered_at_by_request) > MAX_REQUESTS:
            del self._answered_at_by_request[
                next(iter(self._answered_at_by_request))
            ]

    def crash_ids(self, request: str) -> list[str]:
        """Returns the crashes in which a request broke off, for any reason."""
        return [
            crash_id
            for crash_id, crash in self._crashes_by_id.items()
            if request in crash.losses_by_request
        ]

    def explain(self, crash_id: str) -> None:
        """Records that a part of a prompt explains a crash."""
        crash = self._crashes_by_id.get(crash_id)
        if crash is not None:
            crash.is_explained = True

    def blame(self, request: str) -> None:
        """Has a request explain the crashes in which it was involved."""
        self._blamed.add(request)

    def expire(self, request: str) -> None:
        """Releases a request that is blamed again at its next crash."""
        if request in self._blamed:
            self.release(request)
            self._expired[request] = None
            if len(self._expired) > MAX_REQUESTS:
                del self._expired[next(iter(self._expired))]

    def release(self, request: str) -> None:
        """Blames a request no longer and forgets the crashes it explained."""
        self._blamed.discard(request)
        self._expired.pop(request, None)
        for crash_id, crash in list(self._crashes_by_id.items()):
            if request in crash.losses_by_request:
                del self._crashes_by_id[crash_id]

    def suspected_at_by_request(self, now: float) -> dict[str, float]:
        """Returns the suspected requests with the times of their last crashes.

        Args:
            now: Monotonic time in seconds.
        """
        return {
            request: self._crashes_by_id[crash_ids[-1]].at
            for request, crash_ids in self._crash_ids_by_request(now).items()
        }

    def find_culprit(self, now: float) -> RepeatCulprit | None:
        """Returns the request that unexplained crashes speak against most.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The request, or None if the crashes are not conclusive, as when
            another request was at all upstreams at which it broke off. The
            caller blames it before it asks for the next one.
        """
        ids_by_request = self._crash_ids_by_request(now)
        for request in sorted(
            ids_by_request, key=lambda f: -len(ids_by_request[f])
        ):
            crash_ids = ids_by_request[request]
            if self._is_conclusive(request, crash_ids) and not any(
                set(crash_ids) <= set(other_ids)
                for other, other_ids in ids_by_request.items()
                if other != request
            ):
                return RepeatCulprit(request, tuple(crash_ids))
        return None

    def _crash_ids_by_request(self, now: float) -> dict[str, list[str]]:
        """Returns the unexplained crashes since the last answer to a request.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The crashes by the key of the request, the oldest first.
        """
        for crash_id, crash in list(self._crashes_by_id.items()):
            if now - crash.at > CRASH_LIFETIME_S:
                del self._crashes_by_id[crash_id]
        ids_by_request: dict[str, list[str]] = {}
        for crash_id, crash in sorted(
            self._crashes_by_id.items(), key=lambda row: row[1].at
        ):
            if self._is_explained(crash):
                continue
            for loss in crash.suspects():
                answered_at = self._answered_at_by_request.get(
                    loss.request, float("-inf")
                )
                if answered_at < crash.at:
                    ids_by_request.setdefault(loss.request, []).append(crash_id)
        return ids_by_request

    def _is_explained(self, crash: _Crash) -> bool:
        return crash.is_explained or not self._blamed.isdisjoint(
            crash.losses_by_request
        )

    def _is_conclusive(self, request: str, crash_ids: list[str]) -> bool:
        if request in self._expired:
            return len(crash_ids) >= MIN_CRASHES_AFTER_EXPIRY
        if len(crash_ids) < MIN_CRASHES:
            return False
        crashes = [self._crashes_by_id[crash_id] for crash_id in crash_ids]
        losses = [crash.losses_by_request[request] for crash in crashes]
        received = [loss for loss in losses if loss.was_received]
        outages = _count_in_succession(losses, OUTAGE_S)
        if _count_in_succession(received) < MIN_CRASHES and (
            len(received) == len(losses) or outages < MIN_OUTAGES
        ):
            return False
        first, last = crashes[0].at, crashes[-1].at
        all_moments = _count_moments(
            crash.at
            for crash in self._crashes_by_id.values()
            if first <= crash.at <= last and not self._is_explained(crash)
        )
        moments = _count_moments(crash.at for crash in crashes)
        return moments >= MIN_SHARE * all_moments


def _count_in_succession(
    losses: Iterable[RequestLoss], gap_s: float = 0.0
) -> int:
    """Counts losses, each under a repeat that was sent after the one before.

    Upstreams that fail together, such as those of a rack, crash under repeats
    that were sent before, or do not receive them at all.

    Args:
        losses: Losses of a request in different crashes, the oldest first.
        gap_s: Seconds after a loss in which another one is not counted.
    """
    count = 0
    last = float("-inf")
    for loss in losses:
        if loss.sent_at > last + gap_s:
            count += 1
            last = loss.lost_at
    return count


def _count_moments(times: Iterable[float]) -> int:
    """Counts times, each that is within `MOMENT_S` of another one with it."""
    count = 0
    last = float("-inf")
    for time in sorted(times):
        if time - last >= MOMENT_S:
            count += 1
        last = time
    return count

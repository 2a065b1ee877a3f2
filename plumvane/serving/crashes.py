"""Attribution of upstreams' crashes to parts of the prompts they answered."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Iterable

__all__ = ["AnswerState", "CrashHistory", "Culprit", "Prompt"]

# Crashes closer together than this have a common cause, such as a failing rack,
# and count as one, in seconds. A request that crashes an upstream takes longer
# to crash the next one.
MOMENT_S = 0.1
# Time after a crash within which the requests that were at the upstream break
# off, in seconds.
LOSS_SPREAD_S = 0.1
# Crashes, by moments, from which a part is blamed that only ever crashes. A
# single request has to crash more, as bad luck may strike it repeatedly.
MIN_MOMENTS = 3
MIN_MOMENTS_OF_ONE_REQUEST = 5
# Crashes from which a part is blamed again whose earlier blame has expired.
MIN_MOMENTS_AFTER_EXPIRY = 1
# Crashes, by moments, that no request explains by itself, from which a part is
# blamed whose other crashes such a request explains.
MIN_UNEXPLAINED_MOMENTS = 2
# Smallest share of all crashes, by moments since its first one, that a part
# must explain.
MIN_SHARE = 0.25
# Largest probability that a part is blamed although it is sound: that none of
# the requests that were answered since its first crash had it, if it is as
# frequent among them as among those that broke off.
MAX_DOUBT = 0.02
# Crashes, by moments, from which a part is blamed although hardly anything is
# answered; the share of all crashes that it must then explain; and the largest
# share of the requests that broke off which may have it.
MIN_MOMENTS_IN_OUTAGE = 5
MIN_SHARE_IN_OUTAGE = 0.9
MAX_BREADTH_IN_OUTAGE = 0.7
# Most counts of answers that are remembered.
MAX_ANSWER_COUNTS = 4096
# Share of the crashes of the parts before it that a part must explain.
MIN_NESTED_SHARE = 0.75
# Most of the crashes of a part that another one may share, as a share of them;
# and the least number of crashes that it may not share.
MAX_RIVAL_SHARE = 0.75
MIN_LEAD = 2
# Time for which a crash is remembered, in seconds, and bounds of the memory.
CRASH_LIFETIME_S = 600.0
MAX_CRASHES = 64
MAX_PROMPTS_OF_CRASH = 64
MAX_CLEARED_PARTS = 4096

#: Identifiers of the parts of a prompt in order. The last one belongs to the
#: request or its session; requests share the others.
Prompt = tuple[str, ...]


class AnswerState(enum.IntEnum):
    """How far the answer to a request had come that broke off."""

    #: The upstream had not begun to answer.
    WAITING = 0
    #: The upstream had just begun to answer.
    BEGUN = 1
    #: The upstream had been answering for a while.
    ANSWERING = 2


@dataclasses.dataclass(slots=True)
class _Crash:
    """Crash of one incarnation of an upstream.

    Attributes:
        at: Monotonic time in seconds of the crash.
        begun: Prompts that the upstream had just begun to answer.
        waiting: Prompts that it had not begun to answer, with the monotonic
            times in seconds at which they were sent and broke off.
        requests_by_prompt: What a request has in common with its repeats, by
            its prompt, if known.
        is_explained: Whether a single request explains it, which may have the
            part that crashes upstreams, or may do so by itself.
    """

    at: float
    begun: set[Prompt] = dataclasses.field(default_factory=set)
    waiting: dict[Prompt, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    requests_by_prompt: dict[Prompt, str] = dataclasses.field(
        default_factory=dict
    )
    is_explained: bool = False

    @property
    def prompts(self) -> set[Prompt]:
        """Prompts that may have caused the crash.

        What was sent to the upstream after the first request broke off, or
        broke off later, did not reach it: a proxy accepts connections for an
        upstream that has ended.
        """
        return self.begun or {
            prompt
            for prompt, (sent_at, lost_at) in self.waiting.items()
            if sent_at < self.at and lost_at <= self.at + LOSS_SPREAD_S
        }

    def involves(self, part: str) -> bool:
        """Returns whether any of the requests that broke off has a part."""
        return any(part in p[:-1] for p in (*self.begun, *self.waiting))


@dataclasses.dataclass(slots=True)
class _Suspicion:
    """Crashes in which a part was involved without having been cleared since.

    Attributes:
        crash_ids: The crashes.
        prompts: Prompts with the part that broke off in them.
        requests: Their requests, each the same as its repeats.
    """

    crash_ids: set[str] = dataclasses.field(default_factory=set)
    prompts: set[Prompt] = dataclasses.field(default_factory=set)
    requests: set[str] = dataclasses.field(default_factory=set)

    def request_count(self) -> int:
        """Returns the number of different requests, at the least.

        Repeats of a request may have a last part of their own, and different
        requests of a session the same one.
        """
        return min(
            len({prompt[-1] for prompt in self.prompts}), len(self.requests)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Culprit:
    """A part that is blamed for crashes.

    Attributes:
        part: Identifier of the part.
        crash_ids: Crashes that it explains, the oldest first.
        requests: Number of different requests in which it crashed upstreams.
    """

    part: str
    crash_ids: tuple[str, ...]
    requests: int


class CrashHistory:
    """Recent crashes and the parts of prompts that may have caused them.

    An upstream crashes when it begins to answer, so that only prompts which it
    had just begun are suspected; if there are none, those that waited.
    An answer to a prompt clears its parts of earlier crashes. Crashes that a
    blamed part explains count against no other part. The last part of a prompt
    is never suspected.
    """

    def __init__(self) -> None:
        """Creates an empty history."""
        self._crashes_by_id: collections.OrderedDict[str, _Crash] = (
            collections.OrderedDict()
        )
        self._cleared_at_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Times and numbers of answered requests.
        self._answers: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=MAX_ANSWER_COUNTS
        )
        self._blamed_parts: set[str] = set()
        # Parts whose blame has expired, the oldest first.
        self._expired_parts: dict[str, None] = {}

    def add_loss(
        self,
        crash_id: str,
        at: float,
        prompt: Prompt,
        state: AnswerState,
        sent_at: float = float("-inf"),
        request: str = "",
    ) -> None:
        """Records that a request broke off when an upstream crashed.

        Args:
            crash_id: Identifies the incarnation of the upstream.
            at: Monotonic time in seconds at which the request broke off.
            prompt: Prompt of the request.
            state: How far its answer had come; answering clears its parts.
            sent_at: Monotonic time in seconds at which it was sent, if known.
            request: What it has in common with its repeats; empty for the last
                part of its prompt.
        """
        crash = self._crashes_by_id.setdefault(crash_id, _Crash(at))
        crash.at = min(crash.at, at)
        if state is AnswerState.ANSWERING:
            for part in prompt[:-1]:
                self.clear(part, at)
        elif state is AnswerState.BEGUN:
            if len(crash.begun) < MAX_PROMPTS_OF_CRASH:
                crash.begun.add(prompt)
        elif len(crash.waiting) < MAX_PROMPTS_OF_CRASH:
            crash.waiting.setdefault(prompt, (sent_at, at))
        if request and (prompt in crash.begun or prompt in crash.waiting):
            crash.requests_by_prompt[prompt] = request
        while len(self._crashes_by_id) > MAX_CRASHES:
            self._crashes_by_id.popitem(last=False)

    def clear(self, part: str, at: float) -> None:
        """Records that an upstream answered a prompt with a part.

        Args:
            part: Identifier of the part.
            at: Monotonic time in seconds of the answer.
        """
        cleared_at = self._cleared_at_by_part
        cleared_at[part] = max(at, cleared_at.get(part, at))
        cleared_at.move_to_end(part)
        if len(cleared_at) > MAX_CLEARED_PARTS:
            cleared_at.popitem(last=False)

    def add_answers(self, count: int, at: float) -> None:
        """Records how many requests with prompts upstreams answered.

        Args:
            count: Number of requests, whatever their parts.
            at: Monotonic time in seconds up to which they were counted.
        """
        self._answers.append((at, count))

    def crash_ids(self, part: str) -> list[str]:
        """Returns the crashes in which a request with a part broke off."""
        return [
            crash_id
            for crash_id, crash in self._crashes_by_id.items()
            if crash.involves(part)
        ]

    def explain(self, crash_id: str) -> None:
        """Records that a request which comes again explains a crash."""
        crash = self._crashes_by_id.get(crash_id)
        if crash is not None:
            crash.is_explained = True

    def blame(self, part: str) -> None:
        """Has a part explain the crashes in which it was involved."""
        self._blamed_parts.add(part)

    def expire(self, part: str) -> None:
        """Releases a part that is blamed again at its next crash."""
        if part in self._blamed_parts:
            self.release(part)
            self._expired_parts[part] = None
            if len(self._expired_parts) > MAX_CLEARED_PARTS:
                del self._expired_parts[next(iter(self._expired_parts))]

    def release(self, part: str) -> None:
        """Blames a part no longer and forgets the crashes that it explained."""
        self._blamed_parts.discard(part)
        self._expired_parts.pop(part, None)
        for crash_id, crash in list(self._crashes_by_id.items()):
            if crash.involves(part):
                del self._crashes_by_id[crash_id]

    def suspected_at_by_part(self, now: float) -> dict[str, float]:
        """Returns the suspected parts with the times of their last crashes.

        Args:
            now: Monotonic time in seconds.
        """
        return {
            part: max(self._crashes_by_id[i].at for i in suspicion.crash_ids)
            for part, suspicion in self._suspicions_by_part(now).items()
        }

    def find_culprit(self, now: float) -> Culprit | None:
        """Returns the part that unexplained crashes speak against most.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The part, or None if the crashes are not conclusive. The caller
            blames it before it asks for the next one.
        """
        suspicions = self._suspicions_by_part(now)
        ranked = sorted(suspicions, key=lambda p: -len(suspicions[p].crash_ids))
        conclusive = [
            part
            for part in ranked
            if self._is_conclusive(part, suspicions[part], now)
        ]
        for part in conclusive:
            suspicion = suspicions[part]
            is_doubtful = any(
                _is_rival(other, suspicions[other], part, suspicion)
                for other in suspicions
                if other != part
            ) or any(
                _always_precedes(part, other, suspicions[other])
                for other in conclusive
                if other != part
            )
            if not is_doubtful:
                crash_ids = sorted(
                    suspicion.crash_ids,
                    key=lambda crash_id: self._crashes_by_id[crash_id].at,
                )
                return Culprit(
                    part, tuple(crash_ids), suspicion.request_count()
                )
        return None

    def _unexplained(self, now: float) -> dict[str, _Crash]:
        for crash_id, crash in list(self._crashes_by_id.items()):
            if now - crash.at > CRASH_LIFETIME_S:
                del self._crashes_by_id[crash_id]
        return {
            crash_id: crash
            for crash_id, crash in self._crashes_by_id.items()
            if not any(map(crash.involves, self._blamed_parts))
        }

    def _suspicions_by_part(self, now: float) -> dict[str, _Suspicion]:
        suspicions_by_part: dict[str, _Suspicion] = {}
        for crash_id, crash in self._unexplained(now).items():
            for prompt in crash.prompts:
                for part in prompt[:-1]:
                    if self._is_cleared(part, crash.at):
                        continue
                    found = suspicions_by_part.setdefault(part, _Suspicion())
                    found.crash_ids.add(crash_id)
                    found.prompts.add(prompt)
                    found.requests.add(
                        crash.requests_by_prompt.get(prompt, prompt[-1])
                    )
        return suspicions_by_part

    def _is_cleared(self, part: str, crashed_at: float) -> bool:
        cleared_at = self._cleared_at_by_part.get(part)
        return cleared_at is not None and cleared_at >= crashed_at

    def _is_conclusive(
        self, part: str, suspicion: _Suspicion, now: float
    ) -> bool:
        times = [self._crashes_by_id[i].at for i in suspicion.crash_ids]
        moments = _count_moments(times)
        needed = MIN_MOMENTS
        if suspicion.request_count() == 1:
            needed = MIN_MOMENTS_OF_ONE_REQUEST
        if part in self._expired_parts:
            needed = MIN_MOMENTS_AFTER_EXPIRY
        first = min(times)
        all_moments = _count_moments(
            crash.at
            for crash in self._unexplained(now).values()
            if crash.at >= first
        )
        if moments < max(needed, MIN_SHARE * all_moments):
            return False
        unexplained = [
            self._crashes_by_id[i].at
            for i in suspicion.crash_ids
            if not self._crashes_by_id[i].is_explained
        ]
        if (
            len(unexplained) < len(times)
            and _count_moments(unexplained) < MIN_UNEXPLAINED_MOMENTS
        ):
            return False
        lost = [
            prompt
            for crash_id in suspicion.crash_ids
            for prompt in self._crashes_by_id[crash_id].prompts
        ]
        share = sum(part in prompt[:-1] for prompt in lost) / len(lost)
        answers = sum(count for at, count in self._answers if at >= first)
        if (1 - share) ** answers <= MAX_DOUBT:
            return True
        all_lost = [
            prompt
            for crash_id in suspicion.crash_ids
            for prompt in (
                *self._crashes_by_id[crash_id].begun,
                *self._crashes_by_id[crash_id].waiting,
            )
        ]
        share_of_all = sum(part in p[:-1] for p in all_lost) / len(all_lost)
        return (
            moments
            >= max(MIN_MOMENTS_IN_OUTAGE, MIN_SHARE_IN_OUTAGE * all_moments)
            and share_of_all <= MAX_BREADTH_IN_OUTAGE
        )


def _count_moments(times: Iterable[float]) -> int:
    """Counts times, those closer than `MOMENT_S` to an earlier one as one."""
    count = 0
    moment_at = float("-inf")
    for time in sorted(times):
        if time - moment_at >= MOMENT_S:
            count += 1
            moment_at = time
    return count


def _is_rival(
    other: str, others: _Suspicion, part: str, suspicion: _Suspicion
) -> bool:
    """Returns whether another part may explain the crashes of a part.

    A part that always comes before it is no rival, unless it explains many
    more: refusing the later part refuses fewer requests, all of which have
    crashed upstreams. Sound parts that many requests share have as many rivals,
    as long as none of them is answered.

    Args:
        other: The other part.
        others: Suspicion against the other part.
        part: The part.
        suspicion: Suspicion against the part.
    """
    count = len(suspicion.crash_ids)
    if _always_precedes(other, part, suspicion):
        return count < MIN_NESTED_SHARE * len(others.crash_ids)
    shared = len(suspicion.crash_ids & others.crash_ids)
    return shared > min(count - MIN_LEAD, MAX_RIVAL_SHARE * count)


def _always_precedes(other: str, part: str, suspicion: _Suspicion) -> bool:
    """Returns whether a part comes after another one in each lost prompt.

    Args:
        other: The other part.
        part: The part.
        suspicion: Suspicion against the part.
    """
    return all(
        other in prompt[: prompt.index(part)] for prompt in suspicion.prompts
    )

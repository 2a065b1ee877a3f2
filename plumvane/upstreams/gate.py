"""Gate before an upstream: priority queue, admission and preemption."""

from __future__ import annotations

import heapq
import itertools

import anyio

from plumvane import clock, events
from plumvane.errors import DeadlineExceededError
from plumvane.peers.messages import Load
from plumvane.upstreams.admission import Admission

__all__ = ["Gate", "Work"]


class Work:
    """A request or batch item that wants to run.

    Attributes:
        online: Whether it is online work.
        rank: A lower rank goes first among its kind.
        deadline: Deadline, seconds since the Unix epoch.
        preempted: Set when batch work must give its place up.
    """

    __slots__ = ("admitted", "deadline", "online", "preempted", "rank")

    def __init__(
        self, *, online: bool, rank: int = 0, deadline: float = 0.0
    ) -> None:
        self.online = online
        self.rank = rank
        self.deadline = deadline
        self.admitted = anyio.Event()
        self.preempted = anyio.Event()


class Gate:
    """Admits work to one upstream, online before batch."""

    def __init__(self, policy: Admission) -> None:
        """Creates an empty gate.

        Args:
            policy: Admission policy.
        """
        self.policy = policy
        self._order = itertools.count()
        self._online_queue: list[tuple[int, float, int, Work]] = []
        self._batch_queue: list[tuple[int, float, int, Work]] = []
        self._online_running: set[Work] = set()
        # Insertion order: the newest is last.
        self._batch_running: dict[Work, None] = {}
        self.preemptions = 0

    @property
    def online(self) -> int:
        """Online requests queued and running."""
        return len(self._online_queue) + len(self._online_running)

    @property
    def batch(self) -> int:
        """Batch items queued and running."""
        return len(self._batch_queue) + len(self._batch_running)

    def load(self) -> Load:
        """Returns the load as other instances see it."""
        return Load(self.online, self.batch, self.policy.limit(), clock.wall())

    async def enter(self, work: Work) -> None:
        """Waits for a place.

        Raises:
            DeadlineExceededError: The deadline passed in the queue.
        """
        queue = self._online_queue if work.online else self._batch_queue
        item = (work.rank, work.deadline, next(self._order), work)
        heapq.heappush(queue, item)
        self._admit()
        try:
            with anyio.fail_after(max(0.0, work.deadline - clock.wall())):
                await work.admitted.wait()
        except TimeoutError:
            self._abandon(queue, work)
            raise DeadlineExceededError(
                "The deadline passed in the queue.", not_run=True
            ) from None
        except BaseException:
            self._abandon(queue, work)
            raise

    def leave(self, work: Work) -> None:
        """Gives a place back."""
        self._online_running.discard(work)
        self._batch_running.pop(work, None)
        self._admit()

    def refresh(self) -> None:
        """Admits what a changed limit allows."""
        self._admit()

    def _abandon(self, queue: list, work: Work) -> None:  # type: ignore[type-arg]
        queue[:] = [item for item in queue if item[3] is not work]
        heapq.heapify(queue)
        self.leave(work)

    def _admit(self) -> None:
        while self._online_queue and self._may_run_online():
            work = heapq.heappop(self._online_queue)[3]
            self._online_running.add(work)
            work.admitted.set()
        if self.policy.preempts:
            self._preempt_excess()
        while self._batch_queue and self._may_run_batch():
            work = heapq.heappop(self._batch_queue)[3]
            self._batch_running[work] = None
            work.admitted.set()

    def _may_run_online(self) -> bool:
        running = len(self._online_running)
        if not self.policy.preempts:
            running += len(self._batch_running)
        return running < self.policy.limit()

    def _may_run_batch(self) -> bool:
        if self._online_queue and self.policy.preempts:
            return False
        allowed = self.policy.batch_limit(len(self._online_running))
        return len(self._batch_running) < allowed

    def _preempt_excess(self) -> None:
        """Tells the newest batch items over the limit to give way."""
        staying = [w for w in self._batch_running if not w.preempted.is_set()]
        room = max(0, self.policy.limit() - len(self._online_running))
        chosen = staying[room:]
        for work in chosen:
            work.preempted.set()
            self.preemptions += 1
        if chosen:
            events.log(events.Event.BATCH_PREEMPTED, items=len(chosen))

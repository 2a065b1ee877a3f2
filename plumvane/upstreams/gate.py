"""Gate before an upstream: priority queue, admission and preemption."""

from __future__ import annotations

import heapq
import itertools

import anyio

from plumvane import clock, events
from plumvane.errors import DeadlineExceededError, OverloadedError
from plumvane.peers.messages import Load
from plumvane.upstreams.admission import Admission

__all__ = ["AdmissionController", "AdmissionRequest"]

# Steps until the prefill of a newcomer is past.
SETTLED_STEPS = 2.2
# Weight of one request in the mean time of service.
SERVICE_WEIGHT = 0.05


class AdmissionRequest:
    """A request or batch item that wants to run.

    Attributes:
        online: Whether it is online work.
        rank: A lower rank goes first among its kind.
        deadline: Deadline, seconds since the Unix epoch.
        admitted: Set when it may run.
        started_at: When it was admitted, monotonic.
        scope: Cancelled when batch work must give its place up.
        preempted: Whether it had to.
    """

    __slots__ = (
        "admitted",
        "deadline",
        "online",
        "preempted",
        "rank",
        "scope",
        "started_at",
    )

    def __init__(
        self, *, online: bool, rank: int = 0, deadline: float = 0.0
    ) -> None:
        self.online = online
        self.rank = rank
        self.deadline = deadline
        self.admitted = anyio.Event()
        self.started_at = 0.0
        self.scope = anyio.CancelScope()
        self.preempted = False

    def preempt(self) -> None:
        """Takes the place away; what runs in the scope is cancelled."""
        self.preempted = True
        self.scope.cancel()


class AdmissionController:
    """Admits work to one upstream, online before batch."""

    def __init__(self, policy: Admission) -> None:
        """Creates an empty gate.

        Args:
            policy: Admission policy.
        """
        self.policy = policy
        self._order = itertools.count()
        self._online_queue: list[tuple[int, float, int, AdmissionRequest]] = []
        self._batch_queue: list[tuple[int, float, int, AdmissionRequest]] = []
        self._online_running: set[AdmissionRequest] = set()
        # Insertion order: the newest is last.
        self._batch_running: dict[AdmissionRequest, None] = {}
        self._changed_at = 0.0
        self._batch_start_at = 0.0
        self._service_s = 0.0
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
        return Load(
            self.online,
            self.batch,
            self.policy.limit(),
            clock.wall(),
            self.policy.single_request_step_s(),
        )

    async def acquire(self, work: AdmissionRequest) -> None:
        """Waits for a place.

        Raises:
            DeadlineExceededError: The deadline passed in the queue.
            OverloadedError: The queue of online requests is full.
        """
        if work.online:
            self._check_queue(work)
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

    def release(self, work: AdmissionRequest) -> None:
        """Gives a place back."""
        if work in self._online_running:
            self._online_running.remove(work)
            self._measure_service(work)
        self._batch_running.pop(work, None)
        self._changed_at = clock.monotonic()
        self._admit()

    def observe_step(self, seconds: float) -> None:
        """Takes in the time between two tokens of any stream."""
        settled_since = clock.monotonic() - SETTLED_STEPS * seconds
        self.policy.observe_step(
            seconds,
            len(self._online_running) + len(self._batch_running),
            self._changed_at < settled_since,
        )
        self._admit()

    def expected_wait_s(self) -> float:
        """Returns how long a new online request would wait for a place."""
        if self._has_place_online() and not self._online_queue:
            return 0.0
        position = len(self._online_queue) + 1
        return position * self._service_s / self.policy.limit()

    def _check_queue(self, work: AdmissionRequest) -> None:
        """Refuses a request that would wait too long.

        Raises:
            OverloadedError: The wait exceeds the target or the deadline.
        """
        wait_s = self.expected_wait_s()
        left_s = work.deadline - clock.wall()
        if wait_s <= min(self.policy.queue_target_s, left_s):
            return
        raise OverloadedError(
            f"The queue is full: a place is expected in {wait_s:.2f} s.",
            not_run=True,
            retry_after_s=wait_s,
        )

    def _measure_service(self, work: AdmissionRequest) -> None:
        took_s = clock.monotonic() - work.started_at
        if not self._service_s:
            self._service_s = took_s
        self._service_s += SERVICE_WEIGHT * (took_s - self._service_s)

    def refresh(self) -> None:
        """Admits what a changed limit allows."""
        self._admit()

    def _abandon(self, queue: list, work: AdmissionRequest) -> None:  # type: ignore[type-arg]
        queue[:] = [item for item in queue if item[3] is not work]
        heapq.heapify(queue)
        self.release(work)

    def _admit(self) -> None:
        while self._online_queue and self._has_place_online():
            work = heapq.heappop(self._online_queue)[3]
            if work.deadline <= clock.wall():
                # Its own waiter reports it.
                continue
            self._online_running.add(work)
            self._start(work)
        self.policy.observe_online(len(self._online_running))
        if self.policy.preempts:
            self._preempt_excess()
        while self._batch_queue and self._may_run_batch():
            work = heapq.heappop(self._batch_queue)[3]
            self._batch_running[work] = None
            self._pace_batch()
            self._start(work)

    def _pace_batch(self) -> None:
        """Sets when the next batch item may start, after one has."""
        now = clock.monotonic()
        online = len(self._online_running)
        interval_s = self.policy.batch_start_interval_s(
            online, len(self._batch_running)
        )
        saved_s = interval_s * (self.policy.batch_start_burst(online) - 1)
        start_at = max(self._batch_start_at, now - saved_s) + interval_s
        self._batch_start_at = min(start_at, now + interval_s)

    def _start(self, work: AdmissionRequest) -> None:
        self._changed_at = work.started_at = clock.monotonic()
        work.admitted.set()

    def _has_place_online(self) -> bool:
        running = len(self._online_running)
        if not self.policy.preempts:
            running += len(self._batch_running)
        return running < self.policy.limit()

    def _may_run_batch(self) -> bool:
        if self._online_queue and self.policy.preempts:
            return False
        running = len(self._batch_running)
        if running and clock.monotonic() < self._batch_start_at:
            return False
        online = len(self._online_running)
        return running < self.policy.batch_start_limit(online)

    def _preempt_excess(self) -> None:
        """Takes the places of the newest batch items over the limit.

        Without online requests they harm nobody, and end by themselves.
        """
        if not self._online_running:
            return
        room = self.policy.batch_limit(len(self._online_running))
        chosen = list(self._batch_running)[room:]
        for work in chosen:
            del self._batch_running[work]
            work.preempt()
        if chosen:
            self.preemptions += len(chosen)
            self._changed_at = clock.monotonic()
            events.log(events.Event.BATCH_PREEMPTED, items=len(chosen))

"""Admission control of an upstream: priority queues, slots and preemption."""

from __future__ import annotations

import heapq
import itertools

import anyio

from plumvane import clock, events
from plumvane.errors import DeadlineExceededError, OverloadedError
from plumvane.peers.messages import Load
from plumvane.upstreams.admission import Admission

__all__ = ["AdmissionController", "AdmissionRequest"]

# Steps after which the prefill of a newly started request is complete.
PREFILL_STEPS = 2.2
# Weight of one request in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.05


class AdmissionRequest:
    """An online request or batch item that waits for a slot or holds one.

    Attributes:
        online: Whether it is an online request; otherwise a batch item.
        rank: Lower ranks are admitted first within the same queue.
        deadline: Deadline, seconds since the Unix epoch.
        admitted: Set once the request holds a slot.
        started_at: Monotonic time of admission.
        scope: Cancelled when a batch item is preempted.
        preempted: Whether it has been preempted.
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
        """Takes the slot away and cancels what runs in the scope."""
        self.preempted = True
        self.scope.cancel()


class AdmissionController:
    """Admits requests to one upstream, online requests before batch items."""

    def __init__(self, policy: Admission) -> None:
        """Creates a controller with empty queues.

        Args:
            policy: Admission policy.
        """
        self.policy = policy
        self._sequence = itertools.count()
        self._online_queue: list[tuple[int, float, int, AdmissionRequest]] = []
        self._batch_queue: list[tuple[int, float, int, AdmissionRequest]] = []
        self._online_running: set[AdmissionRequest] = set()
        # In insertion order: the most recently started item is last.
        self._batch_running: dict[AdmissionRequest, None] = {}
        self._changed_at = 0.0
        self._next_batch_start_at = 0.0
        self._mean_service_s = 0.0
        self.preemptions = 0

    @property
    def online(self) -> int:
        """Number of online requests, queued and running."""
        return len(self._online_queue) + len(self._online_running)

    @property
    def batch(self) -> int:
        """Number of batch items, queued and running."""
        return len(self._batch_queue) + len(self._batch_running)

    def load(self) -> Load:
        """Returns the load that is reported to other instances."""
        return Load(
            self.online,
            self.batch,
            self.policy.limit(),
            clock.wall(),
            self.policy.single_request_step_s(),
        )

    async def acquire(self, request: AdmissionRequest) -> None:
        """Waits for a slot.

        Raises:
            DeadlineExceededError: The deadline passed in the queue.
            OverloadedError: The expected wait of an online request exceeds the
                queueing target or its deadline.
        """
        if request.online:
            self._check_expected_wait(request)
        queue = self._online_queue if request.online else self._batch_queue
        entry = (request.rank, request.deadline, next(self._sequence), request)
        heapq.heappush(queue, entry)
        self._admit()
        try:
            with anyio.fail_after(max(0.0, request.deadline - clock.wall())):
                await request.admitted.wait()
        except TimeoutError:
            self._abandon(queue, request)
            raise DeadlineExceededError(
                "The deadline passed in the queue.", not_run=True
            ) from None
        except BaseException:
            self._abandon(queue, request)
            raise

    def release(self, request: AdmissionRequest) -> None:
        """Releases the slot of a request and admits waiting ones."""
        if request in self._online_running:
            self._online_running.remove(request)
            self._record_service_time(request)
        self._batch_running.pop(request, None)
        self._changed_at = clock.monotonic()
        self._admit()

    def observe_step(self, seconds: float) -> None:
        """Records the time between two consecutive tokens of any stream."""
        steady_since = clock.monotonic() - PREFILL_STEPS * seconds
        self.policy.observe_step(
            seconds,
            len(self._online_running) + len(self._batch_running),
            self._changed_at < steady_since,
        )
        self._admit()

    def expected_wait_s(self) -> float:
        """Returns how long a new online request would wait for a slot."""
        if self._has_online_slot() and not self._online_queue:
            return 0.0
        position = len(self._online_queue) + 1
        return position * self._mean_service_s / self.policy.limit()

    def _check_expected_wait(self, request: AdmissionRequest) -> None:
        """Checks the expected wait of an online request.

        Raises:
            OverloadedError: The wait exceeds the queueing target or the
                deadline.
        """
        wait_s = self.expected_wait_s()
        left_s = request.deadline - clock.wall()
        if wait_s <= min(self.policy.queue_target_s, left_s):
            return
        raise OverloadedError(
            f"The queue is full: a slot is expected in {wait_s:.2f} s.",
            not_run=True,
            retry_after_s=wait_s,
        )

    def _record_service_time(self, request: AdmissionRequest) -> None:
        service_s = clock.monotonic() - request.started_at
        if not self._mean_service_s:
            self._mean_service_s = service_s
        self._mean_service_s += SERVICE_TIME_WEIGHT * (
            service_s - self._mean_service_s
        )

    def refresh(self) -> None:
        """Admits waiting requests after a change of the limits."""
        self._admit()

    def _abandon(self, queue: list, request: AdmissionRequest) -> None:  # type: ignore[type-arg]
        queue[:] = [entry for entry in queue if entry[3] is not request]
        heapq.heapify(queue)
        self.release(request)

    def _admit(self) -> None:
        while self._online_queue and self._has_online_slot():
            request = heapq.heappop(self._online_queue)[3]
            if request.deadline <= clock.wall():
                # `acquire` raises the error for it.
                continue
            self._online_running.add(request)
            self._start(request)
        self.policy.observe_online(len(self._online_running))
        if self.policy.preempts:
            self._preempt_excess()
        while self._batch_queue and self._may_start_batch():
            request = heapq.heappop(self._batch_queue)[3]
            self._batch_running[request] = None
            self._schedule_next_batch_start()
            self._start(request)

    def _schedule_next_batch_start(self) -> None:
        """Updates the earliest start of the next batch item after a start."""
        now = clock.monotonic()
        online = len(self._online_running)
        interval_s = self.policy.batch_start_interval_s(
            online, len(self._batch_running)
        )
        burst_s = interval_s * (self.policy.batch_start_burst(online) - 1)
        start_at = max(self._next_batch_start_at, now - burst_s) + interval_s
        self._next_batch_start_at = min(start_at, now + interval_s)

    def _start(self, request: AdmissionRequest) -> None:
        self._changed_at = request.started_at = clock.monotonic()
        request.admitted.set()

    def _has_online_slot(self) -> bool:
        running = len(self._online_running)
        if not self.policy.preempts:
            running += len(self._batch_running)
        return running < self.policy.limit()

    def _may_start_batch(self) -> bool:
        if self._online_queue and self.policy.preempts:
            return False
        running = len(self._batch_running)
        if running and clock.monotonic() < self._next_batch_start_at:
            return False
        online = len(self._online_running)
        return running < self.policy.batch_start_limit(online)

    def _preempt_excess(self) -> None:
        """Preempts the most recently started batch items above the limit.

        Without online requests nothing is preempted: excess items delay no
        online request, and their number falls as they complete.
        """
        if not self._online_running:
            return
        limit = self.policy.batch_limit(len(self._online_running))
        preempted = list(self._batch_running)[limit:]
        for request in preempted:
            del self._batch_running[request]
            request.preempt()
        if preempted:
            self.preemptions += len(preempted)
            self._changed_at = clock.monotonic()
            events.log(events.Event.BATCH_PREEMPTED, items=len(preempted))

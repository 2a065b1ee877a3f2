"""Admission control: order, preemption, limits and the step model."""

from __future__ import annotations

import random

import anyio

from plumvane import clock
from plumvane.errors import DeadlineExceededError, OverloadedError
from plumvane.fleet.document import Policies, Workload
from plumvane.upstreams.admission import (
    INITIAL_BATCH_STARTS,
    INITIAL_LIMIT,
    MAX_SAMPLES,
    STARTS_PER_STEP_BATCH_ONLY,
    Adaptive,
    Admission,
    make_admission,
)
from plumvane.upstreams.admission_controller import (
    AdmissionController,
    AdmissionRequest,
)
from plumvane.upstreams.step_model import StepModel

BASE_S = 0.012
SLOPE_S = 0.0006
# Consecutive samples during which the same online requests run.
SAMPLES_PER_STAY = 6


def _request(*, online: bool, rank: int = 0) -> AdmissionRequest:
    return AdmissionRequest(
        online=online, rank=rank, deadline=clock.wall() + 60
    )


def _fitted_policy(
    slowdown: float, *, base_s: float = BASE_S, slope_s: float = SLOPE_S
) -> Adaptive:
    """Returns a policy fitted to an engine that ran 1 to 60 requests."""
    policy = Adaptive(Policies(batch_slowdown=slowdown))
    workload = Workload(kind="online", model="m", between_tokens_ms=39)
    policy.configure(policy._policies, [workload])
    rng = random.Random(1)
    for _ in range(400):
        running = rng.randint(1, 60)
        policy._next_step_at = 0.0
        policy.observe_step(base_s + slope_s * running, running, True)
    return policy


def test_step_model_finds_the_engines_line() -> None:
    model = StepModel()
    rng = random.Random(2)
    for _ in range(500):
        running = rng.randint(4, 40)
        noise = rng.uniform(0.97, 1.03)
        model.add(running, (BASE_S + SLOPE_S * running) * noise)
    for running in (5, 20, 40):
        expected = BASE_S + SLOPE_S * running
        assert abs(model.predict(running) - expected) < 0.05 * expected


def test_step_model_follows_an_engine_that_turns_slow() -> None:
    model = StepModel()
    rng = random.Random(3)
    for factor in (1, 5):
        for _ in range(2000):
            running = rng.randint(4, 40)
            model.add(running, factor * (BASE_S + SLOPE_S * running))
    expected = 5 * (BASE_S + SLOPE_S * 20)
    assert abs(model.predict(20) - expected) < 0.1 * expected


def test_limit_keeps_the_target_between_tokens() -> None:
    limit = _fitted_policy(1.1).limit()
    assert BASE_S + SLOPE_S * limit <= 0.039
    assert BASE_S + SLOPE_S * (limit + 8) > 0.039 * 0.9


def test_batch_lengthens_the_step_of_online_at_most_by_the_slowdown() -> None:
    policy = _fitted_policy(1.1)
    for online in (2, 10, 20):
        online_only_s = BASE_S + SLOPE_S * online
        total = online + policy.batch_limit(online)
        assert BASE_S + SLOPE_S * total <= 1.1 * online_only_s + SLOPE_S


def test_batch_alone_fills_the_target() -> None:
    policy = _fitted_policy(1.1)
    assert policy.batch_limit(0) == policy.limit()


def test_online_takes_the_place_of_the_newest_batch_item() -> None:
    async def run() -> None:
        controller = AdmissionController(_fitted_policy(1.1))
        items = []
        while len(items) < 20:
            item = _request(online=False)
            controller._next_batch_start_at = 0.0
            await controller.acquire(item)
            items.append(item)
        online = _request(online=True)
        await controller.acquire(online)
        assert online.admitted.is_set()
        preempted = [item.preempted for item in items]
        assert preempted == sorted(preempted)
        assert preempted[-1] and not preempted[0]
        assert all(item.scope.cancel_called for item in items if item.preempted)

    anyio.run(run)


def test_online_goes_before_batch_and_by_rank() -> None:
    async def run() -> None:
        controller = AdmissionController(
            make_admission(Policies(admission="fixed"))
        )
        controller.policy.configure(
            Policies(admission="fixed", fixed_concurrency=1), []
        )
        first = _request(online=True)
        await controller.acquire(first)
        order: list[str] = []

        async def enter(name: str, request: AdmissionRequest) -> None:
            await controller.acquire(request)
            order.append(name)
            controller.release(request)

        async with anyio.create_task_group() as group:
            for name, request in (
                ("batch", _request(online=False)),
                ("later", _request(online=True, rank=5)),
                ("sooner", _request(online=True, rank=1)),
            ):
                group.start_soon(enter, name, request)
                await anyio.wait_all_tasks_blocked()
            controller.release(first)
        assert order == ["sooner", "later", "batch"]

    anyio.run(run)


def test_full_queue_refuses_at_once_with_a_time() -> None:
    async def run() -> None:
        controller = _single_slot_controller(first_token_ms=200)
        running = _request(online=True)
        await controller.acquire(running)
        controller._mean_service_s = 0.5
        error = await _expect_overload(controller, _request(online=True))
        assert error.not_run
        assert error.retry_after_s == 0.5
        controller.release(running)
        await controller.acquire(_request(online=True))

    anyio.run(run)


def test_request_that_would_expire_in_the_queue_is_refused_at_once() -> None:
    async def run() -> None:
        controller = _single_slot_controller(first_token_ms=60_000)
        await controller.acquire(_request(online=True))
        controller._mean_service_s = 5.0
        late = AdmissionRequest(online=True, deadline=clock.wall() + 2)
        assert (await _expect_overload(controller, late)).not_run
        assert not late.admitted.is_set()

    anyio.run(run)


def test_expired_work_is_not_admitted() -> None:
    async def run() -> None:
        controller = _single_slot_controller(first_token_ms=60_000)
        first = _request(online=True)
        await controller.acquire(first)
        expired = AdmissionRequest(online=True, deadline=clock.wall() + 0.05)
        async with anyio.create_task_group() as group:

            async def wait() -> None:
                try:
                    await controller.acquire(expired)
                    raise AssertionError("admitted")
                except DeadlineExceededError as error:
                    assert error.not_run

            group.start_soon(wait)
            await anyio.wait_all_tasks_blocked()
            expired.deadline = 0.0
            controller.release(first)
            assert not expired.admitted.is_set()

    anyio.run(run)


def _single_slot_controller(*, first_token_ms: int) -> AdmissionController:
    policies = Policies(admission="fixed", fixed_concurrency=1)
    controller = AdmissionController(make_admission(policies))
    workload = Workload(kind="online", model="m", first_token_ms=first_token_ms)
    controller.policy.configure(policies, [workload])
    return controller


async def _expect_overload(
    controller: AdmissionController, request: AdmissionRequest
) -> OverloadedError:
    try:
        await controller.acquire(request)
    except OverloadedError as error:
        return error
    raise AssertionError("not refused")


async def _count_admitted_at_once(policy: Admission, items: int) -> int:
    """Returns how many of the queued batch items start without delay."""
    controller = AdmissionController(policy)
    requests = [_request(online=False) for _ in range(items)]
    async with anyio.create_task_group() as group:
        for request in requests:
            group.start_soon(controller.acquire, request)
        await anyio.wait_all_tasks_blocked()
        admitted = sum(request.admitted.is_set() for request in requests)
        group.cancel_scope.cancel()
    return admitted


def test_batch_half_fills_an_unknown_engine_at_once() -> None:
    policy = make_admission(Policies(admission="adaptive"))
    admitted = anyio.run(_count_admitted_at_once, policy, 2 * INITIAL_LIMIT)
    assert admitted == INITIAL_BATCH_STARTS


def test_lower_limit_preempts_no_batch_item_without_online_requests() -> None:
    async def run() -> None:
        policy = _fitted_policy(1.1)
        controller = AdmissionController(policy)
        items = []
        while len(items) < 30:
            item = _request(online=False)
            controller._next_batch_start_at = 0.0
            await controller.acquire(item)
            items.append(item)
        for running in range(2000):
            policy._next_step_at = 0.0
            step_s = 5 * (BASE_S + SLOPE_S * (running % 60))
            policy.observe_step(step_s, running % 60, True)
            controller.refresh()
        assert policy.batch_limit(0) < len(items)
        assert controller.preemptions == 0
        await controller.acquire(_request(online=True))
        assert controller.preemptions > 0

    anyio.run(run)


def test_batch_alone_runs_on_an_engine_slower_than_the_target() -> None:
    base_s, slope_s = 0.050, 0.0004
    policy = _fitted_policy(1.1, base_s=base_s, slope_s=slope_s)
    limit = policy.batch_limit(0)
    assert limit > 60
    assert base_s + slope_s * limit <= 2 * (base_s + slope_s)


def test_batch_alone_starts_several_items_a_step() -> None:
    policy = _fitted_policy(1.1, base_s=10.0, slope_s=0.1)
    admitted = anyio.run(
        _count_admitted_at_once, policy, 2 * STARTS_PER_STEP_BATCH_ONLY
    )
    assert admitted == STARTS_PER_STEP_BATCH_ONLY


def test_unknown_engine_refills_what_ran_before_without_a_pause() -> None:
    policy = Adaptive(Policies())
    policy.observe_step(0.05, INITIAL_BATCH_STARTS + 2, True)
    assert policy.batch_start_interval_s(0, INITIAL_BATCH_STARTS + 1) == 0.0
    assert policy.batch_start_interval_s(0, INITIAL_BATCH_STARTS + 2) > 0.0
    assert policy.batch_start_interval_s(1, INITIAL_BATCH_STARTS + 1) > 0.0


def test_batch_limit_stays_even_while_the_online_load_does() -> None:
    policy = _fitted_policy(1.1)
    rng = random.Random(4)
    limits = []
    for _ in range(40):
        for _ in range(MAX_SAMPLES // SAMPLES_PER_STAY):
            # About the concurrency of 12 requests/s that take 0.6 s each.
            running = sum(rng.random() < 0.1 for _ in range(72))
            for _ in range(SAMPLES_PER_STAY):
                policy._next_sample_at = 0.0
                policy.observe_online(running)
        limits.append(policy.batch_limit(0))
    assert max(limits) - min(limits) <= 4


def test_upstream_counts_as_idle_with_hardly_an_online_request() -> None:
    policy = _fitted_policy(1.1)
    for running in [0] * (MAX_SAMPLES - 3) + [1] * 3:
        policy._next_sample_at = 0.0
        policy.observe_online(running)
    assert policy.batch_limit(0) == policy.limit()
    policy._next_sample_at = 0.0
    policy.observe_online(1)
    assert policy.batch_limit(0) < policy.limit()

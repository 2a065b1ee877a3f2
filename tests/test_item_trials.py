"""When batch items run although a part of their prompt is in quarantine."""

from __future__ import annotations

import itertools

import anyio

from plumvane import clock
from plumvane.batch.jobstore import JobStore
from plumvane.discovery.quarantine import (
    MAX_QUARANTINED,
    PromptQuarantine,
    Quarantined,
)
from plumvane.serving.jobs import Item
from plumvane.store.memory import MemoryStore
from plumvane.worker.trials import FIRST_DELAY_S, MAX_DELAY_S, ItemTrials
from tests.workers import (
    JOB_ROUTE,
    FakeEngine,
    make_worker,
    run_with_timeout,
    wait_until_listed,
)

ITEMS = 6
HEADERS = {"X-Prompt-Prefix": "all:9,bad:9,own:9"}


def quarantine_part(part: str, since: float) -> Quarantined:
    return Quarantined(part, since, since + 600.0, ("u0", "u1", "u2"))


# Guards against LOST: items whose prompt shared a part with requests on which
# upstreams crashed waited until they were given up.
def test_items_with_a_refused_part_are_tried_and_their_answer_releases_it() -> (
    None
):
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine()
        quarantine = PromptQuarantine("w", None)
        since = clock.monotonic() - FIRST_DELAY_S / 2
        quarantine.put(quarantine_part("bad", since), "test")
        worker = make_worker("w", store, engine, quarantine=quarantine)
        items = tuple(
            Item(f"i{number}", "/p/x", HEADERS, b"") for number in range(ITEMS)
        )
        await JobStore(store).accept("j", "h", items, JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(quarantine.run)
            group.start_soon(worker.run)
            await anyio.sleep(FIRST_DELAY_S / 4)
            assert engine.starts == []
            results = await wait_until_listed(store, "j", ITEMS)
            group.cancel_scope.cancel()
        assert all(result.is_completed for result in results)
        assert quarantine.find(("all", "bad", "own")) is None

    run_with_timeout(steps)


def test_one_item_of_a_part_is_tried_at_a_time_and_seldom() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine()
        quarantine = PromptQuarantine("w", None)
        since = clock.monotonic() - FIRST_DELAY_S
        quarantine.put(quarantine_part("bad", since), "test")
        worker = make_worker("w", store, engine, quarantine=quarantine)
        items = tuple(
            Item(f"i{number}", "/p/x", HEADERS, b"") for number in range(ITEMS)
        )
        for item in items:
            engine.break_at_by_item[item.item_id] = 1
        await JobStore(store).accept("j", "h", items, JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(worker.run)
            await anyio.sleep(FIRST_DELAY_S)
            group.cancel_scope.cancel()
        assert len(engine.starts) == 1

    run_with_timeout(steps)


def test_trials_become_rarer_and_start_anew_with_a_later_verdict() -> None:
    trials = ItemTrials()
    part = quarantine_part("bad", 100.0)
    now, starts = 100.0, []
    while now < 400.0:
        if trials.is_due(part, now):
            trials.record_start(part, now)
            starts.append(now)
        now += 0.5
    gaps = [later - sooner for sooner, later in itertools.pairwise(starts)]
    assert starts[0] == 100.0 + FIRST_DELAY_S
    assert gaps == sorted(gaps)
    assert gaps[-1] == MAX_DELAY_S
    later = quarantine_part("bad", now)
    assert not trials.is_due(later, now)
    assert trials.is_due(later, now + FIRST_DELAY_S)


def test_memory_of_trials_is_bounded() -> None:
    trials = ItemTrials()
    for number in range(2 * MAX_QUARANTINED):
        trials.record_start(quarantine_part(f"p{number}", 0.0), 0.0)
    assert len(trials._trials_by_part) == MAX_QUARANTINED

"""Tests prefix affinity within a load bound, ejection and slow start."""

from __future__ import annotations

import collections
import contextlib
import random
from collections.abc import Iterator
from unittest import mock

from plumvane import clock, hashing
from plumvane.instances.directory import Instance
from plumvane.peers.messages import Load
from plumvane.routing import loads as loads_module
from plumvane.routing import policies
from plumvane.routing.loads import UpstreamLoads
from plumvane.routing.policies import RouteRequest, prefix_affinity


class _FakeClock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@contextlib.contextmanager
def _fake_clock() -> Iterator[_FakeClock]:
    fake_clock = _FakeClock()
    with mock.patch.object(clock, "monotonic", fake_clock):
        yield fake_clock


def _instances(number: int) -> list[Instance]:
    return [
        Instance(f"s{n}", "sidecar", f"127.0.0.1:{n}", "a", "m")
        for n in range(number)
    ]


def _load(online: int = 0, step_s: float = 0.01, time: float = 1.0) -> Load:
    return Load(online, 0, 40, time, step_s)


def _run(
    candidates: list[Instance],
    loads: UpstreamLoads,
    fake_clock: _FakeClock,
    requests: int,
    prefix: str | None = None,
) -> collections.Counter[str]:
    """Simulates 100 requests/s of 0.5 s; returns the dispatches by name."""
    rng = random.Random(7)
    chosen: collections.Counter[str] = collections.Counter()
    running: collections.deque[tuple[float, contextlib.ExitStack]] = (
        collections.deque()
    )
    for _ in range(requests):
        fake_clock.now += 0.01
        while running and running[0][0] <= fake_clock.now:
            running.popleft()[1].close()
        hot = rng.random() < 0.5
        name = prefix or ("hot" if hot else f"p{rng.randrange(40)}")
        first = prefix_affinity(candidates, RouteRequest(name), loads)[0]
        chosen[first.name] += 1
        stack = contextlib.ExitStack()
        stack.enter_context(loads.track_dispatch(first))
        running.append((fake_clock.now + 0.5, stack))
    for _, stack in running:
        stack.close()
    return chosen


def test_hot_prefix_overloads_no_upstream() -> None:
    with _fake_clock() as fake_clock:
        candidates = _instances(4)
        loads = UpstreamLoads()
        _warm_up(loads, candidates, fake_clock)
        chosen = _run(candidates, loads, fake_clock, 4000)
    assert max(chosen.values()) <= 1.25 * 1000
    assert min(chosen.values()) >= 0.6 * 1000


def test_hot_prefix_does_not_displace_the_others() -> None:
    with _fake_clock() as fake_clock:
        candidates = _instances(4)
        names = [i.name for i in candidates]
        loads = UpstreamLoads()
        _warm_up(loads, candidates, fake_clock)
        _run(candidates, loads, fake_clock, 2000)
        kept = 0
        for number in range(400):
            prefix = f"p{number % 40}"
            first = prefix_affinity(candidates, RouteRequest(prefix), loads)[0]
            kept += first.name == hashing.rank(prefix, names)[0]
            _run(candidates, loads, fake_clock, 5)
    assert kept >= 0.9 * 400


def test_prefix_keeps_its_upstream_within_the_load_bound() -> None:
    with _fake_clock() as fake_clock:
        candidates = _instances(4)
        loads = UpstreamLoads()
        _warm_up(loads, candidates, fake_clock)
        best = hashing.rank("note", [i.name for i in candidates])[0]
        for _ in range(5):
            request = RouteRequest("note")
            assert prefix_affinity(candidates, request, loads)[0].name == best


def test_new_upstream_is_not_flooded() -> None:
    with _fake_clock() as fake_clock:
        old = _instances(4)
        loads = UpstreamLoads()
        _warm_up(loads, old, fake_clock)
        _run(old, loads, fake_clock, 2000)
        grown = [*old, Instance("new", "sidecar", "127.0.0.1:99", "a", "m")]
        names = [i.name for i in grown]
        prefix = next(
            p
            for p in map(str, range(1000))
            if hashing.rank(p, names)[0] == "new"
        )
        first = _run(grown, loads, fake_clock, 200, prefix)
        _run(grown, loads, fake_clock, 2000)
        later = _run(grown, loads, fake_clock, 1000)
    assert first["new"] <= 200 / 5 / 2
    assert later["new"] >= 0.5 * 1000 / 5


def test_prefixes_keep_their_upstreams_if_all_upstreams_are_new() -> None:
    with _fake_clock() as fake_clock:
        candidates = _instances(4)
        names = [i.name for i in candidates]
        loads = UpstreamLoads()
        kept = 0
        for number in range(200):
            prefix = f"p{number % 40}"
            first = prefix_affinity(candidates, RouteRequest(prefix), loads)[0]
            kept += first.name == hashing.rank(prefix, names)[0]
            with loads.track_dispatch(first):
                fake_clock.now += 0.01
    assert kept >= 0.7 * 200


def test_failing_upstream_is_left_out_and_probed() -> None:
    with _fake_clock() as fake_clock:
        candidates = _instances(3)
        loads = UpstreamLoads()
        _warm_up(loads, candidates, fake_clock)
        failing = candidates[1]
        loads.record_failure(failing)
        assert failing not in loads.usable(candidates)
        fake_clock.now += loads_module.FAILURE_PROBE_DELAY_S
        request = RouteRequest("note")
        assert prefix_affinity(candidates, request, loads)[0] is failing
        once = RouteRequest("quote", may_probe=False)
        assert failing not in prefix_affinity(candidates, once, loads)
        with loads.track_dispatch(failing):
            # Only one probe at a time.
            assert failing not in prefix_affinity(candidates, request, loads)
            loads.update_load(failing, _load())
            assert failing not in loads.usable(candidates)
            loads.record_success(failing)
        assert failing in loads.usable(candidates)


def test_probes_of_a_failing_upstream_back_off() -> None:
    with _fake_clock() as fake_clock:
        candidates = _instances(3)
        loads = UpstreamLoads()
        failing = candidates[0]
        probes = 0
        loads.record_failure(failing)
        for _ in range(6000):
            fake_clock.now += 0.01
            if loads.due_probe(candidates) is failing:
                probes += 1
                with loads.track_dispatch(failing):
                    loads.update_load(failing, _load())
                    loads.record_failure(failing)
    assert 3 <= probes <= 7


def test_failing_upstreams_are_tried_if_all_fail() -> None:
    candidates = _instances(3)
    loads = UpstreamLoads()
    for instance in candidates:
        loads.record_failure(instance)
    assert loads.usable(candidates) == candidates


def test_slow_upstream_is_left_out_and_probed_ever_less() -> None:
    with _fake_clock() as fake_clock:
        candidates = _instances(4)
        loads = UpstreamLoads()
        slow = candidates[2]
        for instance in candidates:
            step_s = 0.05 if instance is slow else 0.01
            loads.update_load(instance, _load(step_s=step_s))
        probes = 0
        assert slow not in loads.usable(candidates)
        for _ in range(12_000):
            fake_clock.now += 0.01
            request = RouteRequest("note")
            if slow in prefix_affinity(candidates, request, loads):
                probes += 1
                with loads.track_dispatch(slow):
                    pass
        assert 1 <= probes <= 5
        loads.update_load(slow, _load(step_s=0.012, time=2.0))
        assert slow in loads.usable(candidates)


def test_load_counts_requests_of_this_and_other_entries() -> None:
    candidates = _instances(2)
    loads = UpstreamLoads()
    with (
        loads.track_dispatch(candidates[0]),
        loads.track_dispatch(candidates[0]),
    ):
        loads.update_load(candidates[0], _load(online=5))
        assert loads.online_requests(candidates[0]) == 5
        with loads.track_dispatch(candidates[0]):
            assert loads.online_requests(candidates[0]) == 6
    assert loads.online_requests(candidates[0]) == 3


def test_replaced_upstream_is_removed_once_idle() -> None:
    with _fake_clock():
        candidates = _instances(4)
        loads = UpstreamLoads()
        request = RouteRequest("note")
        prefix_affinity(candidates, request, loads)
        with loads.track_dispatch(candidates[0]):
            prefix_affinity(candidates[2:], request, loads)
            assert len(loads) == 3
        prefix_affinity(candidates[2:], request, loads)
        assert len(loads) == 2


def test_candidates_of_a_request_are_limited() -> None:
    candidates = _instances(300)
    loads = UpstreamLoads()
    names = hashing.rank("note", [i.name for i in candidates])
    order = prefix_affinity(candidates, RouteRequest("note"), loads)
    assert [i.name for i in order[:1]] == names[:1]
    assert {i.name for i in order} == set(names[: policies.MAX_TRIED_UPSTREAMS])


def _warm_up(
    loads: UpstreamLoads, candidates: list[Instance], fake_clock: _FakeClock
) -> None:
    loads.refresh(candidates)
    for instance in candidates:
        loads.update_load(instance, _load())
    fake_clock.now += 2 * loads_module.SLOW_START_S

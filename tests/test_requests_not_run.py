"""A request rejected as not run was never executed by an upstream.

Callers send completions and quotes under mixed faults; their rejections are
compared with the executions that the upstreams recorded.
"""

from __future__ import annotations

import collections
import json
import random
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from standins.launcher import MODEL, SERVICE, Fleet
from tests.fleets import Caller, running_fleet
from tests.mixed_faults import (
    ENTRIES,
    MixedFaults,
    executions,
    post,
    restart_all,
)

SEED = 17
QUOTES = 240
COMPLETIONS = 480
CALLERS = 12
ANSWERS_PER_FAULT = 100
OUTER_DEADLINE_S = 120.0
# Calls take long enough for faults to hit some of them while they run.
SERVICE_FLAGS = ("--delay_s=0.4",)
# Time from sending a request to its deadline, in seconds.
TIMEOUTS_S = (0.05, 0.5, 4.0, 8.0)
ENGINES = ("engine-0", "engine-1")
SERVICES = ("service-0", "service-1")
SIDECARS = tuple(f"{name}-sidecar" for name in ENGINES + SERVICES)
OUTCOME_UNKNOWN = "outcome_unknown"
DEADLINE_PASSED_DETAIL = "The deadline has passed."
JUST_STARTED_DETAIL = (
    "This entry has just started and knows no fleet document yet."
)
# Refusals of runs; the others precede the run, like these details and team
# limits.
CODES_OF_RUNS = frozenset(
    {
        "cancelled",
        "deadline_exceeded",
        "internal",
        "key_reused",
        "leaving",
        "link_lost",
        "overloaded",
        "store_unavailable",
        "upstream_failed",
        "upstream_unavailable",
        "wrong_upstream",
    }
)
DETAILS_BEFORE_RUNS = frozenset(
    {
        DEADLINE_PASSED_DETAIL,
        JUST_STARTED_DETAIL,
        "The entry is shutting down.",
    }
)
TEAM_LIMIT_PREFIX = "Team "

# Name of a workload of non-idempotent completions.
ONCE = "once"

# Status and decoded JSON body of an answer.
Reply = tuple[int, Any]


class _Callers:
    """Sends each completion once, and each quote until its outcome is final.

    Attributes:
        refusals_by_kind: Rejections of completions and of quotes.
        replies_by_key: Final answers to the callers of each quote.
        ended_count: Number of completions and quotes that have ended.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.refusals_by_kind: dict[str, list[Any]] = {
            "completion": [],
            "quote": [],
        }
        self.replies_by_key: dict[str, list[Reply]] = collections.defaultdict(
            list
        )
        self.ended_count = 0

    def complete(self, number: int) -> None:
        """Sends one completion without a key."""
        rng = random.Random(f"{SEED}-c{number}")
        fields = {
            "model": MODEL,
            "prompt": f"note {number}",
            "max_tokens": 30,
            "workload": rng.choice(("notes", ONCE)),
        }
        entry = self._fleet[rng.choice(ENTRIES)]
        timeout_s = rng.choice(TIMEOUTS_S)
        status, body = post(entry, "/v1/completions", fields, "", timeout_s)
        if status not in (0, 200):
            refusal = {**json.loads(body), "refused_by": entry.name}
            self.refusals_by_kind["completion"].append(refusal)
        self.ended_count += 1

    def quote(self, number: int) -> None:
        """Sends a quote from one or two callers until its outcome is final."""
        rng = random.Random(f"{SEED}-q{number}")
        with ThreadPoolExecutor(2) as pool:
            futures = [
                pool.submit(self._quote, f"q{number}", rng.random())
                for _ in range(rng.choice((1, 2)))
            ]
            for future in futures:
                future.result()
        self.ended_count += 1

    def _quote(self, key: str, seed: float) -> None:
        rng = random.Random(seed)
        deadline = time.monotonic() + OUTER_DEADLINE_S
        while time.monotonic() < deadline:
            entry = self._fleet[rng.choice(ENTRIES)]
            timeout_s = rng.choice(TIMEOUTS_S)
            status, body = post(
                entry, f"/v1/services/{SERVICE}", key, key, timeout_s
            )
            if not status:
                continue
            answer = json.loads(body)
            if status == 200 or answer.get("code") == OUTCOME_UNKNOWN:
                self.replies_by_key[key].append((status, answer))
                return
            refusal = {**answer, "refused_by": entry.name}
            self.refusals_by_kind["quote"].append(refusal)
        raise AssertionError(f"a caller of {key} was never answered")


def _check_refusals(
    callers: _Callers, executed: dict[str, int], injected: list[str]
) -> None:
    for kind, refusals in callers.refusals_by_kind.items():
        not_run = [r for r in refusals if r.get("not_run")]
        assert any(map(_is_of_run, not_run)), (
            f"no run of a {kind} was refused as not run"
        )
        wrong = [r for r in not_run if r["request_id"] in executed]
        assert not wrong, (kind, wrong)
        # A request is refused before its run only if it arrived after its
        # deadline or at an entry that was killed and has just restarted.
        for refusal in not_run:
            kill_prefix = f"killed {refusal['refused_by']},"
            was_killed = any(s.startswith(kill_prefix) for s in injected)
            just_started = (
                was_killed and refusal["detail"] == JUST_STARTED_DETAIL
            )
            deadline_passed = refusal["detail"] == DEADLINE_PASSED_DETAIL
            assert deadline_passed or just_started or _is_of_run(refusal), (
                refusal
            )


def _is_of_run(refusal: Any) -> bool:
    """Returns whether a refusal comes from a run rather than precedes it."""
    return (
        refusal["code"] in CODES_OF_RUNS
        and refusal["detail"] not in DETAILS_BEFORE_RUNS
        and not refusal["detail"].startswith(TEAM_LIMIT_PREFIX)
    )


def _check_quotes(fleet: Fleet, callers: _Callers, injected: list[str]) -> None:
    """Checks that each quote ran at most once and has one outcome."""
    runs_by_key: collections.Counter[str] = collections.Counter()
    for name in SERVICES:
        _, body = fleet.call("GET", f"{fleet[name].url}/executions")
        for quoted, count in json.loads(body)["by_body"].items():
            runs_by_key[json.loads(quoted)] += count
    assert len(callers.replies_by_key) == QUOTES
    for key, replies in callers.replies_by_key.items():
        stored = Caller(fleet).result(fleet["entry-0"], key)
        assert all(r == stored for r in replies), (
            key,
            replies,
            stored,
            injected,
        )
        assert runs_by_key[key] <= 1, (key, injected)
        if stored[0] == 200:
            assert runs_by_key[key] == 1, (key, injected)


def _document() -> dict[str, Any]:
    document = Fleet.default_document()
    once = {"kind": "online", "model": MODEL, "idempotent": False}
    document["workloads"][ONCE] = once
    return document


def test_requests_refused_as_not_run_were_not_run() -> None:
    with running_fleet(
        entries=3,
        engines=2,
        services=2,
        proxied=True,
        service_flags=SERVICE_FLAGS,
        document=_document(),
    ) as fleet:
        callers = _Callers(fleet)
        faults = MixedFaults(fleet, SIDECARS, SEED)
        with (
            ThreadPoolExecutor(CALLERS) as quote_pool,
            ThreadPoolExecutor(CALLERS) as completion_pool,
        ):
            futures = [
                quote_pool.submit(callers.quote, n) for n in range(QUOTES)
            ]
            futures += [
                completion_pool.submit(callers.complete, n)
                for n in range(COMPLETIONS)
            ]
            thresholds = range(
                ANSWERS_PER_FAULT, QUOTES + COMPLETIONS, ANSWERS_PER_FAULT
            )
            faults.inject_at(
                lambda: callers.ended_count, thresholds, "ended requests"
            )
            for future in futures:
                future.result()
        restart_all(fleet, ENTRIES + SIDECARS)
        executed = executions(fleet, ENGINES + SERVICES)
        _check_refusals(callers, executed, faults.injected)
        _check_quotes(fleet, callers, faults.injected)
        print(faults.injected)
        counts = {
            kind: (
                len(found),
                sum(r.get("not_run", False) for r in found),
                collections.Counter(r["code"] for r in found),
            )
            for kind, found in callers.refusals_by_kind.items()
        }
        print(f"refusals, of them not run, by code: {counts}")

"""Order of jobs and sizes of ranges that the scheduler grants."""

from __future__ import annotations

import collections

import msgspec

from plumvane import clock
from plumvane.jobs.job import Job
from plumvane.jobs.scheduler import MAX_URGENT_WAKES, RangeScheduler
from plumvane.peers.messages import (
    JobDemand,
    OfferWork,
    OwnerView,
    PullWork,
    RangeGrant,
    Urgency,
)
from plumvane.sidecar.rate import ItemRate
from tests.jobs import job_record, renewal_report, result_ref

RATE = 10.0
SHARES = {"intake": 3, "depot": 1}


def _job(job_id: str, items: int, due_s: float, **fields: object) -> Job:
    record = job_record(
        job_id,
        items,
        deadline=clock.wall() + due_s,
        **fields,  # type: ignore[arg-type]
    )
    return Job(record, 0, 1)


def _pull(
    scheduler: RangeScheduler,
    jobs: list[Job],
    *,
    batch_order: str = "least_slack",
    items: int = 1000,
    others: tuple[OwnerView, ...] = (),
) -> RangeGrant | None:
    message = PullWork("model", "sidecar", items, "first", RATE, others)
    return scheduler.pull(message, jobs, batch_order, SHARES)


def test_urgent_job_runs_before_an_older_one() -> None:
    jobs = [
        _job("old", 500, 80.0, time=1.0),
        _job("urgent", 100, 12.0, time=2.0),
    ]
    for batch_order, first in (("fifo", "old"), ("least_slack", "urgent")):
        grant = _pull(RangeScheduler("owner"), jobs, batch_order=batch_order)
        assert grant is not None and grant.job_id == first


def test_job_that_cannot_meet_its_deadline_is_reported_and_deferred() -> None:
    jobs = [_job("hopeless", 1000, 50.0), _job("landing", 500, 60.0)]
    scheduler = RangeScheduler("owner")
    grant = _pull(scheduler, jobs)
    assert grant is not None and grant.job_id == "landing"
    scheduler.update_forecasts(jobs)
    infeasible, feasible = (job.describe() for job in jobs)
    assert infeasible.expected_finish is not None
    assert feasible.expected_finish is not None
    assert infeasible.expected_finish > infeasible.deadline
    assert feasible.expected_finish < feasible.deadline


def test_longer_of_two_jobs_with_the_same_deadline_is_deferred() -> None:
    jobs = [_job("long", 1100, 100.0), _job("short", 300, 100.0)]
    jobs[1].accepted = msgspec.structs.replace(
        jobs[1].accepted, deadline=jobs[0].accepted.deadline
    )
    grant = _pull(RangeScheduler("owner"), jobs)
    assert grant is not None and grant.job_id == "short"
    finish = jobs[1].describe().expected_finish
    assert finish is not None and finish < jobs[1].accepted.deadline


def test_job_slightly_over_its_deadline_is_not_deferred() -> None:
    jobs = [_job("tight", 110, 10.0), _job("ample", 500, 3600.0)]
    grant = _pull(RangeScheduler("owner"), jobs)
    assert grant is not None and grant.job_id == "tight"
    expected = jobs[0].describe().expected_finish
    assert expected is not None and expected > jobs[0].accepted.deadline


def test_forecast_includes_demand_of_other_owners() -> None:
    others = (OwnerView("other", (JobDemand(clock.wall() + 30.0, 250),)),)
    for views, meets_deadline in (((), True), (others, False)):
        job = _job("job", 300, 40.0)
        _pull(RangeScheduler("owner"), [job], others=views)
        finish = job.describe().expected_finish
        assert finish is not None
        assert (finish < job.accepted.deadline) == meets_deadline


def test_offers_sort_by_urgency() -> None:
    message = OfferWork("model", "sidecar", "first", RATE)
    keys = []
    for job in (
        _job("urgent", 100, 12.0),
        _job("ample", 100, 3600.0),
        _job("hopeless", 100, 1.0),
    ):
        offer = RangeScheduler("owner").offer(message, [job], "least_slack")
        assert offer.waiting
        keys.append((offer.urgency, offer.key))
    assert keys == sorted(keys)


def test_teams_are_served_by_weight_while_slack_is_ample() -> None:
    jobs = [
        _job("one", 10_000, 86_400.0, team="intake"),
        _job("two", 10_000, 86_400.0, team="depot"),
    ]
    scheduler = RangeScheduler("owner")
    items_by_job: collections.Counter[str] = collections.Counter()
    for _ in range(80):
        grant = _pull(scheduler, jobs, items=10)
        assert grant is not None
        items_by_job[grant.job_id] += grant.items
    assert items_by_job == {"one": 600, "two": 200}


def test_owners_order_jobs_of_a_single_team_by_deadline() -> None:
    message = OfferWork("model", "sidecar", "first", RATE)
    offers = []
    for due_s, served in ((3000.0, 0), (2000.0, 5)):
        scheduler = RangeScheduler("owner")
        for _ in range(served):
            _pull(scheduler, [_job("served", 100, 2000.0)], items=10)
        offers.append(
            scheduler.offer(message, [_job("job", 100, due_s)], "least_slack")
        )
    lax, due = offers
    assert (due.urgency, due.key) < (lax.urgency, lax.key)


def test_new_team_is_not_compensated_for_earlier_service() -> None:
    first = _job("one", 10_000, 86_400.0, team="depot")
    scheduler = RangeScheduler("owner")
    for _ in range(50):
        _pull(scheduler, [first], items=10)
    jobs = [first, _job("two", 10_000, 86_400.0, team="other")]
    granted = []
    for _ in range(10):
        grant = _pull(scheduler, jobs, items=10)
        assert grant is not None
        granted.append(grant.job_id)
    assert granted.count("one") == granted.count("two") == 5


def test_new_team_at_another_owner_is_not_compensated() -> None:
    first = _job("one", 10_000, 86_400.0, team="depot")
    owners = {"a": RangeScheduler("a"), "b": RangeScheduler("b")}
    for _ in range(50):
        _pull(owners["a"], [first], items=10)
    second = _job("two", 10_000, 86_400.0, team="other")
    jobs_by_owner = {"a": [first], "b": [second]}
    views: dict[str, OwnerView] = {}
    granted: list[str] = []
    for turn in range(20):
        offers = {}
        for name, scheduler in owners.items():
            if turn == 0 and name == "b":
                continue
            others = tuple(v for owner, v in views.items() if owner != name)
            message = OfferWork("model", "sidecar", "first", RATE, others)
            offers[name] = scheduler.offer(
                message, jobs_by_owner[name], "least_slack"
            )
        views = {name: offer.view for name, offer in offers.items()}
        name = min(offers, key=lambda n: (offers[n].urgency, offers[n].key))
        others = tuple(v for owner, v in views.items() if owner != name)
        grant = _pull(
            owners[name], jobs_by_owner[name], items=10, others=others
        )
        assert grant is not None
        granted.append(grant.job_id)
    assert 9 <= granted.count("two") <= 10


def test_bounded_number_of_busy_sidecars_is_woken_for_urgent_jobs() -> None:
    lax = _job("lax", 10_000, 86_400.0)
    scheduler = RangeScheduler("owner")
    for number in range(50):
        message = PullWork("model", f"sidecar-{number}", 10, "first", RATE)
        assert scheduler.pull(message, [lax], "least_slack", SHARES)
    assert scheduler.sample_busy_sidecars([lax], "fifo") == []
    scheduler = RangeScheduler("owner")
    for number in range(50):
        message = PullWork("model", f"sidecar-{number}", 10, "first", RATE)
        assert scheduler.pull(message, [lax], "least_slack", SHARES)
    jobs = [lax, _job("urgent", 100, 60.0)]
    chosen = scheduler.sample_busy_sidecars(jobs, "least_slack")
    assert len(set(chosen)) == MAX_URGENT_WAKES
    # No sidecar is woken again before the interval has passed.
    assert scheduler.sample_busy_sidecars(jobs, "least_slack") == []


def test_ranges_shrink_towards_the_end_and_the_deadline() -> None:
    sizes = {}
    for name, items, due_s in (
        ("long", 100_000, 86_400.0),
        ("ending", 100, 86_400.0),
        ("due", 100, 12.0),
    ):
        grant = _pull(RangeScheduler("owner"), [_job(name, items, due_s)])
        assert grant is not None
        sizes[name] = grant.items
    assert sizes["long"] == 1000
    assert sizes["ending"] == 50
    assert sizes["due"] < sizes["ending"]


def test_ranges_of_other_jobs_are_short_while_a_job_is_due() -> None:
    jobs = [
        _job("lax", 100_000, 86_400.0),
        _job("due", 40, 12.0, team="depot"),
    ]
    scheduler = RangeScheduler("owner")
    grants = [_pull(scheduler, jobs) for _ in range(2)]
    sizes = {grant.job_id: grant.items for grant in grants if grant}
    assert jobs[1].has_waiting
    assert sizes["lax"] < 12.0 * RATE / 2


def test_first_sidecar_leaves_items_for_others() -> None:
    jobs = [_job("job", 64, 86_400.0)]
    scheduler = RangeScheduler("owner")
    grants = [_pull(scheduler, jobs) for _ in range(2)]
    assert [grant.items for grant in grants if grant] == [32, 16]


def test_idle_sidecar_is_woken_once() -> None:
    scheduler = RangeScheduler("owner")
    message = OfferWork("model", "sidecar")
    assert not scheduler.offer(message, [], "least_slack").waiting
    assert scheduler.pop_idle_sidecars([]) == []
    jobs = [_job("job", 10, 60.0)]
    assert scheduler.pop_idle_sidecars(jobs) == ["sidecar"]
    assert scheduler.pop_idle_sidecars(jobs) == []


def test_item_rate_is_kept_while_idle() -> None:
    rate = ItemRate()
    assert rate.per_s == 0.0
    for number in range(101):
        rate.add(number / 20.0)
    rate.mark_idle()
    rate.add(1000.0)
    assert round(rate.per_s, 3) == 20.0


def test_offer_request_updates_views_of_other_owners() -> None:
    busy, free = (
        OwnerView("other", demands, told=told)
        for demands, told in (
            ((JobDemand(clock.wall() + 30.0, 250),), 1.0),
            ((), 2.0),
        )
    )
    job = _job("job", 300, 40.0)
    scheduler = RangeScheduler("owner")
    _pull(scheduler, [job], others=(busy,))
    urgencies = []
    for view in (busy, free, busy):
        message = OfferWork("model", "sidecar", "first", RATE, (view,))
        urgencies.append(scheduler.offer(message, [job], "least_slack").urgency)
    # An older view that arrives late does not replace a newer one.
    assert urgencies == [Urgency.LATE, Urgency.URGENT, Urgency.URGENT]


def test_forecast_excludes_finished_items_of_running_ranges() -> None:
    job = _job("job", 400, 1000.0)
    scheduler = RangeScheduler("owner")
    grant = _pull(scheduler, [job])
    assert grant is not None
    expected = []
    for unsaved in (0, 150):
        job.renew(
            msgspec.structs.replace(renewal_report(grant), unsaved=unsaved)
        )
        scheduler.update_forecasts([job])
        expected.append(job.describe().expected_finish or 0.0)
    assert round((expected[0] - expected[1]) * RATE) in range(145, 151)
    # Committed results are counted only once.
    job.renew(msgspec.structs.replace(renewal_report(grant), unsaved=0))
    job.apply_done(result_ref(0, 150))
    assert job.items_to_run == 250

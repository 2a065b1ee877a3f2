"""Unit tests of the batch job."""

from __future__ import annotations

from plumvane import clock
from plumvane.jobs.job import (
    MAX_ATTEMPTS,
    MAX_LOSSES,
    Job,
)
from plumvane.jobs.results import MAX_PAGE_FAILED, MAX_PAGE_REFS
from plumvane.peers.messages import (
    ChunkRef,
    FailedItem,
    FailureKind,
    RangeDone,
    RangeGrant,
)
from tests.jobs import (
    job_record,
    make_job,
    range_report,
    renewal_report,
    result_ref,
)


def _grant(job: Job, items: int = 64, incarnation: str = "") -> RangeGrant:
    grant = job.grant(items, "sidecar", incarnation)
    assert grant is not None
    return grant


def _report(job: Job, report: RangeDone) -> tuple[FailedItem, ...]:
    """Passes a report to a job and applies what it adds."""
    results, failed = job.process_report(report)
    if results is not None:
        job.apply_done(results)
    job.apply_failed(failed)
    return failed


def test_returned_items_form_one_range() -> None:
    job = make_job(64)
    _report(job, range_report(_grant(job), result_ref(0, 10)))
    again = _grant(job)
    assert (again.first_item, again.items) == (10, 54)


def test_first_result_of_an_item_wins() -> None:
    job = make_job(10)
    job.apply_done(result_ref(0, 6, "one"))
    job.apply_done(result_ref(4, 6, "two"))
    covered = {r.digest: tuple(r.covered()) for r in job.page(0).results}
    assert covered == {"one": tuple(range(6)), "two": tuple(range(6, 10))}
    assert job.state == "completed"


def test_repeated_report_counts_once() -> None:
    job = make_job(4)
    failed = (FailedItem(3, "engine error"),)
    report = range_report(_grant(job), result_ref(0, 3), failed)
    for _ in range(MAX_ATTEMPTS + 2):
        _report(job, report)
    state = job.describe()
    assert (state.done, state.failed_count, state.state) == (3, 0, "running")


def test_engine_errors_are_retried_up_to_the_limit() -> None:
    job = make_job(1)
    attempts = 0
    while job.state == "running":
        attempts += 1
        failed = (FailedItem(0, f"error {attempts}"),)
        _report(job, range_report(_grant(job), failed=failed))
    assert attempts == MAX_ATTEMPTS
    assert job.describe().failed[0].cause == f"error {MAX_ATTEMPTS}"


def test_refused_item_fails_at_once() -> None:
    job = make_job(2)
    failed = (FailedItem(1, "max_tokens", FailureKind.REFUSED),)
    assert (
        _report(job, range_report(_grant(job), result_ref(0, 1), failed))
        == failed
    )
    assert job.state == "completed"


def test_untried_item_that_is_returned_counts_no_attempt() -> None:
    job = make_job(1)
    for _ in range(MAX_LOSSES + MAX_ATTEMPTS):
        _report(job, range_report(_grant(job)))
    assert job.describe().failed_count == 0
    assert _grant(job).items == 1


def test_loss_of_a_range_with_several_items_counts_for_none() -> None:
    job = make_job(64)
    for _ in range(MAX_LOSSES):
        lost = tuple(FailedItem(i, "lost", FailureKind.LOST) for i in range(64))
        grant = _grant(job)
        _report(job, range_report(grant, failed=lost))
    assert job.describe().failed_count == 0


def test_item_that_kills_its_sidecar_is_isolated_and_fails() -> None:
    job = make_job(64)
    faulty = 37
    grants = 0
    while job.state == "running":
        grant = _grant(job)
        items = range(grant.first_item, grant.first_item + grant.items)
        if faulty not in items:
            _report(
                job,
                range_report(grant, result_ref(grant.first_item, grant.items)),
            )
            continue
        grants += 1
        job.apply_failed(job.expire(clock.wall() + 3600.0))
    assert [item.index for item in job.describe().failed] == [faulty]
    assert job.describe().done == 63
    # Granted once in the whole range, once in a piece, then alone.
    assert grants == 2 + MAX_LOSSES


def test_claims_of_a_restarted_sidecar_are_revoked_at_once() -> None:
    job = make_job(64)
    _grant(job, incarnation="first")
    assert not job.has_waiting
    assert job.revoke_stale_claims("sidecar", "second") == ()
    assert job.has_waiting


def test_new_owner_adopts_a_claim_that_is_renewed() -> None:
    old = make_job(128)
    grant = _grant(old)
    new = Job(job_record(items=128), 0, 2)
    new.start_recovery(clock.wall())
    # Items are granted from the end, so those of the old claim still wait.
    assert _grant(new).first_item == 64
    assert new.renew(renewal_report(grant))
    assert not new.has_waiting
    _report(new, range_report(grant, result_ref(0, 64)))
    assert new.describe().done == 64


def test_renewal_of_a_range_granted_again_is_rejected() -> None:
    job = make_job(64)
    grant = _grant(job)
    job.expire(clock.wall() + 3600.0)
    taken = 0
    while job.has_waiting:
        taken += 1
        assert job.grant(64, f"sidecar-{taken}") is not None
    assert not job.renew(renewal_report(grant))


def test_late_renewal_does_not_restore_an_ended_claim() -> None:
    job = make_job(64)
    grant = _grant(job)
    _report(job, range_report(grant))
    assert not job.renew(renewal_report(grant))
    assert _grant(job).items == 64


def test_cancelled_job_grants_nothing_and_keeps_results() -> None:
    job = make_job(64)
    grant = _grant(job, 32)
    job.apply_cancelled()
    assert job.grant(1, "sidecar") is None
    assert not job.renew(renewal_report(grant))
    _report(job, range_report(grant, result_ref(0, 8)))
    assert (job.describe().done, job.state) == (8, "cancelled")
    assert job.grant(1, "sidecar") is None


def test_job_past_its_deadline_continues_and_is_marked_late() -> None:
    job = make_job(2, deadline=clock.wall() - 1.0)
    assert (job.describe().late, job.has_waiting) == (True, True)
    _report(job, range_report(_grant(job), result_ref(0, 2)))
    assert (job.describe().late, job.state) == (False, "completed")


def _read_all_indexes(job: Job) -> list[int]:
    """Reads all pages of results and returns the indexes of their items."""
    indexes: list[int] = []
    from_item = 0
    while True:
        page = job.page(from_item)
        assert len(page.results) <= 2 * MAX_PAGE_REFS
        assert len(page.failed) <= MAX_PAGE_FAILED
        covered = [i for r in page.results for i in r.covered()]
        covered.extend(item.index for item in page.failed)
        indexes.extend(
            i for i in sorted(covered) if from_item <= i < page.next_item
        )
        if page.last:
            return indexes
        assert page.next_item > from_item
        from_item = page.next_item


def test_pages_list_each_item_once_in_order() -> None:
    items = 40 * MAX_PAGE_REFS
    job = make_job(items)
    failed = tuple(range(5, items, 17))
    job.apply_failed(tuple(FailedItem(i, "cause") for i in failed))
    # One chunk with gaps overlaps many small ones.
    wide = tuple(range(0, 400, 2))
    job.apply_done(ChunkRef("wide", 0, 399, ("bulk",), wide))
    for first in range(0, items, 4):
        job.apply_done(result_ref(first, 4))
    assert _read_all_indexes(job) == list(range(items))


def test_state_lists_a_bounded_number_of_failed_items() -> None:
    job = make_job(5000)
    job.apply_failed(tuple(FailedItem(i, "cause") for i in range(4000)))
    state = job.describe()
    assert state.failed_count == 4000
    assert len(state.failed) == 100
    assert _read_all_indexes(job) == list(range(4000))


def test_sidecar_runs_pieces_of_lost_ranges_one_at_a_time() -> None:
    job = make_job(2)
    _grant(job)
    job.expire(clock.wall() + 3600.0)
    first = _grant(job)
    assert first.items == 1
    assert job.grant(64, "sidecar") is None
    elsewhere = job.grant(64, "another")
    assert elsewhere is not None
    _report(job, range_report(first, result_ref(first.first_item, 1)))
    assert job.state == "running"
    assert not job.has_waiting

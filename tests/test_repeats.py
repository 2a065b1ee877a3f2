"""Which requests that come again are blamed for crashes, without a network."""

from __future__ import annotations

from plumvane.serving.crashes import (
    CRASH_LIFETIME_S,
    MAX_CRASHES,
    AnswerState,
)
from plumvane.serving.repeats import (
    LOSS_SPREAD_S,
    MAX_REQUESTS_OF_CRASH,
    OUTAGE_S,
    RepeatHistory,
    RequestLoss,
)

# Seconds that a request runs before it breaks off, and between two crashes that
# follow each other.
RUN_S = 0.05
GAP_S = 0.3
NOW = 100.0


def add_crash(
    history: RepeatHistory,
    number: int,
    *fingerprints: str,
    at: float | None = None,
    ran_s: float = RUN_S,
    state: AnswerState = AnswerState.WAITING,
    was_received: bool = True,
) -> None:
    """Adds the crash of an upstream under some requests."""
    lost_at = number * GAP_S if at is None else at
    for fingerprint in fingerprints:
        loss = RequestLoss(
            fingerprint, lost_at - ran_s, lost_at, state, was_received
        )
        history.add_loss(f"u{number}", loss)


def blamed(history: RepeatHistory, now: float = NOW) -> list[str]:
    """Returns the requests that are blamed, one after the other."""
    found = []
    while (culprit := history.find_culprit(now)) is not None:
        history.blame(culprit.request)
        found.append(culprit.request)
    return found


def test_request_is_blamed_after_three_crashes_in_succession() -> None:
    history = RepeatHistory()
    for number in range(3):
        assert blamed(history) == []
        add_crash(history, number, "bad", f"sound{number}")
    culprit = history.find_culprit(NOW)
    assert culprit is not None
    assert culprit.crash_ids == ("u0", "u1", "u2")
    assert blamed(history) == ["bad"]


def test_crashes_under_copies_sent_before_the_first_one_count_as_one() -> None:
    history = RepeatHistory()
    # A rack is lost within some time while the request is at all its upstreams.
    for number in range(9):
        add_crash(history, number, "poll", at=1.0 + number * 0.02, ran_s=0.5)
    assert blamed(history) == []


def test_requests_that_a_proxy_accepted_for_ended_upstreams_count_as_one() -> (
    None
):
    history = RepeatHistory()
    for number in range(9):
        at = 1.0 + number * OUTAGE_S / 10
        add_crash(history, number, "poll", at=at, was_received=False)
    assert blamed(history) == []


def test_request_in_all_crashes_of_two_outages_is_blamed() -> None:
    history = RepeatHistory()
    for number in range(2):
        at = 1.0 + number * GAP_S
        add_crash(history, number, "bad", at=at, was_received=False)
    assert blamed(history) == []
    add_crash(history, 2, "bad", at=at + OUTAGE_S + 2 * RUN_S)
    assert blamed(history) == ["bad"]


def test_answer_clears_a_request_of_the_crashes_before() -> None:
    history = RepeatHistory()
    for number in range(6):
        add_crash(history, number, "poll", "bad")
        history.clear("poll", number * GAP_S + 0.1)
    assert blamed(history) == ["bad"]


def test_request_that_was_being_answered_is_cleared() -> None:
    history = RepeatHistory()
    for number in range(6):
        add_crash(history, number, "sound", state=AnswerState.ANSWERING)
    assert blamed(history) == []


def test_requests_that_wait_behind_one_that_began_are_not_suspected() -> None:
    history = RepeatHistory()
    for number in range(4):
        add_crash(history, number, "bad", state=AnswerState.BEGUN)
        add_crash(history, number, "behind")
    assert blamed(history) == ["bad"]


def test_requests_that_cannot_be_told_apart_wait_for_another_crash() -> None:
    history = RepeatHistory()
    for number in range(3):
        add_crash(history, number, "bad", "beside")
    assert blamed(history) == []
    add_crash(history, 3, "bad")
    assert blamed(history) == ["bad"]


def test_request_that_arrives_after_the_crash_is_not_suspected() -> None:
    history = RepeatHistory()
    for number in range(4):
        add_crash(history, number, "bad")
        at = number * GAP_S + RUN_S
        add_crash(history, number, "late", at=at, ran_s=RUN_S / 2)
    assert blamed(history) == ["bad"]


def test_request_that_breaks_off_long_after_the_crash_is_not_suspected() -> (
    None
):
    history = RepeatHistory()
    for number in range(4):
        add_crash(history, number, "bad")
        late = number * GAP_S + 2 * LOSS_SPREAD_S
        add_crash(history, number, "timed out", at=late, ran_s=GAP_S + RUN_S)
    assert blamed(history) == ["bad"]


def test_two_requests_that_crash_upstreams_are_both_blamed() -> None:
    history = RepeatHistory()
    for number in range(6):
        add_crash(history, number, ("bad", "worse")[number % 2])
    assert sorted(blamed(history)) == ["bad", "worse"]


def test_request_in_few_of_the_crashes_is_not_blamed() -> None:
    history = RepeatHistory()
    for number in range(12):
        unlucky = ["unlucky"] if number % 5 == 0 else []
        add_crash(history, number, f"own{number}", *unlucky)
    assert blamed(history) == []


def test_crashes_that_a_part_explains_blame_no_request() -> None:
    history = RepeatHistory()
    for number in range(4):
        add_crash(history, number, "request")
        history.explain(f"u{number}")
    assert blamed(history) == []


def test_expired_blame_returns_with_the_next_crash() -> None:
    history = RepeatHistory()
    for number in range(3):
        add_crash(history, number, "bad")
    assert blamed(history) == ["bad"]
    history.expire("bad")
    assert blamed(history) == []
    add_crash(history, 9, "bad")
    assert blamed(history) == ["bad"]


def test_released_request_needs_all_crashes_again() -> None:
    history = RepeatHistory()
    for number in range(3):
        add_crash(history, number, "bad")
    assert blamed(history) == ["bad"]
    history.release("bad")
    add_crash(history, 9, "bad")
    assert blamed(history) == []


def test_requests_of_a_crash_are_suspected_until_they_are_answered() -> None:
    history = RepeatHistory()
    add_crash(history, 0, "poll", "own")
    assert history.suspected_at_by_request(NOW) == {"poll": 0.0, "own": 0.0}
    history.clear("poll", GAP_S)
    assert set(history.suspected_at_by_request(NOW)) == {"own"}


def test_memory_is_bounded_in_size_and_time() -> None:
    history = RepeatHistory()
    for number in range(2 * MAX_CRASHES):
        requests = [f"r{n}" for n in range(2 * MAX_REQUESTS_OF_CRASH)]
        add_crash(history, number, *requests)
    assert len(history._crashes_by_id) == MAX_CRASHES
    assert all(
        len(crash.losses_by_request) == MAX_REQUESTS_OF_CRASH
        for crash in history._crashes_by_id.values()
    )
    assert blamed(history, NOW + CRASH_LIFETIME_S) == []
    assert not history._crashes_by_id

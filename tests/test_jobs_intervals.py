"""IntervalSet checked against plain sets of indexes."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from plumvane.jobs.intervals import IntervalSet, group_consecutive

SIZE = 60
_steps = st.lists(
    st.tuples(
        st.sampled_from(["add", "discard", "take_first", "take_last"]),
        st.integers(0, SIZE),
        st.integers(1, SIZE // 2),
    )
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(_steps)
def test_interval_set_behaves_like_a_set(
    steps: list[tuple[str, int, int]],
) -> None:
    intervals = IntervalSet()
    expected: set[int] = set()
    for name, first, count in steps:
        indexes = set(range(first, first + count))
        if name == "add":
            intervals.add(first, count)
            expected |= indexes
        elif name == "discard":
            removed = intervals.discard(first, count)
            assert removed == bool(expected & indexes)
            expected -= indexes
        elif expected:
            start, length = getattr(intervals, name)(count)
            assert 1 <= length <= count
            assert set(range(start, start + length)) <= expected
            expected -= set(range(start, start + length))
        assert list(intervals) == group_consecutive(sorted(expected))
        assert bool(intervals) == bool(expected)

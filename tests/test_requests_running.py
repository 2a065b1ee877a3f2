"""An answer is assembled from parts that are reordered or repeated."""

from __future__ import annotations

import anyio
import hypothesis
from hypothesis import strategies as st

from plumvane.entry.running import Request, RunningRequest
from plumvane.errors import LinkLostError
from plumvane.peers.messages import TextPart

WORDS = [f" word{number}" for number in range(8)]
WHOLE = "".join(WORDS)


def _running() -> RunningRequest:
    request = Request("t", "k", "/", b"", b"", "m", True, True, 0.0)
    return RunningRequest(request, "r1")


def _part(index: int, request_id: str = "r1") -> TextPart:
    offset = len("".join(WORDS[:index]))
    return TextPart(request_id, index, WORDS[index], 1, offset, index)


@hypothesis.settings(derandomize=True)
@hypothesis.given(st.lists(st.integers(0, len(WORDS) - 1), max_size=40))
def test_text_has_no_gap_and_no_repeat_in_any_order(order: list[int]) -> None:
    running = _running()
    for index in order:
        previous_text = running.text
        try:
            running.add_part(_part(index))
        except LinkLostError:
            assert running.text == previous_text
        assert WHOLE.startswith(running.text)
    assert running.tokens == len(running.text.split())


def test_part_of_another_request_is_rejected() -> None:
    running = _running()
    try:
        running.add_part(_part(0, "r2"))
    except LinkLostError:
        pass
    else:
        raise AssertionError("taken")
    assert running.text == ""


def test_overlapping_part_adds_only_its_new_text() -> None:
    async def read() -> str | None:
        running = _running()
        running.add_part(_part(0))
        running.add_part(TextPart("r1", 0, "".join(WORDS[:3]), 3))
        assert running.tokens == 3
        return await running.next_text()

    assert anyio.run(read) == "".join(WORDS[:3])

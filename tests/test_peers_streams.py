"""Tests streams over peer connections that are cut, frozen or delayed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from standins.engine import expected_text
from standins.launcher import Fleet
from tests.fleets import Caller, running_fleet

TOKENS = 120
SLOW_ENGINE_FLAGS = ("--step_s=0.02",)


def _joined_text(events: list[dict[str, Any]]) -> str:
    assert all("error" not in event for event in events), events[-1]
    return "".join(event["choices"][0]["text"] for event in events)


def _check_stream_with_fault(
    fault: Callable[[Fleet], None], entries: int = 1
) -> None:
    """Checks the full text of a stream with a fault after the third event."""
    with running_fleet(
        entries=entries, proxied=True, engine_flags=SLOW_ENGINE_FLAGS
    ) as fleet:
        events = []
        stream = Caller(fleet).stream(
            fleet["entry-0"], "lorry 7", key="s1", max_tokens=TOKENS
        )
        for event in stream:
            events.append(event)
            if len(events) == 3:
                fault(fleet)
        result = Caller(fleet).result(fleet["entry-0"], "s1")
    assert _joined_text(events) == expected_text("lorry 7", TOKENS)
    assert result[1]["choices"][0]["text"] == expected_text("lorry 7", TOKENS)


def test_stream_resumes_after_its_connection_is_reset() -> None:
    def cut(fleet: Fleet) -> None:
        fleet.set_peer_faults("engine-0-sidecar", mode="cut")
        fleet.set_peer_faults("engine-0-sidecar", mode="pass")

    _check_stream_with_fault(cut)


def test_stream_resumes_when_its_connection_freezes() -> None:
    def freeze(fleet: Fleet) -> None:
        fleet.set_peer_faults("engine-0-sidecar", mode="freeze", new_pass=True)

    _check_stream_with_fault(freeze)


def test_stream_completes_when_replies_are_delayed() -> None:
    def delay(fleet: Fleet) -> None:
        fleet.set_peer_faults("engine-0-sidecar", delay_s=0.3)

    _check_stream_with_fault(delay)


def test_call_succeeds_while_a_stream_masks_a_one_way_freeze() -> None:
    # The proxy holds back only data sent to the sidecar: parts of the stream
    # still arrive, but a new call does not reach the sidecar.
    with running_fleet(
        entries=1, proxied=True, engine_flags=SLOW_ENGINE_FLAGS
    ) as fleet:
        caller = Caller(fleet)
        stream = caller.stream(
            fleet["entry-0"], "lorry 8", key="s1", max_tokens=600
        )
        next(stream)
        fleet.set_peer_faults(
            "engine-0-sidecar", mode="freeze_in", new_pass=True
        )
        status, response = caller.complete(
            fleet["entry-0"], "lorry 9", key="s2", max_tokens=4
        )
        remaining_text = _joined_text(list(stream))
    assert status == 200
    assert response["choices"][0]["text"] == expected_text("lorry 9", 4)
    assert expected_text("lorry 8", 600).endswith(remaining_text)


def test_streams_of_two_entries_stay_separate_under_resets() -> None:
    with running_fleet(proxied=True, engine_flags=SLOW_ENGINE_FLAGS) as fleet:
        streams = {
            f"lorry {number}": Caller(fleet).stream(
                fleet[f"entry-{number % 2}"],
                f"lorry {number}",
                max_tokens=TOKENS,
            )
            for number in range(6)
        }
        events_by_prompt = {prompt: [next(s)] for prompt, s in streams.items()}
        for _ in range(3):
            fleet.set_peer_faults("engine-0-sidecar", mode="cut")
            fleet.set_peer_faults("engine-0-sidecar", mode="pass")
            for prompt, stream in streams.items():
                events_by_prompt[prompt].append(next(stream))
        for prompt, stream in streams.items():
            events_by_prompt[prompt].extend(stream)
    for prompt, events in events_by_prompt.items():
        assert _joined_text(events) == expected_text(prompt, TOKENS), prompt

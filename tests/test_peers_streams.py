"""Streams over connections that are cut, go silent or are late."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from standins.engine import expected_text
from standins.launcher import Fleet
from tests.fleets import Caller, running_fleet

TOKENS = 120
SLOW_ENGINE = ("--step_s=0.02",)


def _text_of(events: list[dict[str, Any]]) -> str:
    assert all("error" not in event for event in events), events[-1]
    return "".join(event["choices"][0]["text"] for event in events)


def _stream_under(fault: Callable[[Fleet], None], entries: int = 1) -> None:
    """Checks a stream's whole text when a fault strikes after its start."""
    with running_fleet(
        entries=entries, proxied=True, engine_flags=SLOW_ENGINE
    ) as fleet:
        events = []
        stream = Caller(fleet).stream(
            fleet["entry-0"], "lorry 7", key="s1", max_tokens=TOKENS
        )
        for event in stream:
            events.append(event)
            if len(events) == 3:
                fault(fleet)
        stored = Caller(fleet).result(fleet["entry-0"], "s1")
    assert _text_of(events) == expected_text("lorry 7", TOKENS)
    assert stored[1]["choices"][0]["text"] == expected_text("lorry 7", TOKENS)


def test_stream_goes_on_after_a_cut_connection() -> None:
    def cut(fleet: Fleet) -> None:
        fleet.set_peer_faults("engine-0-sidecar", mode="cut")
        fleet.set_peer_faults("engine-0-sidecar", mode="pass")

    _stream_under(cut)


def test_stream_goes_on_when_its_connection_falls_silent() -> None:
    def freeze(fleet: Fleet) -> None:
        fleet.set_peer_faults("engine-0-sidecar", mode="freeze", new_pass=True)

    _stream_under(freeze)


def test_stream_goes_on_when_answers_are_late() -> None:
    def delay(fleet: Fleet) -> None:
        fleet.set_peer_faults("engine-0-sidecar", delay_s=0.3)

    _stream_under(delay)


def test_call_gets_through_while_a_stream_hides_a_one_way_silence() -> None:
    with running_fleet(
        entries=1, proxied=True, engine_flags=SLOW_ENGINE
    ) as fleet:
        caller = Caller(fleet)
        stream = caller.stream(
            fleet["entry-0"], "lorry 8", key="s1", max_tokens=600
        )
        next(stream)
        fleet.set_peer_faults(
            "engine-0-sidecar", mode="freeze_in", new_pass=True
        )
        status, answer = caller.complete(
            fleet["entry-0"], "lorry 9", key="s2", max_tokens=4
        )
        left = _text_of(list(stream))
    assert status == 200
    assert answer["choices"][0]["text"] == expected_text("lorry 9", 4)
    assert expected_text("lorry 8", 600).endswith(left)


def test_two_entries_streams_keep_apart_under_cuts() -> None:
    with running_fleet(proxied=True, engine_flags=SLOW_ENGINE) as fleet:
        streams = {
            f"lorry {number}": Caller(fleet).stream(
                fleet[f"entry-{number % 2}"],
                f"lorry {number}",
                max_tokens=TOKENS,
            )
            for number in range(6)
        }
        texts_by_prompt = {prompt: [next(s)] for prompt, s in streams.items()}
        for _ in range(3):
            fleet.set_peer_faults("engine-0-sidecar", mode="cut")
            fleet.set_peer_faults("engine-0-sidecar", mode="pass")
            for prompt, stream in streams.items():
                texts_by_prompt[prompt].append(next(stream))
        for prompt, stream in streams.items():
            texts_by_prompt[prompt].extend(stream)
    for prompt, events in texts_by_prompt.items():
        assert _text_of(events) == expected_text(prompt, TOKENS), prompt

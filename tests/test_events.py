"""Tests of the event catalogue, its documentation and the log sink."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
import time

from plumvane import events
from plumvane.logsink import LogSink
from tests.catalogues import EVENTS, event_rows, table_rows

# Maximum time of one call, in seconds: far below what a caller would notice and
# far above a scheduling delay of the machine.
MAX_CALL_S = 1.0


def test_document_matches_the_event_catalogue() -> None:
    """`make catalogues` updates the document."""
    assert table_rows(EVENTS, 4) == event_rows()


def test_event_numbers_are_unique() -> None:
    numbers = [event.number for event in events.Event]
    assert len(numbers) == len(set(numbers))
    assert len(numbers) == len(list(events.Event.__members__))


def test_log_line_contains_number_and_fields() -> None:
    stream = io.StringIO()
    sink = events.configure(stream)
    events.log(events.Event.PARTITION_TAKEN, partition=3)
    sink.close()
    line = json.loads(stream.getvalue().splitlines()[-1])
    assert line["event"] == 3001
    assert line["message_type"] == "partition_taken"
    assert line["partition"] == 3


# Guards against a process that logs no more after one line that JSON cannot
# hold: what others have written is logged too.
def test_line_that_cannot_be_encoded_does_not_end_the_log() -> None:
    stream = io.StringIO()
    sink = LogSink(stream, lambda count: {"dropped": count})
    odd_values = (10**30, "\ud800", {1: float("nan"), "x": b"\xff"})
    for value in odd_values:
        sink({"event": 7004, "message_type": "odd", "value": value})
    sink({"event": 7005})
    sink.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["event"] for line in lines] == [7004, 7004, 7004, 7005]
    assert "1" + 30 * "0" in str(lines[0])


def test_pipe_that_nobody_reads_blocks_no_caller_and_drops_are_counted() -> (
    None
):
    reading, writing = os.pipe()
    with os.fdopen(writing, "w") as stream, os.fdopen(reading) as reader:
        sink = LogSink(stream, lambda count: {"dropped": count}, 100)
        longest_call_s = 0.0
        for number in range(20_000):
            started_at = time.perf_counter()
            sink({"number": number, "text": "x" * 100})
            longest_call_s = max(
                longest_call_s, time.perf_counter() - started_at
            )
        assert longest_call_s < MAX_CALL_S
        written = dropped = 0
        while written + dropped < 20_000:
            line = json.loads(reader.readline())
            dropped += line.get("dropped", 0)
            written += "number" in line
        assert dropped > 10_000, "the pipe and the queue hold far less"
        assert written + dropped == 20_000


def test_programs_log_to_standard_output() -> None:
    code = (
        "from plumvane import events\n"
        "sink = events.configure()\n"
        "events.log(events.Event.PROCESS_STARTED, name='x')\n"
        "sink.close()\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert json.loads(done.stdout)["event"] == 1001
    assert done.stderr == ""

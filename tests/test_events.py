"""The catalogue of events, and the document that lists it."""

from __future__ import annotations

import io
import json

from plumvane import events
from tests.catalogues import EVENTS, event_rows, table_rows


def test_document_lists_each_event_as_the_code_has_it() -> None:
    """`make catalogues` brings the document up to date."""
    assert table_rows(EVENTS, 4) == event_rows()


def test_numbers_are_used_once() -> None:
    numbers = [event.number for event in events.Event]
    assert len(numbers) == len(set(numbers))
    assert len(numbers) == len(list(events.Event.__members__))


def test_line_carries_number_and_fields() -> None:
    stream = io.StringIO()
    events.configure(stream)
    events.log(events.Event.PARTITION_TAKEN, partition=3)
    line = json.loads(stream.getvalue().splitlines()[-1])
    assert line["event"] == 3001
    assert line["message_type"] == "partition_taken"
    assert line["partition"] == 3

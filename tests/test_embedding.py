"""Test of the example that uses partition ownership as a library."""

from __future__ import annotations

import pathlib
import tempfile

import anyio

from examples import embedding
from plumvane.partitions.records import RequestStarted


def test_surviving_instance_recovers_the_record_of_the_failed_one() -> None:
    with tempfile.TemporaryDirectory() as name:
        records = anyio.run(embedding.main, pathlib.Path(name))
    assert [type(record) for record in records] == [RequestStarted]

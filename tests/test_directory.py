"""Tests of the directory of instances."""

from __future__ import annotations

import anyio

from plumvane import clock
from plumvane.instances import directory as directories
from plumvane.instances.directory import Directory
from plumvane.peers.messages import Report
from tests.fleets import running_fleet


def _report(name: str) -> Report:
    return Report(
        name,
        "sidecar",
        "127.0.0.1:1",
        "rehoboth",
        "sorter-lm",
        1,
        leaving=False,
    )


def _list_item(name: str) -> dict[str, str]:
    return {
        "name": name,
        "role": "sidecar",
        "address": "127.0.0.1:1",
        "data_centre": "rehoboth",
        "serves": "sorter-lm",
        "state": "live",
    }


def test_unlisted_instance_is_kept_while_its_report_is_recent() -> None:
    directory = Directory("http://127.0.0.1:1/instances")
    directory.apply_report(_report("new"))
    directory.apply_listing([_list_item("listed")])
    assert [i.name for i in directory.live("sidecar")] == ["listed", "new"]
    instance = directory.by_name("new")
    assert instance is not None
    instance.reported_at = (
        clock.monotonic() - directories.REPORT_MAX_AGE_S - 1.0
    )
    directory.apply_listing([_list_item("listed")])
    assert [i.name for i in directory.live("sidecar")] == ["listed"]


def test_unchanged_list_is_not_sent_again() -> None:
    with running_fleet(engines=1) as fleet:
        url = f"{fleet['instances'].url}/instances"

        async def poll_twice() -> tuple[list[str], list[str]]:
            directory = Directory(url)
            await directory.poll()
            first = [i.name for i in directory.with_role("entry")]
            await directory.poll()
            return first, [i.name for i in directory.with_role("entry")]

        first, second = anyio.run(poll_twice)
        _, body = fleet.call("GET", f"{fleet['instances'].url}/counts")
    assert first == second == ["entry-0", "entry-1"]
    assert b'"unchanged"' in body


def test_instance_restarted_at_its_address_is_live_again() -> None:
    directory = Directory("http://127.0.0.1:1/instances")
    directory.apply_listing([_list_item("listed")])
    directory.mark_leaving("127.0.0.1:1")
    directory.apply_listing([_list_item("listed")])
    assert directory.live("sidecar") == ()
    instance = directory.by_name("listed")
    assert instance is not None
    instance.leaving_until = clock.monotonic()
    directory.apply_listing([_list_item("listed")])
    assert [i.name for i in directory.live("sidecar")] == ["listed"]


def test_instance_listed_as_leaving_stays_leaving() -> None:
    directory = Directory("http://127.0.0.1:1/instances")
    leaving = {**_list_item("listed"), "state": "leaving"}
    directory.apply_listing([leaving])
    instance = directory.by_name("listed")
    assert instance is not None
    instance.leaving_until = clock.monotonic()
    directory.apply_listing([leaving])
    assert directory.live("sidecar") == ()

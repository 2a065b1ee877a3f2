"""Directory of instances: the platform's list joined with peers' reports."""

from __future__ import annotations

import dataclasses
import enum
import json
import random

import anyio

from plumvane import clock
from plumvane.httppool import NETWORK_ERRORS, HttpPool
from plumvane.peers.messages import Load, Report

__all__ = ["OTHER_POLL_S", "Directory", "Instance", "State"]

# How often the list is read by entries, and by others, which learn most from
# the entries.
ENTRY_POLL_S = 1.0
OTHER_POLL_S = 3.0
CALL_TIMEOUT_S = 2.0
# How long an instance's own word that it is leaving stands against the list.
LEAVING_S = 30.0
# A report older than this no longer proves that the instance lives.
REPORT_FRESH_S = 3.0


class State(enum.Enum):
    """Whether an instance takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True)
class Instance:
    """One instance of the fleet.

    Attributes:
        name: Unique name.
        role: `entry`, `sidecar` or `bulk`.
        address: Peer address as IP:PORT.
        data_centre: Data centre that it stands in.
        serves: Model or service behind a sidecar.
        state: Whether it takes new work.
        revision: Revision of the fleet document in force there, if known.
        load: Last known load, if any.
        reported_at: Monotonic time of its last report; 0 if none.
        leaving_until: Monotonic time up to which its own word that it is
            leaving stands, if the list says that it is live.
    """

    name: str
    role: str
    address: str
    data_centre: str
    serves: str = ""
    state: State = State.LIVE
    revision: int = 0
    load: Load | None = None
    reported_at: float = 0.0
    leaving_until: float = 0.0

    def leave(self) -> None:
        """Takes in that it is leaving."""
        self.state = State.LEAVING
        self.leaving_until = clock.monotonic() + LEAVING_S


class Directory:
    """Instances by name.

    The platform's list lags, so a report that is newer than the list's
    reading goes before it. Leaving, once said by either, stands until the
    instance is gone from the list, or for `LEAVING_S` while the list says that
    it is live: it may have been started again in its place. One that is still
    leaving refuses the next request as not run, which renews its word.
    """

    def __init__(self, url: str, poll_s: float = ENTRY_POLL_S) -> None:
        """Creates an empty directory.

        Args:
            url: URL of the platform's list.
            poll_s: Seconds between two readings of the list.
        """
        self._url = url
        self._poll_s = poll_s
        self._pool = HttpPool()
        self._instances_by_name: dict[str, Instance] = {}
        self._listed_names: set[str] = set()
        self._leaving_names: set[str] = set()
        # Answers of `live`, until an instance comes, goes or changes state.
        self._live_by_kind: dict[
            tuple[str, str | None], tuple[Instance, ...]
        ] = {}
        # Tag of the last reading; an unchanged list is not sent again.
        self._tag = ""
        self.loaded = anyio.Event()

    def by_name(self, name: str) -> Instance | None:
        """Returns an instance, or None if it is unknown."""
        return self._instances_by_name.get(name)

    def with_role(self, role: str) -> list[Instance]:
        """Returns the instances of a role, leaving ones too, by name."""
        found = [i for i in self._instances_by_name.values() if i.role == role]
        return sorted(found, key=lambda instance: instance.name)

    def live(
        self, role: str, serves: str | None = None
    ) -> tuple[Instance, ...]:
        """Returns the instances of a role that take new work, by name.

        The same tuple is returned until one of them comes, goes or changes.

        Args:
            role: The role.
            serves: Only sidecars of this model or service, if given.
        """
        found = self._live_by_kind.get((role, serves))
        if found is None:
            found = tuple(
                instance
                for instance in self.with_role(role)
                if instance.state is State.LIVE
                and (serves is None or instance.serves == serves)
            )
            self._live_by_kind[role, serves] = found
        return found

    def apply_report(self, report: Report) -> None:
        """Takes an instance's own word in."""
        instance = self._instances_by_name.get(report.name)
        if instance is None or instance.address != report.address:
            instance = Instance(
                report.name,
                report.role,
                report.address,
                report.data_centre,
                report.serves,
            )
            self._add(instance)
        instance.reported_at = clock.monotonic()
        instance.revision = _revision_after(instance.revision, report.revision)
        instance.load = report.load
        if report.leaving:
            self._leave(instance)

    def mark_leaving(self, address: str) -> None:
        """Takes in that the instance at an address refused as leaving."""
        for instance in self._instances_by_name.values():
            if instance.address == address:
                self._leave(instance)

    def apply_listing(self, listed: list[dict[str, str]]) -> None:
        """Takes a reading of the platform's list in."""
        self._listed_names = {item["name"] for item in listed}
        self._leaving_names = {
            item["name"]
            for item in listed
            if item["state"] == State.LEAVING.value
        }
        for item in listed:
            self._take_listed(item)
        self._forget_silent()
        self._return_live()
        self.loaded.set()

    async def run(self) -> None:
        """Polls the platform's list; runs always."""
        while True:
            try:
                await self.poll()
            except (TimeoutError, ValueError, KeyError, *NETWORK_ERRORS):
                pass
            await anyio.sleep(self._poll_s * random.uniform(0.8, 1.2))

    async def poll(self) -> None:
        """Reads the platform's list once."""
        with anyio.fail_after(CALL_TIMEOUT_S):
            response = await self._pool.request(
                "GET", self._url, headers=[("if-none-match", self._tag)]
            )
        if response.status == 304:
            self._forget_silent()
            self._return_live()
        if response.status == 200:
            self._tag = _entity_tag(response.headers)
            self.apply_listing(json.loads(response.content)["instances"])

    def _return_live(self) -> None:
        """Puts back what is listed as live and said long ago that it leaves."""
        now = clock.monotonic()
        for name, instance in self._instances_by_name.items():
            if name in self._leaving_names:
                self._leave(instance)
            elif (
                instance.state is State.LEAVING
                and name in self._listed_names
                and now >= instance.leaving_until
            ):
                instance.state = State.LIVE
                self._live_by_kind.clear()

    def _forget_silent(self) -> None:
        """Forgets instances that are neither listed nor reporting."""
        fresh_after = clock.monotonic() - REPORT_FRESH_S
        for name, instance in list(self._instances_by_name.items()):
            if (
                name in self._listed_names
                or instance.reported_at >= fresh_after
            ):
                continue
            del self._instances_by_name[name]
            self._live_by_kind.clear()

    def _take_listed(self, item: dict[str, str]) -> None:
        instance = self._instances_by_name.get(item["name"])
        if instance is None or instance.address != item["address"]:
            instance = Instance(
                item["name"],
                item["role"],
                item["address"],
                item["data_centre"],
                item.get("serves", ""),
            )
            self._add(instance)

    def _add(self, instance: Instance) -> None:
        self._instances_by_name[instance.name] = instance
        self._live_by_kind.clear()

    def _leave(self, instance: Instance) -> None:
        if instance.state is State.LIVE:
            self._live_by_kind.clear()
        instance.leave()


def _revision_after(known: int, reported: int) -> int:
    """Returns the revision in force after a report.

    A late report does not lower it; 0 comes from an instance that has
    started again and knows no document yet.
    """
    return max(known, reported) if reported else 0


def _entity_tag(headers: list[tuple[bytes, bytes]]) -> str:
    for name, value in headers:
        if name.lower() == b"etag":
            return value.decode("latin-1")
    return ""

"""Directory of instances, from the platform's list and direct reports."""

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

# Poll interval of the list for entries, and for other instances, which learn
# most changes from the entries, in seconds.
ENTRY_POLL_S = 1.0
OTHER_POLL_S = 3.0
CALL_TIMEOUT_S = 2.0
# Time for which an instance's own notice that it is leaving overrides the list,
# in seconds.
LEAVING_OVERRIDE_S = 30.0
# Age up to which a report shows that the instance is alive, in seconds.
REPORT_MAX_AGE_S = 3.0


class State(enum.Enum):
    """Whether an instance accepts new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True)
class Instance:
    """One instance of the fleet.

    Attributes:
        name: Unique name.
        role: `entry`, `sidecar` or `bulk`.
        address: Peer address as IP:PORT.
        data_centre: Data centre of the instance.
        serves: Model or service behind a sidecar.
        state: Whether it accepts new work.
        revision: Revision of the fleet document in force there; 0 if unknown.
        load: Last known load, if any.
        reported_at: Monotonic time of its last report in seconds; 0 if none.
        leaving_until: Monotonic time in seconds until which it counts as
            leaving although the list says that it is live.
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

    def mark_leaving(self) -> None:
        """Marks the instance as leaving."""
        self.state = State.LEAVING
        self.leaving_until = clock.monotonic() + LEAVING_OVERRIDE_S


class Directory:
    """Known instances by name.

    The platform's list lags, so a recent report overrides it. An instance that
    either source calls leaving counts as leaving until it is removed from the
    list, or for `LEAVING_OVERRIDE_S` while the list says that it is live: it
    may have been restarted at the same address. An instance that is still
    leaving refuses the next request as not run, which extends the period.
    """

    def __init__(self, url: str, poll_s: float = ENTRY_POLL_S) -> None:
        """Creates an empty directory.

        Args:
            url: URL of the platform's list.
            poll_s: Poll interval of the list, in seconds.
        """
        self._url = url
        self._poll_s = poll_s
        self._pool = HttpPool()
        self._instances_by_name: dict[str, Instance] = {}
        self._listed_address_by_name: dict[str, str] = {}
        # Addresses that the list had before an instance moved.
        self._former_address_by_name: dict[str, str] = {}
        self._leaving_names: set[str] = set()
        # Cached results of `live`; cleared when an instance is added, removed
        # or changes state.
        self._live_by_role_and_service: dict[
            tuple[str, str | None], tuple[Instance, ...]
        ] = {}
        # Entity tag of the last response; an unchanged list is not sent again.
        self._etag = ""
        self.loaded = anyio.Event()

    def by_name(self, name: str) -> Instance | None:
        """Returns an instance, or None if it is unknown."""
        return self._instances_by_name.get(name)

    def with_role(self, role: str) -> list[Instance]:
        """Returns all instances of a role, leaving ones too, sorted by name."""
        instances = [
            i for i in self._instances_by_name.values() if i.role == role
        ]
        return sorted(instances, key=lambda instance: instance.name)

    def live(
        self, role: str, serves: str | None = None
    ) -> tuple[Instance, ...]:
        """Returns the instances of a role that accept new work, by name.

        Returns the same tuple until an instance is added, removed or changes
        state.

        Args:
            role: The role.
            serves: Model or service of the sidecars to return; None for all.
        """
        instances = self._live_by_role_and_service.get((role, serves))
        if instances is None:
            instances = tuple(
                instance
                for instance in self.with_role(role)
                if instance.state is State.LIVE
                and (serves is None or instance.serves == serves)
            )
            self._live_by_role_and_service[role, serves] = instances
        return instances

    def apply_report(self, report: Report) -> None:
        """Applies a report that an instance sent of itself.

        A report from an address that the list has replaced is late and ignored.
        """
        if self._former_address_by_name.get(report.name) == report.address:
            return
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
            self._mark_instance_leaving(instance)

    def mark_leaving(self, address: str) -> None:
        """Marks an instance as leaving that refused a request for that."""
        for instance in self._instances_by_name.values():
            if instance.address == address:
                self._mark_instance_leaving(instance)

    def apply_listing(self, listed: list[dict[str, str]]) -> None:
        """Applies a listing of the platform."""
        self._update_listed_addresses(
            {item["name"]: item["address"] for item in listed}
        )
        self._leaving_names = {
            item["name"]
            for item in listed
            if item["state"] == State.LEAVING.value
        }
        for item in listed:
            self._apply_listed(item)
        self._remove_silent()
        self._reinstate_live()
        self.loaded.set()

    async def run(self) -> None:
        """Polls the platform's list until cancelled."""
        while True:
            try:
                await self.poll()
            except (TimeoutError, ValueError, KeyError, *NETWORK_ERRORS):
                pass
            await anyio.sleep(self._poll_s * random.uniform(0.8, 1.2))

    async def poll(self) -> None:
        """Polls the platform's list once."""
        with anyio.fail_after(CALL_TIMEOUT_S):
            response = await self._pool.request(
                "GET", self._url, headers=[("if-none-match", self._etag)]
            )
        if response.status == 304:
            self._remove_silent()
            self._reinstate_live()
        if response.status == 200:
            self._etag = _etag_of(response.headers)
            self.apply_listing(json.loads(response.content)["instances"])

    def _reinstate_live(self) -> None:
        """Reinstates instances that are listed live past their leaving period.

        Instances that are listed as leaving remain so.
        """
        now = clock.monotonic()
        for name, instance in self._instances_by_name.items():
            if name in self._leaving_names:
                self._mark_instance_leaving(instance)
            elif (
                instance.state is State.LEAVING
                and name in self._listed_address_by_name
                and now >= instance.leaving_until
            ):
                instance.state = State.LIVE
                self._live_by_role_and_service.clear()

    def _remove_silent(self) -> None:
        """Removes instances that are neither listed nor reporting."""
        oldest_report_at = clock.monotonic() - REPORT_MAX_AGE_S
        for name, instance in list(self._instances_by_name.items()):
            if (
                name in self._listed_address_by_name
                or instance.reported_at >= oldest_report_at
            ):
                continue
            del self._instances_by_name[name]
            self._live_by_role_and_service.clear()

    def _update_listed_addresses(self, listed: dict[str, str]) -> None:
        for name, address in self._listed_address_by_name.items():
            if name not in listed:
                self._former_address_by_name.pop(name, None)
            elif listed[name] != address:
                self._former_address_by_name[name] = address
        self._listed_address_by_name = listed

    def _apply_listed(self, item: dict[str, str]) -> None:
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
        self._live_by_role_and_service.clear()

    def _mark_instance_leaving(self, instance: Instance) -> None:
        if instance.state is State.LIVE:
            self._live_by_role_and_service.clear()
        instance.mark_leaving()


def _revision_after(known: int, reported: int) -> int:
    """Returns the revision in force at an instance after a report.

    A delayed report does not lower it. The revision 0 comes from a restarted
    instance that has no document yet and resets it.
    """
    return max(known, reported) if reported else 0


def _etag_of(headers: list[tuple[bytes, bytes]]) -> str:
    for name, value in headers:
        if name.lower() == b"etag":
            return value.decode("latin-1")
    return ""

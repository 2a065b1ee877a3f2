"""State of all instances, asked of all entries when somebody looks."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec

from plumvane import clock
from plumvane.errors import PlumvaneError
from plumvane.fleet.current import CurrentDocument
from plumvane.instances.directory import Directory, Instance, State
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    FetchViews,
    InstanceView,
    Message,
    Views,
)
from plumvane.peers.server import Call

__all__ = ["FleetStatus"]

CALL_TIMEOUT_S = 1.0


class FleetStatus:
    """Joins what each entry knows of the instances that report to it."""

    def __init__(
        self,
        name: str,
        directory: Directory,
        links: LinkPool,
        current: CurrentDocument,
    ) -> None:
        """Creates the status.

        Args:
            name: Name of this entry.
            directory: Instances of the fleet.
            links: Connections to other entries.
            current: Fleet document in force here.
        """
        self._name = name
        self._directory = directory
        self._links = links
        self._current = current

    async def send_views(self, call: Call, message: FetchViews) -> Message:
        """Serves what this entry knows."""
        return Views(self._views())

    async def instances(self) -> list[dict[str, Any]]:
        """Returns all instances, each with the newest word on it."""
        views_by_name = {view.name: view for view in self._views()}
        for view in await self._ask_entries():
            known = views_by_name.get(view.name)
            if known is None or view.age_s < known.age_s:
                views_by_name[view.name] = view
        found = []
        for role in ("entry", "sidecar", "bulk"):
            for instance in self._directory.with_role(role):
                found.append(
                    _describe(instance, views_by_name.get(instance.name))
                )
        return found

    def _views(self) -> tuple[InstanceView, ...]:
        now = clock.monotonic()
        views = [InstanceView(self._name, self._current.revision, False, 0.0)]
        for role in ("sidecar", "bulk"):
            for instance in self._directory.with_role(role):
                if instance.reported_at:
                    views.append(
                        InstanceView(
                            instance.name,
                            instance.revision,
                            instance.state is State.LEAVING,
                            now - instance.reported_at,
                            instance.load,
                        )
                    )
        return tuple(views)

    async def _ask_entries(self) -> list[InstanceView]:
        views: list[InstanceView] = []

        async def ask(address: str) -> None:
            deadline = clock.monotonic() + CALL_TIMEOUT_S
            try:
                reply = await self._links.call(
                    address, FetchViews(), deadline=deadline
                )
            except PlumvaneError:
                return
            if isinstance(reply, Views):
                views.extend(reply.views)

        async with anyio.create_task_group() as group:
            for instance in self._directory.live("entry"):
                if instance.name != self._name:
                    group.start_soon(ask, instance.address)
        return views


def _describe(instance: Instance, view: InstanceView | None) -> dict[str, Any]:
    return {
        "name": instance.name,
        "role": instance.role,
        "data_centre": instance.data_centre,
        "serves": instance.serves,
        "leaving": instance.state is State.LEAVING
        or (view is not None and view.leaving),
        "revision": view.revision or None if view else None,
        "report_age_s": view.age_s if view else None,
        "load": msgspec.to_builtins(view.load) if view else None,
    }

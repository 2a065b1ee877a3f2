"""Status of all instances, collected from all entries on request."""

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
    """Merges the entries' views of the instances that report to them."""

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
            directory: Directory of the instances.
            links: Connections to other entries.
            current: Fleet document in force here.
        """
        self._name = name
        self._directory = directory
        self._links = links
        self._current = current

    async def handle_fetch_views(
        self, call: Call, message: FetchViews
    ) -> Message:
        """Replies with the views of this entry."""
        return Views(self._local_views())

    async def instances(self) -> list[dict[str, Any]]:
        """Returns all instances, each with its most recent view."""
        views_by_name = {view.name: view for view in self._local_views()}
        for view in await self._fetch_remote_views():
            newest = views_by_name.get(view.name)
            if newest is None or view.age_s < newest.age_s:
                views_by_name[view.name] = view
        descriptions = []
        for role in ("entry", "sidecar", "bulk"):
            for instance in self._directory.with_role(role):
                descriptions.append(
                    _describe(instance, views_by_name.get(instance.name))
                )
        return descriptions

    def _local_views(self) -> tuple[InstanceView, ...]:
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

    async def _fetch_remote_views(self) -> list[InstanceView]:
        views: list[InstanceView] = []

        async def fetch(address: str) -> None:
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
                    group.start_soon(fetch, instance.address)
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

"""Items of accepted batch jobs whose route the configuration lacks."""

from __future__ import annotations

from collections.abc import Collection

from plumvane import clock, events
from plumvane.discovery.confirmation import ConfigurationCheck
from plumvane.discovery.view import FleetView
from plumvane.worker.owned import OwnedJob

__all__ = ["ROUTE_RETURN_S", "UnroutedItems", "apply_routes"]

# Time for which an operator may restore a route that accepted items need, in
# seconds.
ROUTE_RETURN_S = 5.0


def apply_routes(owned: OwnedJob, view: FleetView) -> None:
    """Takes a job's route from the configuration in force."""
    if view.routes is None:
        return
    deadline = clock.monotonic() + ROUTE_RETURN_S
    if owned.apply_routes(view.routes, deadline):
        events.log(
            events.Event.JOB_UNROUTED,
            job=owned.job.job_id,
            host=owned.job.host,
            route=owned.job.route_name,
            items=len(owned.runs_by_id),
            **view.describe_configuration(),
        )


class UnroutedItems:
    """Gives up items whose route stays removed."""

    def __init__(self, view: FleetView) -> None:
        """Creates the decision.

        Args:
            view: Configuration in force.
        """
        self._view = view
        self._check = ConfigurationCheck(view)

    async def give_up(self, jobs: Collection[OwnedJob]) -> None:
        """Gives up the items of jobs that have waited in vain for their route.

        They wait on while it is not certain that the configuration is current:
        a newer one may have the route.
        """
        now = clock.monotonic()
        if not any(owned.unrouted(now) for owned in jobs):
            return
        if not await self._check.confirm_since(now):
            return
        for owned in jobs:
            apply_routes(owned, self._view)
            for run in owned.unrouted(now):
                owned.give_up(run)
                events.log(
                    events.Event.ITEM_GIVEN_UP,
                    job=owned.job.job_id,
                    item=run.item.item_id,
                    last_event=run.last_event_id,
                    reason="its route was removed",
                    **self._view.describe_configuration(),
                )

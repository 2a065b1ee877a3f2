"""Runs items of batch jobs at upstreams."""

from __future__ import annotations

import anyio

from plumvane import clock, events
from plumvane.discovery.view import FleetView
from plumvane.errors import PlumvaneError, UpstreamFailedError
from plumvane.platform.requests import item_headers
from plumvane.relay.caller import Attempt, Reply, UpstreamCaller
from plumvane.relay.events import EventReader
from plumvane.relay.health import note_answer, note_failure
from plumvane.serving.pacing import ItemDurationEstimator
from plumvane.serving.upstreams import Upstream
from plumvane.worker.owned import ItemRun, OwnedJob

__all__ = ["ItemRunner"]

# Longest silence of a running item before it goes on elsewhere, in seconds;
# items may wait in an upstream's queue for as long.
ITEM_SILENCE_S = 2.0
# Pause of an item after a run that broke off or was refused, in seconds.
RETRY_S = 0.2
# Status of an item that can never be done.
IMPOSSIBLE = 422


class ItemRunner:
    """Runs one item at one upstream and takes its progress in."""

    def __init__(
        self,
        view: FleetView,
        caller: UpstreamCaller,
        speed: ItemDurationEstimator,
    ) -> None:
        """Creates the runner.

        Args:
            view: Routes and upstreams in force.
            caller: Sends to upstreams.
            speed: Told how fast items run.
        """
        self._view = view
        self._caller = caller
        self._speed = speed

    async def run(
        self, owned: OwnedJob, run: ItemRun, upstream: Upstream
    ) -> None:
        """Runs an item until it has an outcome, breaks off or is stopped."""
        run.upstream_id = upstream.upstream_id
        run.started = clock.monotonic()
        # It may have been stopped before this task began.
        scope = run.scope or anyio.CancelScope()
        run.scope = scope
        upstream.batch_in_flight += 1
        try:
            with scope:
                await self._run_once(owned, run, upstream)
            if scope.cancelled_caught:
                self._log(events.Event.ITEM_STOPPED, owned, run)
        except PlumvaneError as error:
            run.retry_at = clock.monotonic() + RETRY_S
            self._log(events.Event.ITEM_BROKEN, owned, run, error=str(error))
            note_failure(self._view.upstreams, upstream, error)
        finally:
            upstream.batch_in_flight -= 1
            run.scope = None
            run.is_stopping = False
            run.upstream_id = ""

    async def _run_once(
        self, owned: OwnedJob, run: ItemRun, upstream: Upstream
    ) -> None:
        item = run.item
        attempt = Attempt(
            request_id=item.item_id,
            method="POST",
            target=item.path.encode("latin-1"),
            headers=item_headers(owned.job.host, item.item_id, item.headers),
            body=item.body,
            deadline=None,
            last_event_id=run.last_event_id,
            is_idempotent=True,
            max_silence_s=ITEM_SILENCE_S,
        )
        self._log(events.Event.ITEM_STARTED, owned, run)
        async with self._caller.send(upstream, attempt) as reply:
            note_answer(upstream)
            if reply.status == 200:
                await self._read_events(run, reply)
                self._speed.observe_item(run.item.output_tokens, len(run.texts))
                owned.complete(run)
            else:
                self._take_failure(owned, run, reply)

    async def _read_events(self, run: ItemRun, reply: Reply) -> None:
        reader = EventReader(run.last_event_id)
        before, began = len(run.texts), clock.monotonic()
        try:
            async for part in reply.parts():
                for event in reader.feed(part):
                    if event.event_id is None:
                        continue
                    run.texts.append(event.data)
                    run.last_event_id = event.event_id
            reader.finish()
        finally:
            took_s = clock.monotonic() - began
            self._speed.observe_run(len(run.texts) - before, took_s)

    def _take_failure(
        self, owned: OwnedJob, run: ItemRun, reply: Reply
    ) -> None:
        is_last = reply.status == IMPOSSIBLE
        if reply.status == 500:
            is_last = owned.add_failure(run.item.item_id)
        if not is_last:
            raise UpstreamFailedError(
                f"The upstream answered the item with {reply.status}."
            )
        owned.give_up(run)
        self._log(
            events.Event.ITEM_GIVEN_UP,
            owned,
            run,
            status=reply.status,
            failures=owned.failures(run.item.item_id),
        )

    def _log(
        self,
        event: events.Event,
        owned: OwnedJob,
        run: ItemRun,
        **fields: object,
    ) -> None:
        events.log(
            event,
            job=owned.job.job_id,
            item=run.item.item_id,
            upstream=run.upstream_id,
            last_event=run.last_event_id,
            **fields,
        )

"""Runs items of batch jobs at upstreams."""

from __future__ import annotations

import anyio

from plumvane import clock, events
from plumvane.discovery.permits import Permits
from plumvane.discovery.quarantine import ANSWERING_EVENTS, PromptQuarantine
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    PlumvaneError,
    TextTooLongError,
    UpstreamFailedError,
    UpstreamLostError,
)
from plumvane.platform.requests import item_headers
from plumvane.relay.client import Attempt, UpstreamClient, UpstreamResponse
from plumvane.relay.events import EventStreamParser, read_events
from plumvane.relay.health import record_failure, record_success
from plumvane.serving.jobs import PAGE_BYTES, Item
from plumvane.serving.pace import StreamTimer
from plumvane.serving.pacing import ItemDurationEstimator
from plumvane.serving.upstreams import Upstream
from plumvane.worker.owned import ItemRun, OwnedJob

__all__ = ["ItemRunner"]

# Longest time without a numbered event from a running item before it is resumed
# elsewhere, in seconds. Time in the upstream's queue counts too.
ITEM_IDLE_TIMEOUT_S = 2.0
# Delay before an item whose run was interrupted or refused is retried, in
# seconds.
RETRY_S = 0.2
# The same after an internal error, which the next run may well repeat.
FAULT_RETRY_S = 2.0
# Status of an item that no upstream can complete; it is not retried.
PERMANENT_FAILURE_STATUS = 422
# Maximum size of an item's text, in characters: a longer one fits neither one
# value of the store nor one response. Each event adds an overhead, so that
# events without data are limited too.
MAX_TEXT_SIZE = PAGE_BYTES
EVENT_OVERHEAD = 16
# Maximum number of events of an item: a multiple of its output tokens, of which
# an event has at least one, with room for closing events.
MAX_EVENTS_PER_TOKEN = 2
MAX_CLOSING_EVENTS = 16


class ItemRunner:
    """Runs items at upstreams and records their progress."""

    def __init__(
        self,
        view: FleetView,
        caller: UpstreamClient,
        quarantine: PromptQuarantine,
        permits: Permits,
        speed: ItemDurationEstimator,
    ) -> None:
        """Creates the runner.

        Args:
            view: Routes and upstreams in force.
            caller: Sends items to upstreams.
            quarantine: Parts of prompts that crash upstreams.
            permits: Permits for upstreams that limit their rate.
            speed: Estimate that is updated with how fast items run.
        """
        self._view = view
        self._caller = caller
        self._quarantine = quarantine
        self._permits = permits
        self._speed = speed

    async def run(
        self,
        owned: OwnedJob,
        run: ItemRun,
        upstream: Upstream,
        *,
        is_urgent: bool = False,
    ) -> None:
        """Runs an item until it has an outcome, is interrupted or stopped.

        Without a permit for the upstream, the item does not run.

        Args:
            owned: The item's job.
            run: The item.
            upstream: Upstream to run the item at.
            is_urgent: Whether the item may take the last permits.
        """
        run.upstream_id = upstream.upstream_id
        run.started = clock.monotonic()
        run.received_events = None
        # The run may have been stopped before this task started.
        scope = run.scope or anyio.CancelScope()
        run.scope = scope
        upstream.batch_in_flight += 1
        try:
            with scope:
                if await self._permits.acquire(
                    upstream, run.item.item_id, is_urgent=is_urgent
                ):
                    await self._run_once(owned, run, upstream)
            if scope.cancelled_caught:
                self._log(events.Event.ITEM_STOPPED, owned, run)
        except PlumvaneError as error:
            run.retry_at = clock.monotonic() + RETRY_S
            self._log(events.Event.ITEM_BROKEN, owned, run, error=str(error))
            record_failure(self._view.upstreams, upstream, error)
            if isinstance(error, UpstreamLostError):
                self._quarantine.record_loss(
                    upstream, run.prompt, run.received_events
                )
        except Exception as error:
            # A fault in one item must not end the runs of all others.
            run.retry_at = clock.monotonic() + FAULT_RETRY_S
            self._log(events.Event.ITEM_FAULT, owned, run, error=repr(error))
        finally:
            upstream.batch_in_flight -= 1
            run.scope = None
            run.is_stopping = False
            run.upstream_id = ""

    def _team(self, owned: OwnedJob) -> str | None:
        """Returns a job's team, empty for none; None if there are no teams."""
        routes = self._view.routes
        has_teams = routes is not None and routes.teams is not None
        return owned.job.team if owned.job.team or has_teams else None

    async def _run_once(
        self, owned: OwnedJob, run: ItemRun, upstream: Upstream
    ) -> None:
        item = run.item
        attempt = Attempt(
            request_id=item.item_id,
            method="POST",
            target=item.path.encode("latin-1"),
            headers=item_headers(
                owned.job.host, item.item_id, item.headers, self._team(owned)
            ),
            body=item.body,
            deadline=None,
            last_event_id=run.last_event_id,
            is_idempotent=True,
            read_timeout_s=ITEM_IDLE_TIMEOUT_S,
        )
        self._log(
            events.Event.ITEM_STARTED,
            owned,
            run,
            version=upstream.listed.version,
            prompt=run.prompt,
        )
        async with self._caller.send(upstream, attempt) as reply:
            record_success(upstream)
            if reply.status == 200:
                run.received_events = 0
                await self._read_events(owned, run, upstream, reply)
                self._speed.observe_item(run.item.output_tokens, len(run.texts))
                if run.received_events < ANSWERING_EVENTS:
                    self._quarantine.record_answer(run.prompt)
                owned.complete(run)
            else:
                self._handle_failure(owned, run, reply)

    async def _read_events(
        self,
        owned: OwnedJob,
        run: ItemRun,
        upstream: Upstream,
        reply: UpstreamResponse,
    ) -> None:
        events_before, started = len(run.texts), clock.monotonic()
        try:
            await self._append_events(run, upstream, reply)
        except TextTooLongError:
            self._discard_text(owned, run)
            raise
        finally:
            duration_s = clock.monotonic() - started
            event_count = max(0, len(run.texts) - events_before)
            self._speed.observe_run(event_count, duration_s)

    async def _append_events(
        self, run: ItemRun, upstream: Upstream, reply: UpstreamResponse
    ) -> None:
        version = upstream.listed.version
        timer = StreamTimer(upstream.pace_samples, reply.head.load, None)
        parser = EventStreamParser(run.last_event_id)
        size = sum(EVENT_OVERHEAD + len(text) for text in run.texts)
        run.received_events = 0
        idle_deadline = clock.monotonic() + ITEM_IDLE_TIMEOUT_S
        async for event in read_events(
            reply.iter_body(),
            parser,
            ITEM_IDLE_TIMEOUT_S,
            ends_with_connection=reply.head.ends_with_connection,
        ):
            if event.event_id is None:
                if clock.remaining(idle_deadline) <= 0:
                    raise UpstreamLostError(
                        "The stream had no numbered event for "
                        f"{ITEM_IDLE_TIMEOUT_S} s."
                    )
                continue
            idle_deadline = clock.monotonic() + ITEM_IDLE_TIMEOUT_S
            timer.record_event(clock.monotonic())
            run.add_event(event.event_id, event.data, version)
            size += EVENT_OVERHEAD + len(event.data)
            run.received_events += 1
            if run.received_events == ANSWERING_EVENTS:
                self._quarantine.record_answer(run.prompt)
            if size > MAX_TEXT_SIZE or len(run.texts) > _max_events(run.item):
                raise TextTooLongError(
                    f"The item's text is too long: {len(run.texts)} events "
                    f"of together {size} characters."
                )

    def _discard_text(self, owned: OwnedJob, run: ItemRun) -> None:
        """Discards a text that is too long; the item starts again.

        The item is given up after its last attempt, because its text may really
        be that long.
        """
        run.discard_events()
        if owned.record_failure(run.item.item_id):
            owned.give_up(run)
            self._log(
                events.Event.ITEM_GIVEN_UP,
                owned,
                run,
                failures=owned.failure_count(run.item.item_id),
            )

    def _handle_failure(
        self, owned: OwnedJob, run: ItemRun, reply: UpstreamResponse
    ) -> None:
        is_final = reply.status == PERMANENT_FAILURE_STATUS
        if reply.status == 500:
            is_final = owned.record_failure(run.item.item_id)
        if not is_final:
            raise UpstreamFailedError(
                f"The upstream answered the item with status {reply.status}."
            )
        owned.give_up(run)
        self._log(
            events.Event.ITEM_GIVEN_UP,
            owned,
            run,
            status=reply.status,
            failures=owned.failure_count(run.item.item_id),
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


def _max_events(item: Item) -> int:
    """Returns the number of events from which an item's text is too long."""
    if not item.output_tokens:
        return MAX_TEXT_SIZE
    return MAX_EVENTS_PER_TOKEN * item.output_tokens + MAX_CLOSING_EVENTS

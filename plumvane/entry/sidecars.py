"""Client that dispatches an entry's requests to sidecars."""

from __future__ import annotations

import anyio
import msgspec

from plumvane import clock, events
from plumvane.entry.control import call_with_retries, settle_run
from plumvane.entry.running import Request, RunningRequest
from plumvane.errors import (
    DeadlineExceededError,
    LinkLostError,
    NotFoundError,
    PlumvaneError,
    UpstreamFailedError,
    UpstreamUnavailableError,
    error_from_code,
)
from plumvane.instances.directory import Instance
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    Acknowledge,
    Attach,
    CancelRun,
    DispatchRequest,
    Message,
    Outcome,
    Settle,
)
from plumvane.requests.outcomes import unknown_outcome
from plumvane.routing.loads import UpstreamLoads

__all__ = ["SidecarClient"]

RETRY_AFTER_S = 1.0
DISCARD_TIMEOUT_S = 6.0
RETRY_INTERVAL_S = 0.05
SETTLE_POLL_INTERVAL_S = 0.1
# A request is dispatched elsewhere if its sidecar is unreachable for this time.
UNREACHABLE_TIMEOUT_S = 1.0
# A sidecar ends its runs at their deadline; the entry keeps asking for the
# outcome for this time beyond it.
DEADLINE_GRACE_S = 2.0


class SidecarClient:
    """Runs requests at sidecars and returns their outcomes."""

    def __init__(self, links: LinkPool, loads: UpstreamLoads) -> None:
        """Creates the client.

        Args:
            links: Connections to the sidecars.
            loads: Updated with the reported load and health of upstreams.
        """
        self._links = links
        self._loads = loads

    async def run(self, running: RunningRequest, sidecar: Instance) -> Outcome:
        """Dispatches to one sidecar; reattaches after lost connections.

        An idempotent request that the sidecar does not know is dispatched to
        it again.

        Raises:
            LinkLostError: The connection was lost and not restored in time.
            PlumvaneError: The sidecar refused the request or failed.
        """
        running.sidecar = sidecar
        running.tried_sidecars.append(sidecar)
        with self._loads.track_dispatch(sidecar):
            try:
                return await self._dispatch(running, sidecar)
            except (LinkLostError, UpstreamFailedError):
                self._loads.record_failure(sidecar)
                raise

    async def _dispatch(
        self, running: RunningRequest, sidecar: Instance
    ) -> Outcome:
        try:
            return await self._await_outcome(
                running, sidecar, _dispatch_message(running)
            )
        except LinkLostError as error:
            if error.not_run:
                raise
        try:
            return await self._reattach(running, sidecar)
        except PlumvaneError as error:
            # The upstream may have received the dispatch whose link was lost.
            error.not_run = error.not_run and not running.request.idempotent
            raise

    async def run_non_idempotent(
        self, running: RunningRequest, sidecar: Instance
    ) -> Outcome:
        """Runs a non-idempotent request; settles the run if its reply is lost.

        Returns:
            The outcome, which is `unknown_outcome` if the sidecar is lost.

        Raises:
            PlumvaneError: The request was refused; no upstream received it.
        """
        try:
            return await self.run(running, sidecar)
        except PlumvaneError as error:
            if error.not_run:
                raise
        return await self._settle(running, sidecar)

    async def discard(self, request_id: str, sidecars: list[Instance]) -> None:
        """Cancels a run and lets the sidecars discard its outcome.

        Args:
            request_id: Identifier of the run.
            sidecars: Sidecars that the run was dispatched to.
        """
        for sidecar in sidecars:
            for message in (CancelRun(request_id), Acknowledge((request_id,))):
                try:
                    await call_with_retries(
                        self._links,
                        sidecar.address,
                        message,
                        deadline=clock.monotonic() + DISCARD_TIMEOUT_S,
                    )
                except PlumvaneError:
                    break

    async def _reattach(
        self, running: RunningRequest, sidecar: Instance
    ) -> Outcome:
        """Attaches until the run ends or the sidecar is unreachable.

        New tokens restart the timeout.
        """
        tokens = running.tokens
        unreachable_at = clock.monotonic() + UNREACHABLE_TIMEOUT_S
        message: Message = _attach_message(running)
        while True:
            try:
                return await self._await_outcome(running, sidecar, message)
            except NotFoundError as error:
                if not running.request.idempotent:
                    raise LinkLostError(error.detail) from error
                message = _dispatch_message(running)
            except LinkLostError as error:
                error.not_run = False
                now = clock.monotonic()
                if running.tokens > tokens:
                    tokens = running.tokens
                    unreachable_at = now + UNREACHABLE_TIMEOUT_S
                elif now >= unreachable_at:
                    raise
                message = _attach_message(running)
            await anyio.sleep(RETRY_INTERVAL_S)

    async def _settle(
        self, running: RunningRequest, sidecar: Instance
    ) -> Outcome:
        """Determines the outcome of a run whose reply was lost."""
        request = running.request
        message = Settle(
            running.request_id, request.deadline, running.claimed_at
        )
        while clock.wall() < request.deadline + DEADLINE_GRACE_S:
            settled = await settle_run(self._links, sidecar.address, message)
            if settled.outcome is not None:
                return _checked_outcome(request, settled.outcome)
            if settled.state == "forbidden":
                raise UpstreamUnavailableError(
                    "The upstream did not receive the request.",
                    not_run=True,
                    retry_after_s=RETRY_AFTER_S,
                )
            if settled.state == "unknown":
                break
            try:
                return await self._attach(running, sidecar)
            except (LinkLostError, DeadlineExceededError):
                await anyio.sleep(SETTLE_POLL_INTERVAL_S)
        events.log(events.Event.OUTCOME_UNKNOWN, request_id=running.request_id)
        return unknown_outcome()

    async def _attach(
        self, running: RunningRequest, sidecar: Instance
    ) -> Outcome:
        try:
            return await self._await_outcome(
                running, sidecar, _attach_message(running)
            )
        except NotFoundError as error:
            raise LinkLostError(error.detail) from error

    async def _await_outcome(
        self, running: RunningRequest, sidecar: Instance, message: Message
    ) -> Outcome:
        """Sends a message and waits for the outcome, while parts are added."""
        timeout_s = running.request.deadline - clock.wall()
        try:
            with anyio.fail_after(max(0.0, timeout_s)):
                link = self._links.link(sidecar.address)
                async with link.open_call(message, running.add_part) as pending:
                    reply = await pending.reply()
        except TimeoutError:
            raise DeadlineExceededError(
                "The deadline passed while the request ran."
            ) from None
        if not isinstance(reply, Outcome):
            raise PlumvaneError(
                "The sidecar sent a reply of an unexpected type."
            )
        self._loads.update_load(sidecar, reply.load)
        if reply.error is None:
            self._loads.record_success(sidecar)
        outcome = msgspec.structs.replace(reply, load=None)
        return _checked_outcome(running.request, outcome)


def _attach_message(running: RunningRequest) -> Attach:
    return Attach(running.request_id, running.next_sequence)


def _dispatch_message(running: RunningRequest) -> DispatchRequest:
    request = running.request
    running.next_sequence = 0
    return DispatchRequest(
        running.request_id,
        request.path,
        request.body,
        request.online,
        request.idempotent,
        request.deadline,
        request.stream,
        request.rank,
        running.text,
        running.tokens,
        running.claimed_at,
    )


def _checked_outcome(request: Request, outcome: Outcome) -> Outcome:
    """Returns an outcome that can be committed as the request's result.

    Raises:
        PlumvaneError: The request was not run, or failed and may be run again.
    """
    failure = outcome.error
    if failure is None:
        return outcome
    if failure.not_run:
        raise error_from_code(
            failure.code,
            failure.detail,
            remedy=failure.remedy,
            not_run=True,
            retry_after_s=failure.retry_after_s,
        )
    if request.idempotent and failure.code == UpstreamFailedError.code:
        raise UpstreamFailedError(failure.detail)
    return outcome

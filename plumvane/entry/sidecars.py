"""Dispatches an entry's requests to sidecars."""

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
FORGET_S = 6.0
RETRY_S = 0.05
POLL_S = 0.1
# A sidecar that cannot be reached for this is left for another one.
REACH_S = 1.0
# A sidecar ends its runs at the deadline; its word is awaited for this.
DEADLINE_GRACE_S = 2.0


class SidecarClient:
    """Runs a request at a sidecar and brings its whole answer."""

    def __init__(self, links: LinkPool, loads: UpstreamLoads) -> None:
        """Creates the client.

        Args:
            links: Connections to the sidecars.
            loads: Told what the sidecars say of their load and health.
        """
        self._links = links
        self._loads = loads

    async def run(self, running: RunningRequest, sidecar: Instance) -> Outcome:
        """Dispatches to one sidecar; attaches again while links are lost.

        An idempotent request that the sidecar does not know is dispatched to
        it again.

        Raises:
            LinkLostError: The sidecar could not be reached again.
            PlumvaneError: The sidecar's refusal.
        """
        running.sidecar = sidecar
        running.tried_sidecars.append(sidecar)
        with self._loads.dispatched(sidecar):
            try:
                return await self._run(running, sidecar)
            except (LinkLostError, UpstreamFailedError):
                self._loads.failed(sidecar)
                raise

    async def _run(self, running: RunningRequest, sidecar: Instance) -> Outcome:
        try:
            return await self._follow(running, sidecar, _dispatch(running))
        except LinkLostError as error:
            if error.not_run:
                raise
        try:
            return await self._follow_again(running, sidecar)
        except PlumvaneError as error:
            # The lost dispatch may have reached the upstream.
            error.not_run = error.not_run and not running.request.idempotent
            raise

    async def run_non_idempotent(
        self, running: RunningRequest, sidecar: Instance
    ) -> Outcome:
        """Runs a non-idempotent request and settles a lost answer.

        Returns:
            The answer, which is `unknown_outcome` if the sidecar is lost.

        Raises:
            PlumvaneError: A refusal; no upstream was given the request.
        """
        try:
            return await self.run(running, sidecar)
        except PlumvaneError as error:
            if error.not_run:
                raise
        return await self._settle(running, sidecar)

    async def discard(
        self, request_id: str, tried_sidecars: list[Instance]
    ) -> None:
        """Ends what still runs and lets sidecars forget the answers.

        Args:
            request_id: Identifier of the run.
            tried_sidecars: Sidecars that it was dispatched to.
        """
        for sidecar in tried_sidecars:
            for message in (CancelRun(request_id), Acknowledge((request_id,))):
                try:
                    await call_with_retries(
                        self._links,
                        sidecar.address,
                        message,
                        deadline=clock.monotonic() + FORGET_S,
                    )
                except PlumvaneError:
                    break

    async def _follow_again(
        self, running: RunningRequest, sidecar: Instance
    ) -> Outcome:
        """Attaches until the answer is whole or the sidecar is lost."""
        tokens = running.tokens
        reach_deadline = clock.monotonic() + REACH_S
        message: Message = _attach(running)
        while True:
            try:
                return await self._follow(running, sidecar, message)
            except NotFoundError as error:
                if not running.request.idempotent:
                    raise LinkLostError(error.detail) from error
                message = _dispatch(running)
            except LinkLostError as error:
                error.not_run = False
                now = clock.monotonic()
                if running.tokens > tokens:
                    tokens = running.tokens
                    reach_deadline = now + REACH_S
                elif now >= reach_deadline:
                    raise
                message = _attach(running)
            await anyio.sleep(RETRY_S)

    async def _settle(
        self, running: RunningRequest, sidecar: Instance
    ) -> Outcome:
        request = running.request
        message = Settle(
            running.request_id, request.deadline, running.claimed_at
        )
        while clock.wall() < request.deadline + DEADLINE_GRACE_S:
            settled = await settle_run(self._links, sidecar.address, message)
            if settled.outcome is not None:
                return _checked(request, settled.outcome)
            if settled.state == "forbidden":
                raise UpstreamUnavailableError(
                    "The upstream was not given the request.",
                    not_run=True,
                    retry_after_s=RETRY_AFTER_S,
                )
            if settled.state == "unknown":
                break
            try:
                return await self._attach(running, sidecar)
            except (LinkLostError, DeadlineExceededError):
                await anyio.sleep(POLL_S)
        events.log(events.Event.OUTCOME_UNKNOWN, request_id=running.request_id)
        return unknown_outcome()

    async def _attach(
        self, running: RunningRequest, sidecar: Instance
    ) -> Outcome:
        try:
            return await self._follow(running, sidecar, _attach(running))
        except NotFoundError as error:
            raise LinkLostError(error.detail) from error

    async def _follow(
        self, running: RunningRequest, sidecar: Instance, message: Message
    ) -> Outcome:
        left_s = running.request.deadline - clock.wall()
        try:
            with anyio.fail_after(max(0.0, left_s)):
                link = self._links.link(sidecar.address)
                async with link.open(message, running.add_part) as pending:
                    reply = await pending.reply()
        except TimeoutError:
            raise DeadlineExceededError(
                "The deadline passed while the request ran."
            ) from None
        if not isinstance(reply, Outcome):
            raise PlumvaneError("The sidecar's reply is not understood.")
        self._loads.take_load(sidecar, reply.load)
        if reply.error is None:
            self._loads.succeeded(sidecar)
        outcome = msgspec.structs.replace(reply, load=None)
        return _checked(running.request, outcome)


def _attach(running: RunningRequest) -> Attach:
    return Attach(running.request_id, running.next_sequence)


def _dispatch(running: RunningRequest) -> DispatchRequest:
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


def _checked(request: Request, outcome: Outcome) -> Outcome:
    """Returns an outcome that can stand as the request's result.

    Raises:
        PlumvaneError: The request was not run, or may run again.
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

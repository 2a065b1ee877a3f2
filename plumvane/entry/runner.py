"""Runs callers' requests: claim, dispatch, commit, answer."""

from __future__ import annotations

import secrets

import anyio
import anyio.abc

from plumvane import clock, events
from plumvane.entry.acknowledgements import AcknowledgementBatcher
from plumvane.entry.owners import OwnerClient
from plumvane.entry.pending_results import PendingResults
from plumvane.entry.running import Answer, Request, RunningRequest
from plumvane.entry.sidecars import SidecarClient
from plumvane.errors import (
    ClaimLostError,
    DeadlineExceededError,
    LeavingError,
    LinkLostError,
    OverloadedError,
    PlumvaneError,
    RequestCancelledError,
    UpstreamFailedError,
    UpstreamUnavailableError,
)
from plumvane.fleet.current import CurrentDocument
from plumvane.instances.directory import Directory, Instance
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    Claim,
    ClaimGranted,
    ClaimResult,
    Complete,
    Done,
    EntryClaims,
    Message,
    Outcome,
    Release,
    RenewClaims,
    Renewed,
    StopRun,
)
from plumvane.peers.server import Call, PeerServer
from plumvane.routing.budget import RetryBudget
from plumvane.routing.loads import UpstreamLoads
from plumvane.routing.policies import RouteRequest, route

__all__ = ["Answer", "Request", "RequestRunner", "RunningRequest"]

RENEW_S = 1.0
RELEASE_S = 3.0
RETRY_AFTER_S = 1.0
# How many full upstreams one request is offered to.
MAX_REFUSALS = 2
# How often a non-idempotent request that was not run is tried once more.
ONCE_ATTEMPTS = 2


class RequestRunner:
    """Runs requests; each goes on when its caller disconnects."""

    def __init__(
        self,
        name: str,
        address: str,
        owners: OwnerClient,
        directory: Directory,
        links: LinkPool,
        current: CurrentDocument,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the runner.

        Args:
            name: Name of this entry.
            address: Peer address of this entry.
            owners: Calls partition owners.
            directory: Knows the sidecars.
            links: Connections to them.
            current: Fleet document in force.
            group: Task group of the runs.
        """
        self._name = name
        self._address = address
        self._owners = owners
        self._directory = directory
        self._loads = UpstreamLoads()
        self._sidecars = SidecarClient(links, self._loads)
        self._current = current
        self._group = group
        self._held = PendingResults(owners, group)
        self._acknowledgements = AcknowledgementBatcher(links, group)
        self._budget = RetryBudget()
        self._running_by_id: dict[str, RunningRequest] = {}

    @property
    def active_count(self) -> int:
        """How many requests run here or wait to be stored."""
        return len(self._running_by_id) + len(self._held)

    def register(self, server: PeerServer) -> None:
        """Registers the handlers."""
        server.handle(StopRun, self._stop)

    def start(self, request: Request) -> RunningRequest:
        """Starts a request and returns its handle."""
        running = RunningRequest(request, _new_id(request))
        self._running_by_id[running.request_id] = running
        self._group.start_soon(self._run, running)
        return running

    def claims_for_partition(self, partition: int) -> EntryClaims:
        """Returns the claims and held results of a partition."""
        claims = tuple(
            self._claim_message(running)
            for running in self._running_by_id.values()
            if running.claimed and running.request.partition == partition
        )
        return EntryClaims(claims, self._held.for_partition(partition))

    async def renew_claims(self) -> None:
        """Tells the owners which claims still run here; runs always."""
        while True:
            await anyio.sleep(RENEW_S)
            ids_by_partition: dict[int, list[str]] = {}
            for running in self._running_by_id.values():
                if running.claimed:
                    number = running.request.partition
                    ids = ids_by_partition.setdefault(number, [])
                    ids.append(running.request_id)
            for number, ids in ids_by_partition.items():
                self._group.start_soon(self._renew, number, tuple(ids))

    async def _renew(self, partition: int, ids: tuple[str, ...]) -> None:
        """Renews claims, and claims again what the owner does not know."""
        deadline = clock.monotonic() + RENEW_S
        try:
            reply = await self._owners.call(
                partition, RenewClaims(ids), deadline=deadline
            )
            if not isinstance(reply, Renewed):
                return
            for request_id in reply.unknown_ids:
                running = self._running_by_id.get(request_id)
                if running is not None and running.request.idempotent:
                    await self._owners.call(
                        partition,
                        self._claim_message(running),
                        deadline=deadline,
                    )
        except PlumvaneError:
            return

    async def _stop(self, call: Call, message: StopRun) -> Message:
        running = self._running_by_id.get(message.request_id)
        if running is not None:
            running.cancelled = True
            self._group.start_soon(
                self._sidecars.discard,
                running.request_id,
                running.tried_sidecars,
            )
        return Done()

    async def _run(self, running: RunningRequest) -> None:
        try:
            running.complete(await self._answer(running))
        except PlumvaneError as error:
            error.request_id = running.request_id
            running.fail(error)
        except Exception as error:
            events.log(
                events.Event.TASK_FAILED, task="request", error=repr(error)
            )
            running.fail(PlumvaneError("The entry failed."))
        finally:
            del self._running_by_id[running.request_id]

    async def _answer(self, running: RunningRequest) -> Answer:
        if running.request.idempotent:
            return await self._answer_once(running)
        for _ in range(ONCE_ATTEMPTS):
            try:
                return await self._answer_once(running)
            except (LeavingError, UpstreamUnavailableError) as error:
                if not error.not_run or not running.tried_sidecars:
                    raise
                await self._release(running.request, running.request_id)
                await anyio.sleep(error.retry_after_s or 0.0)
            self._rename(running)
        return await self._answer_once(running)

    async def _answer_once(self, running: RunningRequest) -> Answer:
        request = running.request
        if not request.idempotent:
            live = self._candidates(request)
            untried = [s for s in live if s not in running.tried_sidecars]
            running.sidecar = next(iter([*untried, *live]), None)
        try:
            found = await self._claim(running)
        except PlumvaneError:
            self._group.start_soon(
                self._release, running.request, running.request_id
            )
            raise
        if found is not None:
            return Answer(found.request_id, found.outcome, found.durable)
        try:
            outcome = await self._dispatch(running)
        except PlumvaneError:
            self._group.start_soon(self._give_up, running)
            raise
        return await self._commit(running, outcome)

    def _rename(self, running: RunningRequest) -> None:
        """Gives a request that was not run a new run."""
        del self._running_by_id[running.request_id]
        running.claimed = False
        running.request_id = _new_id(running.request)
        self._running_by_id[running.request_id] = running

    def _candidates(self, request: Request) -> list[Instance]:
        found = self._directory.live("sidecar", request.serves)
        policy = self._current.document.policies.routing
        return route(policy, found, RouteRequest(request.prefix), self._loads)

    def _claim_message(self, running: RunningRequest) -> Claim:
        request = running.request
        return Claim(
            request.partition,
            request.team,
            request.key,
            running.request_id,
            request.digest,
            request.idempotent,
            request.deadline,
            self._address,
            running.sidecar.address if running.sidecar else "",
            request.new_key,
        )

    async def _claim(self, running: RunningRequest) -> ClaimResult | None:
        """Claims the request; returns its result if it has one."""
        self._check(running)
        request = running.request
        left_s = max(0.0, request.deadline - clock.wall())
        reply = await self._owners.call(
            request.partition,
            self._claim_message(running),
            deadline=clock.monotonic() + left_s,
        )
        if isinstance(reply, ClaimResult):
            return reply
        if not isinstance(reply, ClaimGranted):
            raise PlumvaneError("The owner's reply is not understood.")
        running.claimed = True
        running.claimed_at = reply.claimed_at
        return None

    async def _release(self, request: Request, request_id: str) -> None:
        message = Release(
            request.partition, request.team, request.key, request_id
        )
        deadline = clock.monotonic() + RELEASE_S
        try:
            await self._owners.call(
                request.partition, message, deadline=deadline
            )
        except PlumvaneError:
            return

    async def _give_up(self, running: RunningRequest) -> None:
        """Ends what may still run of a request, then its claim."""
        if running.request.idempotent:
            await self._sidecars.discard(
                running.request_id, running.tried_sidecars
            )
            await self._release(running.request, running.request_id)
        else:
            request_id = running.request_id
            await self._release(running.request, request_id)
            await self._sidecars.discard(request_id, running.tried_sidecars)

    async def _dispatch(self, running: RunningRequest) -> Outcome:
        if running.request.idempotent:
            return await self._dispatch_idempotent(running)
        if running.sidecar is None:
            raise PlumvaneError("No sidecar was chosen.", not_run=True)
        self._check(running)
        return await self._sidecars.run_non_idempotent(running, running.sidecar)

    async def _dispatch_idempotent(self, running: RunningRequest) -> Outcome:
        """Tries upstreams until one answers, within deadline and budget.

        Raises:
            UpstreamUnavailableError: No upstream answered.
            DeadlineExceededError: The deadline passed.
        """
        self._budget.earn()
        last: PlumvaneError | None = None
        not_run = True
        refusals = 0
        try:
            for sidecar in self._candidates(running.request):
                self._check(running)
                try:
                    return await self._sidecars.run(running, sidecar)
                except LeavingError as error:
                    self._directory.mark_leaving(sidecar.address)
                    last = error
                except OverloadedError as error:
                    last = error
                    refusals += 1
                    if refusals == MAX_REFUSALS:
                        break
                except (LinkLostError, UpstreamFailedError) as error:
                    not_run = not_run and error.not_run
                    last = error
                    if not self._budget.spend():
                        break
        except PlumvaneError as error:
            error.not_run = not_run and error.not_run
            raise
        if isinstance(last, OverloadedError):
            raise OverloadedError(
                last.detail,
                not_run=not_run,
                retry_after_s=last.retry_after_s,
            )
        cause = last.detail if last is not None else "none is live"
        raise UpstreamUnavailableError(
            f"No upstream of {running.request.serves!r} answered: {cause}",
            not_run=not_run,
            retry_after_s=RETRY_AFTER_S,
        )

    def _check(self, running: RunningRequest) -> None:
        """Refuses to dispatch a request that nobody wants any more."""
        if running.cancelled:
            raise RequestCancelledError(
                "The request was cancelled.", not_run=True
            )
        if running.request.deadline <= clock.wall():
            raise DeadlineExceededError(
                "The deadline passed before dispatch.", not_run=True
            )

    async def _commit(
        self, running: RunningRequest, outcome: Outcome
    ) -> Answer:
        """Has the result committed; the committed one is the answer."""
        request = running.request
        message = Complete(
            request.partition,
            request.team,
            request.key,
            running.request_id,
            request.digest,
            outcome,
        )

        async def discard() -> None:
            await self._forget(running, outcome)

        reply = await self._held.commit(message, request.deadline, discard)
        stands = reply.outcome or outcome
        if request.stream and not running.is_consistent_with(stands):
            raise ClaimLostError(
                f"Request {request.key!r} was answered otherwise."
            )
        return Answer(reply.request_id, stands, reply.durable)

    async def _forget(self, running: RunningRequest, outcome: Outcome) -> None:
        """Lets the sidecars forget a request whose result is stored."""
        tried_sidecars = running.tried_sidecars
        if running.sidecar is not None and outcome.error is None:
            # This run has ended, so it needs no cancel.
            self._acknowledgements.add(
                running.sidecar.address, running.request_id
            )
            tried_sidecars = [
                s for s in tried_sidecars if s is not running.sidecar
            ]
        await self._sidecars.discard(running.request_id, tried_sidecars)


def _new_id(request: Request) -> str:
    return f"r{request.partition:04}-{secrets.token_hex(12)}"

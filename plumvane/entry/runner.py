"""Runs callers' requests: claim, dispatch and commit."""

from __future__ import annotations

import anyio
import anyio.abc

from plumvane import clock, events
from plumvane.entry.acknowledgements import AcknowledgementBatcher
from plumvane.entry.owners import OwnerClient
from plumvane.entry.pending_results import PendingResults
from plumvane.entry.problems import new_request_id
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
from plumvane.routing.loads import UpstreamLoads
from plumvane.routing.policies import RouteRequest, route
from plumvane.serving.budget import RetryBudget

__all__ = ["Answer", "Request", "RequestRunner", "RunningRequest"]

RENEW_INTERVAL_S = 1.0
RELEASE_TIMEOUT_S = 3.0
RETRY_AFTER_S = 1.0
# A request fails once this number of upstreams has refused it as overloaded.
MAX_OVERLOAD_REFUSALS = 2
# Retries of a non-idempotent request that was refused as not run, or whose
# dispatch was not sent.
MAX_NOT_RUN_RETRIES = 2


class RequestRunner:
    """Runs requests; a request continues if its caller disconnects."""

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
            directory: Directory of the instances, with all sidecars.
            links: Connections to the sidecars.
            current: Fleet document in force.
            group: Task group in which the requests run.
        """
        self._name = name
        self._address = address
        self._owners = owners
        self._directory = directory
        self._loads = UpstreamLoads()
        self._sidecars = SidecarClient(links, self._loads)
        self._current = current
        self._group = group
        self._pending_results = PendingResults(owners, group)
        self._acknowledgements = AcknowledgementBatcher(links, group)
        self._budget = RetryBudget()
        self._running_by_id: dict[str, RunningRequest] = {}

    @property
    def active_count(self) -> int:
        """Number of requests that are running or whose result is pending."""
        return len(self._running_by_id) + len(self._pending_results)

    def register(self, server: PeerServer) -> None:
        """Registers the message handlers."""
        server.handle(StopRun, self._handle_stop)

    def start(self, request: Request, request_id: str) -> RunningRequest:
        """Starts a request and returns its handle.

        Args:
            request: The request.
            request_id: Identifier of its first run.
        """
        running = RunningRequest(request, request_id)
        self._running_by_id[running.request_id] = running
        self._group.start_soon(self._run, running)
        return running

    def claims_for_partition(self, partition: int) -> EntryClaims:
        """Returns this entry's claims and pending results of a partition."""
        claims = tuple(
            self._claim_message(running)
            for running in self._running_by_id.values()
            if running.claimed and running.request.partition == partition
        )
        return EntryClaims(
            claims, self._pending_results.for_partition(partition)
        )

    async def renew_claims(self) -> None:
        """Renews the claims of running requests periodically; never returns."""
        while True:
            await anyio.sleep(RENEW_INTERVAL_S)
            ids_by_partition: dict[int, list[str]] = {}
            for running in self._running_by_id.values():
                if running.claimed:
                    partition = running.request.partition
                    ids = ids_by_partition.setdefault(partition, [])
                    ids.append(running.request_id)
            for partition, ids in ids_by_partition.items():
                self._group.start_soon(self._renew, partition, tuple(ids))

    async def _renew(self, partition: int, ids: tuple[str, ...]) -> None:
        """Renews claims; claims idempotent requests again if unknown."""
        deadline = clock.monotonic() + RENEW_INTERVAL_S
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

    async def _handle_stop(self, call: Call, message: StopRun) -> Message:
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
            running.complete(await self._run_with_retries(running))
        except PlumvaneError as error:
            error.request_id = running.request_id
            running.fail(error)
        except Exception as error:
            events.log(
                events.Event.TASK_FAILED, task="request", error=repr(error)
            )
            failure = PlumvaneError("Internal error of the entry.")
            failure.request_id = running.request_id
            running.fail(failure)
        finally:
            del self._running_by_id[running.request_id]

    async def _run_with_retries(self, running: RunningRequest) -> Answer:
        """Runs a request; retries a non-idempotent one that was not run."""
        if running.request.idempotent:
            return await self._run_attempt(running)
        for _ in range(MAX_NOT_RUN_RETRIES):
            try:
                return await self._run_attempt(running)
            except (
                LeavingError,
                LinkLostError,
                UpstreamUnavailableError,
            ) as error:
                if not error.not_run or not running.tried_sidecars:
                    raise
                await self._release(running.request, running.request_id)
                await anyio.sleep(error.retry_after_s or 0.0)
            self._assign_new_id(running)
        return await self._run_attempt(running)

    async def _run_attempt(self, running: RunningRequest) -> Answer:
        """Claims a request, dispatches it and commits the outcome."""
        request = running.request
        if not request.idempotent:
            candidates = self._candidates(request)
            untried = [s for s in candidates if s not in running.tried_sidecars]
            running.sidecar = next(iter([*untried, *candidates]), None)
        try:
            stored = await self._claim(running)
        except PlumvaneError:
            self._group.start_soon(
                self._release, running.request, running.request_id
            )
            raise
        if stored is not None:
            return Answer(stored.request_id, stored.outcome, stored.durable)
        try:
            outcome = await self._dispatch(running)
        except PlumvaneError:
            self._group.start_soon(self._abandon, running)
            raise
        return await self._commit(running, outcome)

    def _assign_new_id(self, running: RunningRequest) -> None:
        """Assigns a new run identifier to a request that was not run."""
        del self._running_by_id[running.request_id]
        running.claimed = False
        running.request_id = new_request_id()
        self._running_by_id[running.request_id] = running

    def _candidates(self, request: Request) -> list[Instance]:
        """Returns the live sidecars of a request, the preferred one first."""
        live = self._directory.live("sidecar", request.serves)
        policy = self._current.document.policies.routing
        return route(policy, live, RouteRequest(request.prefix), self._loads)

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
        """Claims a request; returns its stored result if there is one."""
        self._check_runnable(running)
        request = running.request
        timeout_s = max(0.0, request.deadline - clock.wall())
        reply = await self._owners.call(
            request.partition,
            self._claim_message(running),
            deadline=clock.monotonic() + timeout_s,
        )
        if isinstance(reply, ClaimResult):
            return reply
        if not isinstance(reply, ClaimGranted):
            raise PlumvaneError("The owner sent a reply of an unexpected type.")
        running.claimed = True
        running.claimed_at = reply.claimed_at
        return None

    async def _release(self, request: Request, request_id: str) -> None:
        message = Release(
            request.partition, request.team, request.key, request_id
        )
        deadline = clock.monotonic() + RELEASE_TIMEOUT_S
        try:
            await self._owners.call(
                request.partition, message, deadline=deadline
            )
        except PlumvaneError:
            return

    async def _abandon(self, running: RunningRequest) -> None:
        """Cancels the runs of a failed request and releases its claim."""
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
            raise PlumvaneError(
                f"No sidecar of {running.request.serves!r} is available.",
                not_run=True,
            )
        self._check_runnable(running)
        return await self._sidecars.run_non_idempotent(running, running.sidecar)

    async def _dispatch_idempotent(self, running: RunningRequest) -> Outcome:
        """Tries upstreams in turn, within the deadline and the retry budget.

        Raises:
            OverloadedError: The last upstream tried was overloaded.
            UpstreamUnavailableError: No upstream completed the request.
            DeadlineExceededError: The deadline passed.
        """
        self._budget.deposit()
        last_error: PlumvaneError | None = None
        not_run = True
        refusals = 0
        try:
            for sidecar in self._candidates(running.request):
                self._check_runnable(running)
                try:
                    return await self._sidecars.run(running, sidecar)
                except LeavingError as error:
                    self._directory.mark_leaving(sidecar.address)
                    last_error = error
                except OverloadedError as error:
                    last_error = error
                    refusals += 1
                    if refusals == MAX_OVERLOAD_REFUSALS:
                        break
                except (LinkLostError, UpstreamFailedError) as error:
                    not_run = not_run and error.not_run
                    last_error = error
                    if not self._budget.try_withdraw():
                        break
        except PlumvaneError as error:
            error.not_run = not_run and error.not_run
            raise
        if isinstance(last_error, OverloadedError):
            raise OverloadedError(
                last_error.detail,
                not_run=not_run,
                retry_after_s=last_error.retry_after_s,
            )
        cause = last_error.detail if last_error is not None else "none is live"
        raise UpstreamUnavailableError(
            f"No upstream of {running.request.serves!r} completed the request: "
            f"{cause}",
            not_run=not_run,
            retry_after_s=RETRY_AFTER_S,
        )

    def _check_runnable(self, running: RunningRequest) -> None:
        """Raises an error if a request is cancelled or past its deadline."""
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
        """Commits an outcome; returns the result that was committed first."""
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
            await self._discard(running, outcome)

        reply = await self._pending_results.commit(
            message, request.deadline, discard
        )
        committed = reply.outcome or outcome
        if request.stream and not running.is_consistent_with(committed):
            raise ClaimLostError(
                f"Request {request.key!r} has a committed result that differs "
                "from the text already streamed."
            )
        return Answer(reply.request_id, committed, reply.durable)

    async def _discard(self, running: RunningRequest, outcome: Outcome) -> None:
        """Lets the sidecars discard a request whose result is stored."""
        sidecars = running.tried_sidecars
        if running.sidecar is not None and outcome.error is None:
            # The run at this sidecar has ended, so it is not cancelled.
            self._acknowledgements.add(
                running.sidecar.address, running.request_id
            )
            sidecars = [s for s in sidecars if s is not running.sidecar]
        await self._sidecars.discard(running.request_id, sidecars)

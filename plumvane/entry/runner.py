"""Runs callers' requests: claim, dispatch, commit, answer."""

from __future__ import annotations

import dataclasses
import secrets
from collections import deque

import anyio
import anyio.abc

from plumvane import clock, events, hashing
from plumvane.entry.owners import OwnerClient
from plumvane.errors import (
    ClaimLostError,
    DeadlineExceededError,
    LeavingError,
    LinkLostError,
    NotFoundError,
    OverloadedError,
    PlumvaneError,
    UpstreamFailedError,
    UpstreamUnavailableError,
)
from plumvane.fleet.current import CurrentDocument
from plumvane.instances.directory import Directory, Instance
from plumvane.peers.link import LinkPool, Pending
from plumvane.peers.messages import (
    Acknowledge,
    Attach,
    CancelRun,
    Claim,
    ClaimGranted,
    ClaimResult,
    Committed,
    Complete,
    DispatchRequest,
    Message,
    Outcome,
    Release,
    RenewClaims,
    Settle,
    Settled,
    TextPart,
)
from plumvane.requests.ledger import unknown_outcome
from plumvane.routing.budget import RetryBudget
from plumvane.routing.policies import RouteRequest, route

__all__ = ["Answer", "Request", "RequestRunner", "Running"]

RENEW_S = 1.0
# How long a lost sidecar of a non-idempotent run is asked for its answer.
SETTLE_S = 3.0
RETRY_S = 0.1
RETRY_AFTER_S = 1.0
ACKNOWLEDGE_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    Attributes:
        team: Team of the caller.
        key: Idempotency key.
        path: Path at the upstream.
        body: Body for the upstream.
        digest: Digest of path and body.
        serves: Model or service that it is for.
        online: Whether it is online work.
        idempotent: Whether it may run again.
        deadline: Deadline, seconds since the Unix epoch.
        stream: Whether the caller reads parts.
        rank: Rank of its workload.
        prefix: Start of the prompt, for routing.
    """

    team: str
    key: str
    path: str
    body: bytes
    digest: bytes
    serves: str
    online: bool
    idempotent: bool
    deadline: float
    stream: bool = False
    rank: int = 0
    prefix: str = ""

    @property
    def partition(self) -> int:
        """Partition of the request."""
        return hashing.partition_of(self.team, self.key)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The committed answer to a request.

    Attributes:
        request_id: Run that produced it.
        outcome: The result.
        durable: Whether the store holds it.
    """

    request_id: str
    outcome: Outcome
    durable: bool


class Running:
    """A request that runs here.

    Attributes:
        request: The request.
        request_id: Identifier of the run.
        text: Text given so far.
        tokens: How many tokens the text has.
        sidecar: Where it runs, if it was dispatched.
    """

    def __init__(self, request: Request, request_id: str) -> None:
        self.request = request
        self.request_id = request_id
        self.text: list[str] = []
        self.tokens = 0
        self.sidecar: Instance | None = None
        self.next_sequence = 0
        self._parts: deque[str] = deque()
        self._answer: Answer | None = None
        self._error: PlumvaneError | None = None
        self._changed = anyio.Event()

    def add_part(self, part: TextPart) -> None:
        """Takes the next part in; one seen before is dropped."""
        if part.sequence != self.next_sequence:
            return
        self.next_sequence += 1
        self.text.append(part.text)
        self.tokens += part.tokens
        self._parts.append(part.text)
        self._changed.set()

    def end(self, answer: Answer) -> None:
        """Sets the committed answer."""
        self._answer = answer
        self._changed.set()

    def fail(self, error: PlumvaneError) -> None:
        """Ends the request with an error."""
        self._error = error
        self._changed.set()

    async def next_text(self) -> str | None:
        """Returns the next text, or None once the request has ended."""
        while True:
            if self._parts:
                text = "".join(self._parts)
                self._parts.clear()
                return text
            if self._answer is not None or self._error is not None:
                return None
            self._changed = anyio.Event()
            await self._changed.wait()

    async def answer(self) -> Answer:
        """Returns the committed answer.

        Raises:
            PlumvaneError: The request ended with an error.
        """
        while await self.next_text() is not None:
            pass
        if self._error is not None:
            raise self._error
        if self._answer is None:
            raise PlumvaneError("The request ended without an answer.")
        return self._answer


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
        self._links = links
        self._current = current
        self._group = group
        self._budget = RetryBudget()
        self._running_by_id: dict[str, Running] = {}

    @property
    def active(self) -> int:
        """How many requests run here."""
        return len(self._running_by_id)

    def start(self, request: Request) -> Running:
        """Starts a request and returns its handle."""
        request_id = f"r{request.partition:04}-{secrets.token_hex(12)}"
        running = Running(request, request_id)
        self._running_by_id[request_id] = running
        self._group.start_soon(self._run, running)
        return running

    async def cancel(self, team: str, key: str) -> bool:
        """Cancels a request that runs here.

        Returns:
            Whether one was found.
        """
        for running in list(self._running_by_id.values()):
            request = running.request
            if (request.team, request.key) == (team, key) and running.sidecar:
                await self._links.call(
                    running.sidecar.address,
                    CancelRun(running.request_id),
                    deadline=clock.monotonic() + ACKNOWLEDGE_TIMEOUT_S,
                )
                return True
        return False

    async def renew_claims(self) -> None:
        """Tells the owners which claims still run here; runs always."""
        while True:
            await anyio.sleep(RENEW_S)
            ids_by_partition: dict[int, list[str]] = {}
            for running in self._running_by_id.values():
                number = running.request.partition
                ids_by_partition.setdefault(number, []).append(
                    running.request_id
                )
            for number, ids in ids_by_partition.items():
                self._group.start_soon(self._renew, number, tuple(ids))

    async def _renew(self, partition: int, ids: tuple[str, ...]) -> None:
        try:
            await self._owners.call(
                partition,
                RenewClaims(ids),
                deadline=clock.monotonic() + RENEW_S,
            )
        except PlumvaneError:
            return

    async def _run(self, running: Running) -> None:
        try:
            running.end(await self._answer(running))
        except PlumvaneError as error:
            running.fail(error)
        except Exception as error:
            events.log(
                events.Event.TASK_FAILED, task="request", error=repr(error)
            )
            running.fail(PlumvaneError("The entry failed."))
        finally:
            del self._running_by_id[running.request_id]

    async def _answer(self, running: Running) -> Answer:
        request = running.request
        candidates = self._candidates(request)
        if not request.idempotent:
            running.sidecar = candidates[0]
        found = await self._claim(running)
        if found is not None:
            return Answer(found.request_id, found.outcome, found.durable)
        try:
            outcome = await self._dispatch(running, candidates)
        except PlumvaneError:
            await self._release(running)
            raise
        return await self._commit(running, outcome)

    def _candidates(self, request: Request) -> list[Instance]:
        found = self._directory.live("sidecar", request.serves)
        if not found:
            raise UpstreamUnavailableError(
                f"No upstream of {request.serves!r} is live.",
                not_run=True,
                retry_after_s=RETRY_AFTER_S,
            )
        policy = self._current.document.policies.routing
        return route(policy, found, RouteRequest(request.prefix))

    async def _claim(self, running: Running) -> ClaimResult | None:
        """Claims the request; returns its result if it has one."""
        request = running.request
        sidecar = running.sidecar.address if running.sidecar else ""
        reply = await self._call_owner(
            request,
            Claim(
                request.partition,
                request.team,
                request.key,
                running.request_id,
                request.digest,
                request.idempotent,
                request.deadline,
                self._address,
                sidecar,
            ),
        )
        if isinstance(reply, ClaimResult):
            return reply
        if not isinstance(reply, ClaimGranted):
            raise PlumvaneError("The owner's reply is not understood.")
        return None

    async def _call_owner(self, request: Request, message: Message) -> Message:
        left_s = max(0.0, request.deadline - clock.wall())
        return await self._owners.call(
            request.partition,
            message,
            deadline=clock.monotonic() + left_s,
        )

    async def _release(self, running: Running) -> None:
        request = running.request
        try:
            await self._owners.call(
                request.partition,
                Release(
                    request.partition,
                    request.team,
                    request.key,
                    running.request_id,
                ),
                deadline=clock.monotonic() + SETTLE_S,
            )
        except PlumvaneError:
            return

    async def _dispatch(
        self, running: Running, candidates: list[Instance]
    ) -> Outcome:
        if running.request.idempotent:
            return await self._dispatch_idempotent(running, candidates)
        return await self._dispatch_once(running)

    async def _dispatch_idempotent(
        self, running: Running, candidates: list[Instance]
    ) -> Outcome:
        """Tries upstreams until one answers, within deadline and budget.

        Raises:
            UpstreamUnavailableError: No upstream answered.
            DeadlineExceededError: The deadline passed.
        """
        request = running.request
        self._budget.earn()
        last: PlumvaneError | None = None
        given = False
        queue = deque(candidates)
        while clock.wall() < request.deadline:
            if not queue:
                break
            running.sidecar = queue.popleft()
            try:
                return await self._run_at(running, running.sidecar)
            except (LeavingError, OverloadedError) as error:
                if isinstance(error, LeavingError):
                    self._directory.mark_leaving(running.sidecar.address)
                last = error
            except (LinkLostError, UpstreamFailedError) as error:
                given = True
                last = error
                if not self._budget.spend():
                    break
        if last is None:
            raise DeadlineExceededError(
                "The deadline passed before dispatch.", not_run=not given
            )
        raise UpstreamUnavailableError(
            f"No upstream answered; the last error: {last.detail}",
            not_run=not given,
            retry_after_s=RETRY_AFTER_S,
        )

    async def _dispatch_once(self, running: Running) -> Outcome:
        """Dispatches a non-idempotent request and settles a lost answer."""
        sidecar = running.sidecar
        if sidecar is None:
            raise PlumvaneError("No sidecar was chosen.")
        try:
            return await self._run_at(running, sidecar)
        except LinkLostError:
            pass
        give_up = clock.monotonic() + SETTLE_S
        while clock.monotonic() < give_up:
            try:
                settled = await self._links.call(
                    sidecar.address,
                    Settle(running.request_id, running.request.deadline),
                    deadline=give_up,
                )
                if isinstance(settled, Settled) and settled.outcome:
                    return settled.outcome
                if isinstance(settled, Settled) and settled.state == "running":
                    return await self._attach(running, sidecar)
                raise UpstreamUnavailableError(
                    "The upstream was not given the request.",
                    not_run=True,
                    retry_after_s=RETRY_AFTER_S,
                )
            except (LinkLostError, DeadlineExceededError):
                await anyio.sleep(RETRY_S)
        events.log(events.Event.OUTCOME_UNKNOWN, request_id=running.request_id)
        return unknown_outcome()

    async def _run_at(self, running: Running, sidecar: Instance) -> Outcome:
        """Dispatches to one sidecar; attaches again if the link is lost.

        Raises:
            LinkLostError: The sidecar could not be reached again.
            PlumvaneError: The sidecar's refusal.
        """
        request = running.request
        message = DispatchRequest(
            running.request_id,
            request.path,
            request.body,
            request.online,
            request.idempotent,
            request.deadline,
            request.stream,
            request.rank,
            "".join(running.text),
            running.tokens,
        )
        running.next_sequence = 0
        try:
            return await self._follow(running, sidecar, message)
        except LinkLostError:
            return await self._attach(running, sidecar)

    async def _attach(self, running: Running, sidecar: Instance) -> Outcome:
        try:
            return await self._follow(
                running,
                sidecar,
                Attach(running.request_id, running.next_sequence),
            )
        except NotFoundError as error:
            raise LinkLostError(error.detail) from error

    async def _follow(
        self, running: Running, sidecar: Instance, message: Message
    ) -> Outcome:
        left_s = running.request.deadline - clock.wall()
        try:
            with anyio.fail_after(max(0.0, left_s)):
                link = self._links.link(sidecar.address)
                async with link.open(message) as pending:
                    return await self._read(running, pending)
        except TimeoutError:
            raise DeadlineExceededError(
                "The deadline passed while the request ran."
            ) from None

    async def _read(self, running: Running, pending: Pending) -> Outcome:
        while True:
            part = await pending.part()
            if part is None:
                break
            if isinstance(part, TextPart):
                running.add_part(part)
        reply = await pending.reply()
        if not isinstance(reply, Outcome):
            raise PlumvaneError("The sidecar's reply is not understood.")
        if _may_run_again(running.request, reply) and reply.error is not None:
            raise UpstreamFailedError(reply.error.detail)
        return reply

    async def _commit(self, running: Running, outcome: Outcome) -> Answer:
        request = running.request
        reply = await self._call_owner(
            request,
            Complete(
                request.partition,
                request.team,
                request.key,
                running.request_id,
                request.digest,
                outcome,
            ),
        )
        self._group.start_soon(self._acknowledge, running)
        if not isinstance(reply, Committed):
            raise PlumvaneError("The owner's reply is not understood.")
        if reply.outcome is None:
            return Answer(running.request_id, outcome, reply.durable)
        if request.stream and running.text:
            raise ClaimLostError(
                f"Another run of {request.key!r} committed first."
            )
        return Answer(reply.request_id, reply.outcome, reply.durable)

    async def _acknowledge(self, running: Running) -> None:
        if running.sidecar is None:
            return
        try:
            await self._links.call(
                running.sidecar.address,
                Acknowledge((running.request_id,)),
                deadline=clock.monotonic() + ACKNOWLEDGE_TIMEOUT_S,
            )
        except PlumvaneError:
            return


def _may_run_again(request: Request, outcome: Outcome) -> bool:
    """Returns whether an outcome is an upstream's loss, worth a retry."""
    error = outcome.error
    if error is None or not request.idempotent:
        return False
    return error.code == UpstreamFailedError.code

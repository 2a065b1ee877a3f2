"""Versions of upstreams that began streams, shared with a few peers.

What two software versions write does not fit together, so a stream may only go
on at the version that began it. A caller may take a stream up at any gateway,
mostly because the one that began it was lost.
"""

from __future__ import annotations

import collections
import dataclasses

import anyio
import anyio.abc

from plumvane import clock, events, hashing
from plumvane.discovery.relayed import RelayedStore
from plumvane.discovery.view import FleetView
from plumvane.errors import PlumvaneError
from plumvane.peers.messages import Done, Message
from plumvane.peers.messages.streams import (
    FindStream,
    RecordStreams,
    StreamFound,
    StreamRecord,
)
from plumvane.peers.server import Call, PeerServer
from plumvane.serving.routes import Route

__all__ = ["Origin", "StreamOrigins"]

# Time for which a caller may take up a stream, in seconds, after the deadline
# of the attempt that began it. It also bounds how long a version that is no
# longer listed counts as one that may have begun a stream.
STREAM_LIFETIME_S = 15.0
# Peers that keep a copy of each record, and peers that are asked for one. They
# are ranked by the stream, and the lists of peers may differ by a few.
COPIES = 2
PEERS_ASKED = 3
# Time limit for the peers' answers, in seconds.
PEER_TIMEOUT_S = 0.25
# Time limit for the confirmation of the own listing, in seconds; a slow store
# responds in less.
CONFIRMATION_TIMEOUT_S = 1.0
# Shortest time for which an upstream is listed, in seconds: it is drained for
# longer before it leaves.
MIN_LISTED_S = 1.0
# Time for which a peer that did not answer is called last, in seconds.
SILENCE_S = 2.0
# Delay in which records for the same peer are collected, in seconds.
SHARE_DELAY_S = 0.02
# Largest number of records in memory, the newest.
MAX_RECORDS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Upstreams at which a stream may go on.

    Attributes:
        service: Their service.
        version: Their software version.
    """

    service: str
    version: str


@dataclasses.dataclass(slots=True)
class _Answers:
    """Answers of peers to one question.

    Attributes:
        found: The record, if a peer has it.
        current_at_by_version: Versions that peers listed alone, with the latest
            monotonic time in seconds up to which one of these listings has all
            changes.
    """

    found: StreamRecord | None = None
    current_at_by_version: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def add_listing(self, reply: StreamFound) -> None:
        """Adds what a peer has listed."""
        version, age_s = reply.only_version, reply.listing_age_s
        if version is None or age_s is None:
            return
        self.current_at_by_version[version] = max(
            self.current_at_by_version.get(version, float("-inf")),
            clock.monotonic() - age_s,
        )


class StreamOrigins:
    """Records where streams began and finds it out for other gateways' streams.

    While a service has only one version, records stay in this process, since
    any instance knows the version. Otherwise a few peers get copies.
    """

    def __init__(
        self, name: str, peers: RelayedStore | None, view: FleetView
    ) -> None:
        """Creates the records of a process.

        Args:
            name: Name of this instance.
            peers: Finds and calls peers; None if there are none.
            view: Listed upstreams and their versions.
        """
        self._name = name
        self._peers = peers
        self._view = view
        self._records_by_id: collections.OrderedDict[str, StreamRecord] = (
            collections.OrderedDict()
        )
        # Records without copies at peers.
        self._unshared_by_id: dict[str, StreamRecord] = {}
        # Streams on split routes, whose service the route does not tell.
        self._split_ids: set[str] = set()
        self._share_requested = anyio.Event()
        self._silent_until_by_name: dict[str, float] = {}
        view.on_versions_change = self._request_share

    def serve(self, server: PeerServer) -> None:
        """Registers the handlers of peers' calls."""
        server.handle(RecordStreams, self._handle_records)
        server.handle(FindStream, self._handle_find)

    async def run(self) -> None:
        """Shares records with peers until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._share_requested.wait()
                self._share_requested = anyio.Event()
                await anyio.sleep(SHARE_DELAY_S)
                for name, records in self._take_shareable().items():
                    group.start_soon(self._send_records, name, records)

    # Records of this process

    def record(
        self, request_id: str, origin: Origin, route: Route, deadline: float
    ) -> None:
        """Records that a stream has delivered its first event.

        Args:
            request_id: Identifier of the caller's attempt that began it.
            origin: Where it began.
            route: Route of the stream.
            deadline: Monotonic time in seconds at which the attempt ends.
        """
        wait_s = clock.remaining(deadline) + STREAM_LIFETIME_S
        record = StreamRecord(
            request_id,
            origin.service,
            origin.version,
            clock.wall() + wait_s,
        )
        self._keep(record)
        self._unshared_by_id[request_id] = record
        if route.only_service() is None:
            self._split_ids.add(request_id)
        if self._is_shareable(record):
            self._request_share()

    def _keep(self, record: StreamRecord) -> None:
        records = self._records_by_id
        records[record.request_id] = record
        now = clock.wall()
        while records:
            oldest = next(iter(records.values()))
            if oldest.expires_at > now and len(records) <= MAX_RECORDS:
                return
            self._forget(oldest.request_id)

    def _forget(self, request_id: str) -> None:
        self._records_by_id.pop(request_id, None)
        self._unshared_by_id.pop(request_id, None)
        self._split_ids.discard(request_id)

    def _only_version(self, service: str) -> str | None:
        """Returns the only version that a stream can have begun at, or None."""
        if not self._view.follows_upstreams():
            return None
        since = clock.monotonic() - STREAM_LIFETIME_S
        return self._view.versions.only_version(service, since)

    def _is_shareable(self, record: StreamRecord) -> bool:
        return (
            record.request_id in self._split_ids
            or self._only_version(record.service) is None
        )

    # Copies at peers

    def _request_share(self) -> None:
        self._share_requested.set()

    def _ranked_peers(self, request_id: str, count: int) -> list[str]:
        """Returns the peers for a stream's record, silent ones last."""
        if self._peers is None:
            return []
        names = [n for n in self._peers.peers_by_name if n != self._name]
        responsive = [n for n in names if not self._is_silent(n)]
        ranked = hashing.top_ranked(request_id, responsive, count)
        if len(ranked) < count:
            silent = [n for n in names if self._is_silent(n)]
            missing = count - len(ranked)
            ranked += hashing.top_ranked(request_id, silent, missing)
        return ranked

    def _is_silent(self, name: str) -> bool:
        return self._silent_until_by_name.get(name, 0.0) > clock.monotonic()

    def _take_shareable(self) -> dict[str, list[StreamRecord]]:
        """Returns the records to send, by the name of their peer."""
        records_by_peer: dict[str, list[StreamRecord]] = {}
        for request_id, record in list(self._unshared_by_id.items()):
            if not self._is_shareable(record):
                continue
            del self._unshared_by_id[request_id]
            for name in self._ranked_peers(request_id, COPIES):
                records_by_peer.setdefault(name, []).append(record)
        return records_by_peer

    async def _send_records(
        self, name: str, records: list[StreamRecord]
    ) -> None:
        """Sends records to a peer, or to others if it does not answer."""
        if await self._call(name, RecordStreams(tuple(records))) is not None:
            return
        now = clock.wall()
        for record in records:
            peers = self._ranked_peers(record.request_id, COPIES)
            if record.expires_at > now and not all(map(self._is_silent, peers)):
                self._unshared_by_id[record.request_id] = record
        self._request_share()

    async def _call(self, name: str, message: Message) -> Message | None:
        """Calls a peer; returns None if it does not answer."""
        if self._peers is None or name not in self._peers.peers_by_name:
            return None
        address = self._peers.peers_by_name[name].address
        deadline = clock.monotonic() + PEER_TIMEOUT_S
        try:
            return await self._peers.links.call(
                address, message, deadline=deadline
            )
        except PlumvaneError as error:
            if not self._is_silent(name):
                events.log(
                    events.Event.STREAM_PEER_SILENT,
                    peer=name,
                    error=error.detail,
                )
            self._silent_until_by_name[name] = clock.monotonic() + SILENCE_S
            return None

    async def _handle_records(
        self, call: Call, message: RecordStreams
    ) -> Message:
        for record in message.records:
            self._keep(record)
        return Done()

    async def _handle_find(self, call: Call, message: FindStream) -> Message:
        return StreamFound(
            self._records_by_id.get(message.request_id),
            self._only_version(message.service),
            clock.monotonic() - self._view.upstreams_current_at(),
        )

    # Streams that callers take up

    async def find(self, request_id: str, route: Route) -> Origin | None:
        """Returns where a stream began, or None if that is not certain.

        Args:
            request_id: Identifier of the caller's attempt that began it; empty
                if the caller names none.
            route: Route of the stream.
        """
        origin, source = await self._find(request_id, route)
        events.log(
            events.Event.STREAM_TAKEN_UP,
            resumes=request_id,
            version=origin.version if origin is not None else None,
            source=source,
        )
        return origin

    async def _find(
        self, request_id: str, route: Route
    ) -> tuple[Origin | None, str]:
        record = self._records_by_id.get(request_id)
        if record is not None:
            return Origin(record.service, record.version), "own record"
        service = route.only_service() or ""
        asked_at = clock.monotonic()
        lasts_longer = 2 * route.timeout_s > STREAM_LIFETIME_S
        if (
            not lasts_longer
            and self._only_version(service) is not None
            and await self._confirm_listing(asked_at)
        ):
            version = self._only_version(service)
            if version is not None:
                return Origin(service, version), "listing"
        peers = self._ranked_peers(request_id, PEERS_ASKED)
        answers = await self._ask(peers, FindStream(request_id, service))
        if answers.found is not None:
            origin = Origin(answers.found.service, answers.found.version)
            return origin, "record of a peer"
        if not lasts_longer and await self._confirm_listing(asked_at):
            version = self._listed_version(service, answers)
            if version is not None:
                return Origin(service, version), "listings"
        return None, "none"

    async def _confirm_listing(self, since: float) -> bool:
        """Returns whether the own listing has all changes up to a time.

        A version is listed before a stream begins at it. This instance may have
        been cut off or suspended then.

        Args:
            since: The monotonic time in seconds.
        """
        if self._view.upstreams_current_at() >= since:
            return True
        try:
            with anyio.fail_after(CONFIRMATION_TIMEOUT_S):
                await self._view.confirm_upstreams()
        except (PlumvaneError, TimeoutError) as error:
            events.log(events.Event.LISTING_UNCONFIRMED, error=str(error))
            return False
        return True

    def _listed_version(self, service: str, answers: _Answers) -> str | None:
        """Returns the only version that can have begun a stream, or None.

        The own listing tells it from the start of this instance on, and one of
        a peer before, if it has all changes up to then.
        """
        versions, since = self._view.versions.listed_since(service)
        if (
            len(versions) != 1
            or answers.current_at_by_version.keys() != versions
        ):
            return None
        version = next(iter(versions))
        known_until = answers.current_at_by_version[version]
        return version if known_until >= since - MIN_LISTED_S else None

    async def _ask(self, peers: list[str], message: FindStream) -> _Answers:
        """Asks peers until one has the record or all have answered."""
        answers = _Answers()

        async def ask(name: str) -> None:
            reply = await self._call(name, message)
            if not isinstance(reply, StreamFound):
                return
            answers.found = reply.record or answers.found
            answers.add_listing(reply)
            if answers.found is not None:
                group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            for name in peers:
                group.start_soon(ask, name)
        return answers

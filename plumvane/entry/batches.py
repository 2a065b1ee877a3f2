"""Batch jobs: JSONL input, progress and JSONL results."""

from __future__ import annotations

import array
import hashlib
import secrets
from collections.abc import AsyncIterator

import msgspec
import xxhash

from plumvane import clock, hashing
from plumvane.chunks.client import ChunkClient
from plumvane.entry.owners import OwnerClient
from plumvane.entry.results import ResultReader
from plumvane.errors import (
    BadRequestError,
    BodyTooLargeError,
    BulkUnavailableError,
    DeadlineExceededError,
    InvalidLineError,
    PlumvaneError,
    UnknownModelError,
)
from plumvane.fleet.current import CurrentDocument
from plumvane.peers.messages import (
    ChunkRef,
    FetchResults,
    JobCall,
    JobState,
    ResultPage,
    SubmitJob,
)

__all__ = ["BatchService", "JobInput"]

MAX_LINE_BYTES = 256 * 1024
MAX_ITEMS = 1_000_000
# Limits the list of chunk references, which must fit in one store value.
MAX_JOB_BYTES = 2 * 1024**3
CHUNK_BYTES = 512 * 1024
CALL_TIMEOUT_S = 10.0
DEFAULT_COMPLETION_WINDOW_S = 86_400.0
BUCKET_COUNT = 256


class _Item(msgspec.Struct):
    """One line of a job's input."""

    custom_id: str
    body: dict[str, object]


class JobInput:
    """Validates the lines of a batch job and stores them in chunks."""

    def __init__(self, chunks: ChunkClient) -> None:
        """Creates an empty input.

        Args:
            chunks: Client of the bulk instances, which store the chunks.
        """
        self._chunks = chunks
        self._buffered_lines: list[bytes] = []
        self._buffered_bytes = 0
        self._total_bytes = 0
        self._digest = hashlib.sha256()
        self._decoder = msgspec.json.Decoder(_Item)
        self._custom_ids = _CustomIdIndex()
        self.refs: list[ChunkRef] = []
        self.items = 0
        self.model = ""

    @property
    def digest(self) -> bytes:
        """SHA-256 of the lines read so far, without blank lines."""
        return self._digest.digest()

    async def read(self, stream: AsyncIterator[bytes]) -> None:
        """Reads the input to its end in bounded memory.

        Raises:
            BadRequestError: A line is invalid; the error gives its number.
            BodyTooLargeError: A limit is exceeded.
            BulkUnavailableError: A chunk could not be stored durably.
        """
        partial_line = b""
        async for data in stream:
            partial_line += data
            *lines, partial_line = partial_line.split(b"\n")
            for line in lines:
                await self._add(line)
            if len(partial_line) > MAX_LINE_BYTES:
                raise BodyTooLargeError(
                    f"Line {self.items + 1} exceeds {MAX_LINE_BYTES} bytes.",
                    not_run=True,
                )
        await self._add(partial_line)
        duplicate = self._custom_ids.find_repeated()
        if duplicate is not None:
            first, second = duplicate
            raise BadRequestError(
                f"Line {second} repeats the custom_id of line {first}.",
                not_run=True,
            )
        await self._flush()
        if not self.items:
            raise BadRequestError("The job has no items.", not_run=True)

    async def _add(self, line: bytes) -> None:
        line = line.strip()
        if not line:
            return
        self.items += 1
        self._check(line)
        self._total_bytes += len(line)
        if self._total_bytes > MAX_JOB_BYTES:
            raise BodyTooLargeError(
                f"The job exceeds {MAX_JOB_BYTES} bytes.", not_run=True
            )
        self._digest.update(line + b"\n")
        self._buffered_lines.append(line)
        self._buffered_bytes += len(line)
        if self._buffered_bytes >= CHUNK_BYTES:
            await self._flush()

    def _check(self, line: bytes) -> None:
        if self.items > MAX_ITEMS:
            raise BodyTooLargeError(
                f"The job exceeds {MAX_ITEMS} items.", not_run=True
            )
        if len(line) > MAX_LINE_BYTES:
            raise BodyTooLargeError(
                f"Line {self.items} exceeds {MAX_LINE_BYTES} bytes.",
                not_run=True,
            )
        try:
            item = self._decoder.decode(line)
        except msgspec.DecodeError as error:
            raise InvalidLineError(
                f"Line {self.items} is invalid: {error}.", not_run=True
            ) from None
        self._custom_ids.add(item.custom_id, self.items)
        model = item.body.get("model")
        if not isinstance(model, str):
            raise BadRequestError(
                f"Line {self.items} does not specify a model.", not_run=True
            )
        self.model = self.model or model
        if model != self.model:
            raise BadRequestError(
                f"Line {self.items} specifies model {model!r}, but the job's "
                f"first line specifies {self.model!r}.",
                not_run=True,
            )

    async def _flush(self) -> None:
        if not self._buffered_lines:
            return
        data = msgspec.msgpack.encode(self._buffered_lines)
        try:
            digest, addresses = await self._chunks.store(data)
        except BulkUnavailableError as error:
            raise BulkUnavailableError(
                error.detail, not_run=True, retry_after_s=error.retry_after_s
            ) from error
        first = self.items - len(self._buffered_lines)
        self.refs.append(
            ChunkRef(digest, first, len(self._buffered_lines), addresses)
        )
        self._buffered_lines = []
        self._buffered_bytes = 0


class _CustomIdIndex:
    """Finds repeated custom ids of a job; takes 12 bytes for each id."""

    def __init__(self) -> None:
        # A random seed keeps callers from choosing ids that collide.
        self._seed = secrets.randbits(64)
        self._digests_by_bucket = [
            array.array("Q") for _ in range(BUCKET_COUNT)
        ]
        self._lines_by_bucket = [array.array("I") for _ in range(BUCKET_COUNT)]

    def add(self, custom_id: str, line: int) -> None:
        """Adds the custom id of a line."""
        digest = xxhash.xxh3_64_intdigest(custom_id.encode(), seed=self._seed)
        bucket = digest % BUCKET_COUNT
        self._digests_by_bucket[bucket].append(digest)
        self._lines_by_bucket[bucket].append(line)

    def find_repeated(self) -> tuple[int, int] | None:
        """Returns the numbers of two lines with the same id, or None."""
        for digests, lines in zip(
            self._digests_by_bucket, self._lines_by_bucket, strict=True
        ):
            line_by_digest: dict[int, int] = {}
            for digest, line in zip(digests, lines, strict=True):
                first = line_by_digest.setdefault(digest, line)
                if first != line:
                    return first, line
        return None


class BatchService:
    """Submits, lists, shows and cancels batch jobs and reads their results."""

    def __init__(
        self,
        owners: OwnerClient,
        chunks: ChunkClient,
        current: CurrentDocument,
    ) -> None:
        """Creates the service.

        Args:
            owners: Client of the partition owners.
            chunks: Client of the bulk instances.
            current: Fleet document in force.
        """
        self._owners = owners
        self._chunks = chunks
        self._current = current

    async def submit(
        self,
        team: str,
        key: str,
        deadline: float | None,
        stream: AsyncIterator[bytes],
    ) -> JobState:
        """Submits a job; idempotent for the same key and input.

        Args:
            team: Team of the caller.
            key: Idempotency key.
            deadline: Deadline in seconds since the epoch, or None.
            stream: The job's input as JSONL.
        """
        now = clock.wall()
        deadline = (
            now + DEFAULT_COMPLETION_WINDOW_S if deadline is None else deadline
        )
        if deadline <= now:
            raise DeadlineExceededError(
                "The job's deadline has passed.", not_run=True
            )
        job_input = JobInput(self._chunks)
        await job_input.read(stream)
        if job_input.model not in self._current.document.models:
            raise UnknownModelError(
                f"Model {job_input.model!r} is unknown.", not_run=True
            )
        job_id = job_id_of(team, key)
        message = SubmitJob(
            partition_of_job(job_id),
            job_id,
            team,
            job_input.digest,
            job_input.model,
            tuple(job_input.refs),
            deadline,
        )
        return await self._call_owner(message)

    async def show(self, team: str, job_id: str) -> JobState:
        """Returns a job's progress."""
        return await self._call_owner(
            JobCall(partition_of_job(job_id), job_id, team)
        )

    async def cancel(self, team: str, job_id: str) -> JobState:
        """Cancels a job."""
        return await self._call_owner(
            JobCall(partition_of_job(job_id), job_id, team, cancel=True)
        )

    async def list(self, team: str) -> list[JobState]:
        """Returns a team's jobs."""
        return await self._owners.list_jobs(
            team, deadline=clock.monotonic() + CALL_TIMEOUT_S
        )

    async def results(self, team: str, job_id: str) -> AsyncIterator[bytes]:
        """Streams the result lines of a job.

        The first block is read before this returns, so that an error in it can
        be sent as an error response; a later error aborts the stream.

        Args:
            team: Team of the caller.
            job_id: Identifier of the job.

        Returns:
            Blocks of lines in item order, failed items included.

        Raises:
            NotFoundError: The team has no such job.
            BulkUnavailableError: A chunk is currently unavailable.
        """
        reader = ResultReader(self._chunks, self._fetch_pages(team, job_id))
        blocks = reader.blocks()
        first = await anext(blocks, b"")
        return _prepend(first, blocks)

    async def _fetch_pages(
        self, team: str, job_id: str
    ) -> AsyncIterator[ResultPage]:
        partition = partition_of_job(job_id)
        from_item = 0
        while True:
            page = await self._owners.call(
                partition,
                FetchResults(partition, job_id, team, from_item),
                deadline=clock.monotonic() + CALL_TIMEOUT_S,
            )
            if not isinstance(page, ResultPage):
                raise PlumvaneError(
                    f"Unexpected owner reply: {type(page).__name__}."
                )
            yield page
            if page.last:
                return
            from_item = page.next_item

    async def _call_owner(self, message: SubmitJob | JobCall) -> JobState:
        reply = await self._owners.call(
            message.partition,
            message,
            deadline=clock.monotonic() + CALL_TIMEOUT_S,
        )
        if not isinstance(reply, JobState):
            raise PlumvaneError(
                f"Unexpected owner reply: {type(reply).__name__}."
            )
        return reply


def job_id_of(team: str, key: str) -> str:
    """Derives the id of a job from its team and idempotency key."""
    digest = hashlib.sha256(f"{team}\0{key}".encode()).hexdigest()
    return f"batch-{digest[:24]}"


def partition_of_job(job_id: str) -> int:
    """Returns the partition that a job belongs to."""
    return hashing.partition_of("", job_id)


async def _prepend(
    first: bytes, blocks: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    yield first
    async for block in blocks:
        yield block

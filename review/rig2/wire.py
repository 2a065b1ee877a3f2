"""A small HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
import dataclasses
import urllib.parse
from collections.abc import Awaitable, Callable

__all__ = ["Answer", "Handler", "Request", "Writer", "call", "serve"]


@dataclasses.dataclass
class Request:
    """A request that a stand-in has read.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.
        body: The whole body.
        port: Local port on which it arrived.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    port: int

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    def query(self, name: str) -> str:
        """Returns a parameter of the query, or an empty text."""
        rows = urllib.parse.parse_qs(self.target.partition("?")[2])
        return rows.get(name, [""])[0]


@dataclasses.dataclass
class Answer:
    """An answer that a client has read.

    Attributes:
        status: HTTP status; 0 if the connection ended without an answer.
        headers: Headers with names in lower case.
        body: The body, as far as it came.
        is_complete: Whether the body came whole.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class Writer:
    """Writes the answer to one request."""

    def __init__(self, stream: asyncio.StreamWriter) -> None:
        """Creates the writer of a connection."""
        self.stream = stream
        self.is_closing = False

    async def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends a complete answer."""
        rows = {"Content-Length": str(len(body)), **(headers or {})}
        self.stream.write(_head(status, rows) + body)
        await self.stream.drain()

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Sends the head of an answer whose body follows in chunks."""
        rows = {"Transfer-Encoding": "chunked", **headers}
        self.stream.write(_head(status, rows))
        await self.stream.drain()

    async def chunk(self, data: bytes) -> None:
        """Sends a chunk; an empty one ends the body."""
        self.stream.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self.stream.drain()

    def abort(self) -> None:
        """Closes the connection at once."""
        self.is_closing = True
        self.stream.transport.abort()


Handler = Callable[[Request, Writer], Awaitable[None]]


def _head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_chunks(reader: asyncio.StreamReader, body: bytearray) -> None:
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return


async def serve(
    host: str,
    port: int,
    handler: Handler,
    idle_s: float = 600.0,
    max_connections: int = 100_000,
) -> asyncio.Server:
    """Serves requests on an address until the server is closed.

    An exception of the handler closes the connection.

    Args:
        host: IP address.
        port: Port.
        handler: Answers the requests.
        idle_s: Time after which an idle connection is closed, in seconds.
        max_connections: Most connections; those beyond are reset.
    """
    open_streams: set[asyncio.StreamWriter] = set()

    async def connected(
        reader: asyncio.StreamReader, stream: asyncio.StreamWriter
    ) -> None:
        writer = Writer(stream)
        if len(open_streams) >= max_connections:
            writer.abort()
            return
        open_streams.add(stream)
        try:
            while not writer.is_closing:
                async with asyncio.timeout(idle_s):
                    first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = bytearray()
                if headers.get("transfer-encoding") == "chunked":
                    await _read_chunks(reader, body)
                else:
                    length = int(headers.get("content-length", 0))
                    body += await reader.readexactly(length)
                request = Request(method, target, headers, bytes(body), port)
                await _run_until_closed(reader, handler(request, writer))
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The case ends.
            return
        finally:
            open_streams.discard(stream)
            stream.close()

    return await asyncio.start_server(connected, host, port, backlog=512)


async def _run_until_closed(
    reader: asyncio.StreamReader, work: Awaitable[None]
) -> None:
    """Runs a handler; the peer's close cancels it."""
    task = asyncio.ensure_future(work)
    while not task.done():
        await asyncio.wait([task], timeout=0.02)
        if not task.done() and reader.at_eof():
            task.cancel()
            await asyncio.wait([task])
            raise EOFError
    if task.cancelled():
        raise EOFError
    task.result()


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Sends one request on a new connection and reads the answer."""
    answer = Answer()
    stream = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, stream = await asyncio.open_connection(host, int(port))
            rows = {"Host": address, **(headers or {})}
            if body or method == "POST":
                rows["Content-Length"] = str(len(body))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in rows.items()]
            head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
            stream.write(head + body)
            await stream.drain()
            first, answer.headers = await _read_head(reader)
            answer.status = int(first.split(" ")[1])
            await _read_answer(reader, answer)
    except (OSError, EOFError, ValueError, TimeoutError):
        pass
    finally:
        if stream is not None:
            stream.close()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    body = bytearray()
    try:
        if answer.headers.get("transfer-encoding") == "chunked":
            await _read_chunks(reader, body)
        else:
            length = int(answer.headers.get("content-length", 0))
            body += await reader.readexactly(length)
        answer.is_complete = True
    finally:
        answer.body = bytes(body)

"""Bounds what a gateway holds for callers and upstreams that are slow."""

from __future__ import annotations

from plumvane import events
from plumvane.errors import OverloadedError
from plumvane.metrics import Metric, observe

__all__ = ["HeldBytes", "MemoryBound"]

# Part of the process's memory for the bodies of requests. Each byte is held
# about twice, in the buffers of the connections and in the body, and the
# program with its libraries and state takes about half of the least memory.
BODY_SHARE = 0.125
# Retry-After of a request for whose body there is no memory, in seconds: about
# the time that an upstream takes for some requests.
RETRY_AFTER_S = 0.5
BYTES_PER_MB = 1_000_000


class MemoryBound:
    """Bytes of all bodies that a gateway holds, and their upper bound.

    It answers a load of large requests that arrive or are forwarded slowly:
    each is within the limit of its size, but together they would exceed the
    memory of the process.
    """

    def __init__(self, memory_mb: float) -> None:
        """Creates the bound.

        Args:
            memory_mb: Memory of the process in megabytes.
        """
        self.max_bytes = int(memory_mb * BYTES_PER_MB * BODY_SHARE)
        self.held_bytes = 0
        observe(Metric.HELD_BYTES, lambda: self.held_bytes)


class HeldBytes:
    """Bytes that are held for one request, until its context ends."""

    def __init__(self, bound: MemoryBound | None, request_id: str) -> None:
        """Creates an empty account.

        Args:
            bound: Bound of all requests; None for none.
            request_id: Identifier of the request, for the log.
        """
        self._bound = bound
        self._request_id = request_id
        self._bytes = 0

    def __enter__(self) -> HeldBytes:
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._bound is not None:
            self._bound.held_bytes -= self._bytes
            self._bytes = 0

    def require(self, total_bytes: int) -> None:
        """Makes sure that a number of bytes may be held for the request.

        Args:
            total_bytes: Bytes of its body that have arrived or are announced.

        Raises:
            OverloadedError: They exceed the bound with those of the others.
                The request has not run.
        """
        added = total_bytes - self._bytes
        if self._bound is None or added <= 0:
            return
        bound = self._bound
        if bound.held_bytes + added > bound.max_bytes:
            events.log(
                events.Event.BODY_REFUSED,
                request=self._request_id,
                bytes=total_bytes,
                held_bytes=bound.held_bytes,
                max_bytes=bound.max_bytes,
            )
            raise OverloadedError(
                f"There is no memory for a body of {total_bytes} bytes beside "
                f"{bound.held_bytes} bytes of other requests.",
                not_run=True,
                retry_after_s=RETRY_AFTER_S,
            )
        bound.held_bytes += added
        self._bytes = total_bytes

"""Calls of callers and of the balancer that this instance answers itself."""

from __future__ import annotations

import dataclasses
from urllib.parse import parse_qs

from plumvane.platform import names
from plumvane.platform.requests import CallerRequest, milliseconds

__all__ = [
    "EndJob",
    "JobCall",
    "ReadItem",
    "ReadJob",
    "decode_job_call",
    "is_readiness_question",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadJob:
    """Reads a batch job's results.

    Attributes:
        job_id: The job.
        position: First position that is wanted.
        wait_s: Seconds for which the answer may wait for a result.
    """

    job_id: str
    position: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadItem:
    """Reads the body of a batch job's item.

    Attributes:
        job_id: The job.
        item_id: The item.
    """

    job_id: str
    item_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndJob:
    """Ends a batch job.

    Attributes:
        job_id: The job.
    """

    job_id: str


JobCall = ReadJob | ReadItem | EndJob


def decode_job_call(request: CallerRequest) -> JobCall | None:
    """Reads a call on a batch job.

    Args:
        request: A caller's request.

    Returns:
        The call, or None if the request is to be routed.
    """
    if request.path.startswith(names.ITEM_PATH_PREFIX):
        job_id = request.path.removeprefix(names.ITEM_PATH_PREFIX)
        return ReadItem(job_id, _argument(request, names.ITEM_ARGUMENT))
    if not request.path.startswith(names.JOB_PATH_PREFIX):
        return None
    job_id = request.path.removeprefix(names.JOB_PATH_PREFIX)
    if request.method == "DELETE":
        return EndJob(job_id)
    wait = dict(request.headers).get(names.WAIT_HEADER)
    return ReadJob(job_id, _position(request), milliseconds(wait) or 0.0)


def is_readiness_question(request: CallerRequest) -> bool:
    """Returns whether the balancer asks if this instance is ready."""
    return request.path == names.READY_PATH


def _position(request: CallerRequest) -> int:
    try:
        return max(0, int(_argument(request, names.POSITION_ARGUMENT)))
    except ValueError:
        return 0


def _argument(request: CallerRequest, name: str) -> str:
    query = request.target.decode("latin-1").partition("?")[2]
    return parse_qs(query).get(name, [""])[0]

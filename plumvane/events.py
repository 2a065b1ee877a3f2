"""Catalogue of numbered log events, which are logged through eliot."""

from __future__ import annotations

import enum
import sys
from collections.abc import Callable
from typing import Any, TextIO

import eliot

from plumvane.logsink import LogSink

__all__ = ["Event", "add_listener", "configure", "log"]

_listeners: list[Callable[[Event], None]] = []


class Event(enum.Enum):
    """A log event: its number and description.

    Numbers are stable; the number of a removed event is never reused.
    """

    PROCESS_STARTED = (1001, "The process serves at the given addresses.")
    PROCESS_LEAVING = (1002, "The process refuses new work and drains.")
    PROCESS_STOPPED = (1003, "The process has drained and exits.")
    TASK_FAILED = (1004, "A background task failed and is restarted.")
    CALL_FAILED = (1005, "An HTTP request failed because of an internal error.")
    LOG_LINES_DROPPED = (
        1006,
        "Log lines were dropped because the log was not read.",
    )
    SETTINGS_READ = (1007, "The settings were read again and are valid.")
    SETTINGS_REFUSED = (1008, "The settings were read again and are invalid.")
    STORE_UNAVAILABLE = (2001, "The store does not respond.")
    STORE_AVAILABLE = (2002, "The store responds again.")
    HISTORY_LOST = (
        2004,
        "Changes to watch are gone from the store; keys are listed again.",
    )
    VIEW_STALE = (2005, "The keys with a prefix are no longer watched.")
    VIEW_CURRENT = (2006, "The keys with a prefix are watched.")
    STORE_CUT = (
        2007,
        "The store is unreachable; requests to it go through peers.",
    )
    STORE_REACHED = (2008, "Requests to the store are sent directly again.")
    REGISTRATION_DELAYED = (
        2009,
        "The instance's registration cannot be written or deleted.",
    )
    WATCH_SOURCE = (
        2010,
        "The keys with a prefix are watched at another place: the store, or "
        "peers that relay the watch.",
    )
    STORE_PEER_SILENT = (
        2011,
        "A peer did not reply to a relayed call to the store.",
    )
    RECORD_FAULT = (
        2012,
        "A changed key could not be applied because of an internal error.",
    )
    WATCH_OVERDUE = (
        2013,
        "The response to a watch is overdue; that of a later one counts.",
    )
    LEASE_LOST = (2003, "The instance's lease expired or was rejected.")
    PARTITION_TAKEN = (3001, "The instance became the owner of the partition.")
    PARTITION_RELEASED = (3002, "The instance released the partition.")
    PARTITION_LOST = (
        3003,
        "A write failed because the partition has another owner.",
    )
    COMMIT_SETTLED = (
        3004,
        "A write was confirmed by reading it after its response was lost.",
    )
    SEGMENTS_COMPACTED = (3005, "Closed segments of a log were compacted.")
    PARTITION_MOVED = (3006, "The partition moved to another instance.")
    MOVE_FAILED = (3007, "A planned move failed; the owner does not change.")
    CLAIM_ORPHANED = (4001, "The entry that ran a request was lost.")
    OUTCOME_UNKNOWN = (
        4002,
        "The outcome of a non-idempotent run cannot be determined.",
    )
    JOB_ACCEPTED = (5001, "A batch job is accepted.")
    JOB_FINISHED = (5002, "A batch job has ended.")
    RANGE_LOST = (5003, "A range's claim expired; the range is assigned again.")
    ITEM_FAILED = (5004, "An item failed at its last attempt.")
    RANGE_HANDED_BACK = (
        5005,
        "A range was returned in favour of more urgent work.",
    )
    JOB_CLAIMED = (5006, "This worker has claimed the batch job.")
    JOB_RELEASED = (5007, "This worker has released the batch job.")
    JOB_ENDED = (5008, "A caller ended the batch job.")
    JOB_REFUSED = (5009, "A batch request was rejected.")
    ITEM_STARTED = (5010, "A batch item was sent to an upstream.")
    ITEM_STOPPED = (5011, "A batch item was preempted, or its job released.")
    ITEM_BROKEN = (
        5012,
        "A batch item's run was interrupted; it is resumed later.",
    )
    ITEM_LISTED = (5013, "A batch item's result was assigned its position.")
    ITEM_GIVEN_UP = (5014, "A batch item's result is listed without its text.")
    COMMIT_CONFLICT = (5015, "A batch job was changed by another process.")
    COMMIT_DELAYED = (
        5016,
        "Results are not committed while the store does not respond.",
    )
    JOB_UNREADABLE = (5019, "The head of a batch job cannot be decoded.")
    RETIRE_STARTED = (
        5017,
        "The operator requested that the instance hand over its work.",
    )
    RETIRE_COMPLETED = (5018, "The instance has handed over its work.")
    JOB_READ = (5020, "Results of a batch job were returned to a caller.")
    JOB_RECONCILED = (
        5021,
        "A batch job's head was read after a failed commit.",
    )
    ITEM_RESTARTED = (
        5022,
        "A batch item starts again; no upstream has the version that began it.",
    )
    ITEM_HELD = (
        5023,
        "A batch item waits; a part of its prompt crashes upstreams.",
    )
    ITEM_FAULT = (
        5024,
        "A batch item's run failed because of an internal error.",
    )
    DEMAND_PERIOD_FOUND = (5025, "Online demand is found to return regularly.")
    DEMAND_PERIOD_LOST = (5026, "Online demand no longer returns regularly.")
    BATCH_HELD_BACK = (5027, "Online demand leaves no slots to batch items.")
    BATCH_RESUMED = (5028, "Online demand leaves slots to batch items again.")
    ITEM_MOVED = (
        5029,
        "A batch item is stopped to go on at a faster upstream.",
    )
    JOB_UNROUTED = (
        5030,
        "A batch job waits; the configuration lacks its route.",
    )
    ARRIVAL_REFUSED = (
        4108,
        "A request did not arrive whole; it has not run.",
    )
    REQUEST_ROUTED = (4101, "A request was sent to an upstream.")
    REQUEST_RETRIED = (4102, "A request, or its remaining part, is sent again.")
    REQUEST_REFUSED = (4103, "A request was rejected; it has not run.")
    CONFIGURATION_UNCONFIRMED = (
        4121,
        "The configuration could not be read for a request that depends on "
        "its age.",
    )
    ACCESS_REFUSED = (
        4120,
        "A request was refused for its key; no upstream got it.",
    )
    ROUTE_UNKNOWN = (
        4131,
        "No route matches a request; the configuration that this goes by.",
    )
    REQUEST_FAILED = (4104, "A request failed; it may have run.")
    REQUEST_ANSWERED = (4105, "A request's response was forwarded.")
    REQUEST_CANCELLED = (
        4106,
        "The caller disconnected before the response was complete.",
    )
    BODY_REFUSED = (
        4130,
        "There is no memory for the body of a request; it has not run.",
    )
    STREAM_TAKEN_UP = (
        4107,
        "A caller takes up a stream; the version that began it is determined.",
    )
    LISTING_UNCONFIRMED = (
        4132,
        "The listing of upstreams could not be read to tell the version of a "
        "stream.",
    )
    OVERLOAD_REFUSED = (
        4125,
        "A request was refused at once; it cannot be served in time.",
    )
    PEER_SILENT = (6001, "A connection timed out; a new one is opened.")
    PEER_REFUSED = (6002, "A peer speaks another protocol version.")
    PEER_UNREADABLE = (6004, "An instance's entry for peers cannot be decoded.")
    WORKER_SILENT = (6003, "A worker did not reply; the store is read instead.")
    LOADS_LOST = (
        6005,
        "A worker's reports of upstream loads are no longer received.",
    )
    STREAM_PEER_SILENT = (
        6006,
        "A peer did not answer a call about the versions of streams.",
    )
    PEER_MALFORMED = (6007, "A peer's message cannot be decoded.")
    PEER_CALL_FAILED = (
        6008,
        "A peer's call failed because of an internal error.",
    )
    UPSTREAM_FAILED = (7001, "The upstream does not respond or failed.")
    BATCH_PREEMPTED = (7002, "Batch streams were preempted by online requests.")
    UPSTREAM_LISTED = (7004, "An upstream's entry was added or changed.")
    UPSTREAM_GONE = (7005, "An upstream is no longer used.")
    UPSTREAM_UNREADABLE = (7006, "An upstream's entry cannot be decoded.")
    UPSTREAM_EJECTED = (7007, "An upstream temporarily receives no new work.")
    UPSTREAM_BACK = (7008, "An upstream responds again.")
    UPSTREAM_SILENT = (7009, "An upstream's load reports are overdue.")
    UPSTREAM_LEAVING = (
        7010,
        "An upstream announced its shutdown; it receives no new requests.",
    )
    UPSTREAM_CRASHED = (
        7011,
        "An upstream crashed under the given requests.",
    )
    PROMPT_QUARANTINED = (
        7012,
        "A part of prompts, or a request that comes again, crashes upstreams; "
        "it is refused.",
    )
    PROMPT_RELEASED = (
        7013,
        "A part of a prompt, or a request, is no longer refused; an upstream "
        "answered it.",
    )
    PROMPTS_UNREPORTED = (
        7014,
        "A worker did not take a report of requests that broke off.",
    )
    QUARANTINE_UNREADABLE = (
        7015,
        "The stored entry of a refused part or request cannot be decoded.",
    )
    QUARANTINE_DELAYED = (
        7016,
        "A refused part or request could not be stored or deleted.",
    )
    UPSTREAM_LIMITED = (
        7017,
        "An upstream named, changed or lifted the rate that it accepts.",
    )
    PERMIT_DENIED = (
        7018,
        "A request was not sent to an upstream; its limit is used up.",
    )
    PERMITS_SILENT = (
        7019,
        "A worker does not grant permits; another one is asked.",
    )
    QUOTA_EXCEEDED = (
        7031,
        "A request was refused; its team's quota is used up.",
    )
    QUOTAS_SILENT = (
        7032,
        "A worker does not answer about quotas; another one is asked.",
    )
    ORDER_DELAYED = (7020, "An order to the engine is delayed.")
    ORDER_REFUSED = (7003, "The engine rejected an order.")
    CONFIGURATION_IN_FORCE = (8001, "This instance applies a revision.")
    CONFIGURATION_CHANGED = (8002, "An operator's change is accepted.")
    CONFIGURATION_REFUSED = (8003, "An operator's change is rejected.")
    CONFIGURATION_UNREADABLE = (8004, "This instance cannot decode a revision.")
    CONFIGURATION_BEHIND = (
        8006,
        "A worker knows a newer configuration than this instance, which reads "
        "it.",
    )
    AUDIT_RECORD_DROPPED = (
        8005,
        "A refusal's audit record was dropped; too many wait for the store.",
    )
    CHUNK_COPIED = (9001, "A missing copy of a chunk was restored.")
    CHUNK_DAMAGED = (9002, "A chunk on the disk is corrupt and is not used.")
    CHUNK_MISSING = (9003, "No live bulk instance holds a chunk.")
    CHUNKS_REMOVED = (9004, "Unreferenced chunks were removed.")

    @property
    def number(self) -> int:
        """The event's stable number."""
        return int(self.value[0])

    @property
    def description(self) -> str:
        """The description, which docs/EVENTS.md lists."""
        return str(self.value[1])


def configure(stream: TextIO | None = None) -> LogSink:
    """Sends the log of this process to a stream without blocking callers.

    Args:
        stream: Stream that the lines are written to; standard output by
            default.

    Returns:
        The sink, which the caller closes when the process ends.
    """
    sink = LogSink(stream or sys.stdout, _make_drop_message)
    eliot.add_destinations(sink)
    return sink


def _make_drop_message(count: int) -> dict[str, Any]:
    event = Event.LOG_LINES_DROPPED
    return {
        "message_type": event.name.lower(),
        "event": event.number,
        "count": count,
    }


def add_listener(listener: Callable[[Event], None]) -> None:
    """Registers a function that is called with each logged event.

    Args:
        listener: The function.
    """
    _listeners.append(listener)


def log(event: Event, **fields: Any) -> None:
    """Logs an event.

    Args:
        event: The event.
        **fields: JSON-serializable values; never a token or key.
    """
    eliot.log_message(
        message_type=event.name.lower(), event=event.number, **fields
    )
    for listener in _listeners:
        listener(event)

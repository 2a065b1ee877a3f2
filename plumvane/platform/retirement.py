"""Operators' requests to drain an instance before its removal."""

from __future__ import annotations

import enum

import msgspec

from plumvane.platform import names

__all__ = ["RetireState", "instance_to_retire", "retire_status"]


class RetireState(enum.Enum):
    """State of an instance's retirement."""

    RUNNING = "running"
    COMPLETED = "completed"


def instance_to_retire(key: str) -> str | None:
    """Returns the instance that a key requests to retire, or None.

    Args:
        key: Key in the store below the operators' prefix.
    """
    if not key.startswith(names.RETIRE_PREFIX):
        return None
    return key.removeprefix(names.RETIRE_PREFIX)


def retire_status(name: str, state: RetireState) -> tuple[str, bytes]:
    """Returns the key and the value that report the state to the operators.

    Args:
        name: Name of the instance.
        state: State of its retirement.
    """
    value = msgspec.json.encode({"state": state.value})
    return names.RETIRE_STATUS_PREFIX + name, value

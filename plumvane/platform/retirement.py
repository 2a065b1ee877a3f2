"""Requests of the operators to empty an instance before it is removed."""

from __future__ import annotations

import enum

import msgspec

from plumvane.platform import names

__all__ = ["RetireState", "retired_instance", "retire_status"]


class RetireState(enum.Enum):
    """How far an instance is with handing its work over."""

    RUNNING = "running"
    COMPLETED = "completed"


def retired_instance(key: str) -> str | None:
    """Returns the instance that a key asks to be emptied, or None.

    Args:
        key: An operators' key in the store.
    """
    if not key.startswith(names.RETIRE_PREFIX):
        return None
    return key.removeprefix(names.RETIRE_PREFIX)


def retire_status(name: str, state: RetireState) -> tuple[str, bytes]:
    """Returns the key and the value that tell the operators the state.

    Args:
        name: Name of the instance.
        state: How far it is.
    """
    value = msgspec.json.encode({"state": state.value})
    return names.RETIRE_STATUS_PREFIX + name, value

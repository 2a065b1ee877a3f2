"""Answers that the ledger makes up itself."""

from __future__ import annotations

from plumvane.errors import (
    BodyTooLargeError,
    OutcomeUnknownError,
    PlumvaneError,
    RequestCancelledError,
)
from plumvane.peers.messages import Failure, Outcome

__all__ = ["cancelled_outcome", "fitting_outcome", "unknown_outcome"]

# A larger answer is replaced by an error, as the store would refuse it.
MAX_RESULT_BYTES = 512 * 1024


def unknown_outcome() -> Outcome:
    """Returns the answer for a run that cannot be settled."""
    return _error_outcome(
        OutcomeUnknownError(
            "The upstream was lost after the request was sent; it may have run."
        )
    )


def cancelled_outcome() -> Outcome:
    """Returns the answer for a request that was cancelled."""
    return _error_outcome(RequestCancelledError("The request was cancelled."))


def fitting_outcome(outcome: Outcome) -> Outcome:
    """Returns an answer, or an error in its place if it is too large."""
    if len(outcome.body) <= MAX_RESULT_BYTES:
        return outcome
    return _error_outcome(
        BodyTooLargeError(
            f"The answer has {len(outcome.body)} bytes; "
            f"{MAX_RESULT_BYTES} can be kept."
        )
    )


def _error_outcome(error: PlumvaneError) -> Outcome:
    failure = Failure(error.code, error.detail, error.remedy)
    return Outcome(error.status, b"", error=failure)

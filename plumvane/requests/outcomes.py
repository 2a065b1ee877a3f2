"""Error outcomes that the ledger itself creates."""

from __future__ import annotations

from plumvane.errors import (
    BodyTooLargeError,
    OutcomeUnknownError,
    PlumvaneError,
    RequestCancelledError,
)
from plumvane.peers.messages import Failure, Outcome

__all__ = ["cancelled_outcome", "limit_outcome_size", "unknown_outcome"]

# A larger answer is replaced by an error, since the store would reject it.
MAX_RESULT_BYTES = 512 * 1024


def unknown_outcome() -> Outcome:
    """Returns the outcome of a run that could not be settled."""
    return _error_outcome(
        OutcomeUnknownError(
            "The upstream was lost after the request was sent; it may have run."
        )
    )


def cancelled_outcome() -> Outcome:
    """Returns the outcome of a cancelled request."""
    return _error_outcome(RequestCancelledError("The request was cancelled."))


def limit_outcome_size(outcome: Outcome) -> Outcome:
    """Returns the outcome, or an error outcome if its body is too large."""
    if len(outcome.body) <= MAX_RESULT_BYTES:
        return outcome
    return _error_outcome(
        BodyTooLargeError(
            f"The answer has {len(outcome.body)} bytes; "
            f"the limit is {MAX_RESULT_BYTES}."
        )
    )


def _error_outcome(error: PlumvaneError) -> Outcome:
    failure = Failure(error.code, error.detail, error.remedy)
    return Outcome(error.status, b"", error=failure)

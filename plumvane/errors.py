"""Exception classes with a stable code, an HTTP status and a remedy."""

from __future__ import annotations

from typing import ClassVar

__all__ = [
    "BadRequestError",
    "BodyTooLargeError",
    "BulkUnavailableError",
    "ClaimLostError",
    "ConfigurationError",
    "ConflictError",
    "DeadlineExceededError",
    "ForbiddenError",
    "HistoryLostError",
    "InvalidJsonError",
    "InvalidLineError",
    "KeyReusedError",
    "LeavingError",
    "LinkLostError",
    "MethodNotAllowedError",
    "NotFoundError",
    "NotOwnerError",
    "OutcomeUnknownError",
    "OverloadedError",
    "PlumvaneError",
    "PromptQuarantinedError",
    "QuotaExceededError",
    "RequestQuarantinedError",
    "ProtocolError",
    "RequestCancelledError",
    "SettingsError",
    "StoreUnavailableError",
    "StreamVersionUnknownError",
    "TextTooLongError",
    "UnauthorizedError",
    "UnknownModelError",
    "UpstreamFailedError",
    "UpstreamLostError",
    "UpstreamUnavailableError",
    "WrongUpstreamError",
    "error_from_code",
]

_classes_by_code: dict[str, type[PlumvaneError]] = {}


class PlumvaneError(Exception):
    """Base class of all errors that plumvane raises deliberately.

    Attributes:
        code: Stable identifier of the class.
        status: HTTP status of the problem document.
        remedy: What the caller or operator can do about the error.
        not_run: Whether it is certain that the request was not sent to an
            upstream.
        retry_after_s: Seconds to wait before a retry, or None.
        request_id: Request id of the run or call that failed with the error;
            None until it is known.
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    default_remedy: ClassVar[str] = "Report this with the request id."

    def __init__(
        self,
        detail: str,
        *,
        remedy: str | None = None,
        not_run: bool = False,
        retry_after_s: float | None = None,
    ) -> None:
        """Creates the error.

        Args:
            detail: Human-readable description of the error.
            remedy: What to do about it; `default_remedy` by default.
            not_run: Whether it is certain that the request was not sent to an
                upstream.
            retry_after_s: Seconds to wait before a retry, or None.
        """
        super().__init__(detail)
        self.detail = detail
        self.remedy = remedy or self.default_remedy
        self.not_run = not_run
        self.retry_after_s = retry_after_s
        self.request_id: str | None = None

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        _classes_by_code[cls.code] = cls

    def __str__(self) -> str:
        return f"{self.code}: {self.detail} Remedy: {self.remedy}"


class BadRequestError(PlumvaneError):
    """The request is malformed or fails validation."""

    code = "bad_request"
    status = 400
    default_remedy = "Correct the request as the detail says."


class InvalidJsonError(BadRequestError):
    """The body is not the JSON object that the call takes."""

    code = "invalid_json"
    default_remedy = "Send one whole JSON object in UTF-8."


class InvalidLineError(BadRequestError):
    """A line of a job's JSONL is invalid."""

    code = "invalid_line"
    default_remedy = "Correct the line that the detail names and send it again."


class UnauthorizedError(PlumvaneError):
    """The bearer token or the key is missing or unknown."""

    code = "unauthorized"
    status = 401
    default_remedy = "Send a valid token as 'Authorization: Bearer TOKEN'."


class ForbiddenError(PlumvaneError):
    """The token is valid but lacks the role for this call."""

    code = "forbidden"
    status = 403
    default_remedy = "Use a token whose role allows this call."


class NotFoundError(PlumvaneError):
    """The named resource does not exist for this team."""

    code = "not_found"
    status = 404
    default_remedy = "Check the name and the token's team."


class UnknownModelError(NotFoundError):
    """No model of this name is in the fleet document."""

    code = "unknown_model"
    default_remedy = "Name a model of the fleet document."


class MethodNotAllowedError(PlumvaneError):
    """The path exists but does not take this method."""

    code = "method_not_allowed"
    status = 405
    default_remedy = "Use a method that docs/API.md lists for the path."


class KeyReusedError(PlumvaneError):
    """An idempotency key was sent again with another body."""

    code = "key_reused"
    status = 422
    default_remedy = "Send the first body again, or take a new key."


class ConflictError(PlumvaneError):
    """A compare-and-swap found another revision than expected."""

    code = "conflict"
    status = 409
    default_remedy = "Read the newest revision and apply the change to it."


class BodyTooLargeError(PlumvaneError):
    """A body, line or item count is over its limit."""

    code = "too_large"
    status = 413
    default_remedy = "Send less in one call; the detail names the limit."


class DeadlineExceededError(PlumvaneError):
    """The deadline passed before the answer was complete."""

    code = "deadline_exceeded"
    status = 504
    default_remedy = "Send the request again with a later deadline."


class OverloadedError(PlumvaneError):
    """A limit or the fleet's capacity is reached."""

    code = "overloaded"
    status = 429
    default_remedy = "Retry after the time in Retry-After."


class QuotaExceededError(OverloadedError):
    """The team has used up the requests that its quota allows."""

    code = "quota_exceeded"
    status = 429
    default_remedy = "Retry after the time in Retry-After, or ask for more."


class LeavingError(PlumvaneError):
    """The instance is shutting down and takes no new work."""

    code = "leaving"
    status = 503
    default_remedy = "Send the request again; another instance takes it."


class StoreUnavailableError(PlumvaneError):
    """The platform's store does not answer."""

    code = "store_unavailable"
    status = 503
    default_remedy = "Retry after the time in Retry-After."


class StreamVersionUnknownError(PlumvaneError):
    """No instance knows the software version that began the stream."""

    code = "stream_version_unknown"
    status = 503
    default_remedy = "Retry at another instance, or start the stream again."


class HistoryLostError(PlumvaneError):
    """The store no longer holds the changes that a watch asks for."""

    code = "history_lost"
    status = 503
    default_remedy = "List the keys again and watch from that revision."


class BulkUnavailableError(PlumvaneError):
    """Too few bulk instances are reachable to keep a chunk safe."""

    code = "bulk_unavailable"
    status = 503
    default_remedy = "Retry once enough bulk instances are up."


class NotOwnerError(PlumvaneError):
    """The instance asked does not own the partition."""

    code = "not_owner"
    status = 503
    default_remedy = "Retry; the entry looks the owner up again."


class ClaimLostError(PlumvaneError):
    """Another run of the same request committed its result first."""

    code = "claim_lost"
    status = 409
    default_remedy = "Read the stored result at /v1/requests/{key}."


class OutcomeUnknownError(PlumvaneError):
    """A non-idempotent request may have run; it is not repeated."""

    code = "outcome_unknown"
    status = 502
    default_remedy = (
        "Check at the service whether it ran; a new key starts a new run."
    )


class UpstreamUnavailableError(PlumvaneError):
    """No upstream can take the request now."""

    code = "upstream_unavailable"
    status = 503
    default_remedy = "Retry after the time in Retry-After."


class UpstreamFailedError(PlumvaneError):
    """The upstream answered with an error."""

    code = "upstream_failed"
    status = 502
    default_remedy = "Correct the request, or retry with a new key."


class UpstreamLostError(UpstreamFailedError):
    """The upstream was lost before its answer was whole."""

    code = "upstream_lost"
    status = 502
    default_remedy = "Retry after a while; the upstream may be restarting."


class TextTooLongError(UpstreamLostError):
    """A stream went on beyond the limit on an item's text."""

    code = "text_too_long"
    default_remedy = (
        "Check the upstream that the log names, or lower the item's output "
        "tokens."
    )


class WrongUpstreamError(UpstreamUnavailableError):
    """Another upstream answers at the address; the request has not run."""

    code = "wrong_upstream"
    default_remedy = "Send the request to another upstream of the service."


class RequestCancelledError(PlumvaneError):
    """The request was cancelled before it completed."""

    code = "cancelled"
    status = 409
    default_remedy = "Send it again with a new key if it is still wanted."


class LinkLostError(PlumvaneError):
    """The connection to a peer was lost or went silent."""

    code = "link_lost"
    status = 503
    default_remedy = "Retry; a new connection is opened."


class ProtocolError(PlumvaneError):
    """A peer sent something that this version does not understand."""

    code = "protocol"
    status = 502
    default_remedy = "Run the same plumvane version on every instance."


class SettingsError(PlumvaneError):
    """The INI settings of a process are invalid."""

    code = "settings"
    status = 500
    default_remedy = "Correct the named section and key, then start again."


class PromptQuarantinedError(PlumvaneError):
    """A part of the request's prompt crashes upstreams."""

    code = "prompt_quarantined"
    status = 400
    default_remedy = "Change the named part; a repeat is refused as well."


class RequestQuarantinedError(PlumvaneError):
    """The request crashes upstreams by itself."""

    code = "request_quarantined"
    status = 400
    default_remedy = "Change the request; a repeat is refused as well."


class ConfigurationError(PlumvaneError):
    """The fleet document is invalid.

    Attributes:
        faults: Messages, one for each invalid field, that start with the
            field's path.
    """

    faults: tuple[str, ...] = ()
    code = "configuration"
    status = 422
    default_remedy = "Correct the named field."


def error_from_code(
    code: str,
    detail: str,
    *,
    remedy: str | None = None,
    not_run: bool = False,
    retry_after_s: float | None = None,
) -> PlumvaneError:
    """Recreates an error that a peer reported.

    Args:
        code: The error's code.
        detail: The error's detail.
        remedy: The error's remedy.
        not_run: Whether the request was certainly not sent to an upstream.
        retry_after_s: Seconds to wait before a retry, or None.

    Returns:
        An instance of the class with the code, or of `PlumvaneError` if the
        code is unknown.
    """
    cls = _classes_by_code.get(code, PlumvaneError)
    return cls(
        detail, remedy=remedy, not_run=not_run, retry_after_s=retry_after_s
    )

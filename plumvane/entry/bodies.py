"""Validation of request bodies."""

from __future__ import annotations

from typing import Any

import pydantic

from plumvane.errors import BadRequestError
from plumvane.fleet.document import Model

__all__ = ["check_completion"]


class _Completion(pydantic.BaseModel):
    """The fields of a completion request that plumvane itself uses.

    Attributes:
        prompt: Text to complete.
        max_tokens: Maximum number of tokens to generate.
        stream: Whether the response is a stream of server-sent events.
        workload: Name of the request's workload, if specified.
    """

    model_config = pydantic.ConfigDict(strict=True)

    prompt: str
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    stream: bool | None = None
    workload: str | None = None


def check_completion(fields: dict[str, Any], model: Model) -> None:
    """Validates the body of a completion request.

    Args:
        fields: JSON object of the body.
        model: Model that the request specifies.

    Raises:
        BadRequestError: Fields are invalid; the error lists all of them.
    """
    try:
        checked = _Completion.model_validate(fields)
    except pydantic.ValidationError as error:
        messages = [
            ".".join(str(part) for part in detail["loc"]) + ": " + detail["msg"]
            for detail in error.errors(include_input=False, include_url=False)
        ]
        raise BadRequestError("; ".join(messages) + ".", not_run=True) from None
    if checked.max_tokens is not None and checked.max_tokens > model.max_tokens:
        raise BadRequestError(
            f"max_tokens: the model's maximum is {model.max_tokens}.",
            not_run=True,
        )

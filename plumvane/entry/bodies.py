"""Checks of the bodies that callers send."""

from __future__ import annotations

from typing import Any

import pydantic

from plumvane.errors import BadRequestError
from plumvane.fleet.document import Model

__all__ = ["check_completion"]


class _Completion(pydantic.BaseModel):
    """The fields of a completion that plumvane itself reads.

    Attributes:
        prompt: Text to complete.
        max_tokens: Most tokens of the answer.
        stream: Whether the answer comes as server-sent events.
        workload: Workload of the request, if it is named.
    """

    model_config = pydantic.ConfigDict(strict=True)

    prompt: str
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    stream: bool | None = None
    workload: str | None = None


def check_completion(fields: dict[str, Any], model: Model) -> None:
    """Checks the body of a completion.

    Args:
        fields: The body's JSON object.
        model: The model that it names.

    Raises:
        BadRequestError: A field is wrong; all wrong ones are named.
    """
    try:
        checked = _Completion.model_validate(fields)
    except pydantic.ValidationError as error:
        faults = [
            ".".join(str(p) for p in fault["loc"]) + ": " + fault["msg"]
            for fault in error.errors(include_input=False, include_url=False)
        ]
        raise BadRequestError("; ".join(faults) + ".", not_run=True) from None
    if checked.max_tokens is not None and checked.max_tokens > model.max_tokens:
        raise BadRequestError(
            f"max_tokens: the model takes at most {model.max_tokens}.",
            not_run=True,
        )

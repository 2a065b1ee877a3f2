"""Renders console pages from templates."""

from __future__ import annotations

import datetime
from typing import Any

import jinja2
from starlette.responses import HTMLResponse, Response

__all__ = ["render"]

_HEADERS = {
    "cache-control": "no-store",
    "content-security-policy": (
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    "referrer-policy": "no-referrer",
    "x-content-type-options": "nosniff",
}


def render(template: str, *, status: int = 200, **values: Any) -> Response:
    """Renders a template as an HTML response.

    Args:
        template: Name of the template without its `.html` suffix.
        status: HTTP status code.
        **values: Template variables; they are escaped on output.
    """
    text = _ENVIRONMENT.get_template(f"{template}.html").render(**values)
    return HTMLResponse(text, status_code=status, headers=_HEADERS)


def _format_time(seconds: float | None) -> str:
    if seconds is None:
        return "–"
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.strftime("%Y-%m-%d %H:%M:%S")


_ENVIRONMENT = jinja2.Environment(
    loader=jinja2.PackageLoader("plumvane.console"),
    autoescape=True,
    undefined=jinja2.StrictUndefined,
    trim_blocks=True,
    lstrip_blocks=True,
)
_ENVIRONMENT.filters["time"] = _format_time

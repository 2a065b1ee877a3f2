"""Pages of the console, rendered from templates."""

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
    """Returns a page.

    Args:
        template: Name of the template without its suffix.
        status: HTTP status.
        **values: What the template shows; it is escaped.
    """
    text = _ENVIRONMENT.get_template(f"{template}.html").render(**values)
    return HTMLResponse(text, status_code=status, headers=_HEADERS)


def _time(seconds: float | None) -> str:
    if seconds is None:
        return "–"
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")


_ENVIRONMENT = jinja2.Environment(
    loader=jinja2.PackageLoader("plumvane.console"),
    autoescape=True,
    undefined=jinja2.StrictUndefined,
    trim_blocks=True,
    lstrip_blocks=True,
)
_ENVIRONMENT.filters["time"] = _time

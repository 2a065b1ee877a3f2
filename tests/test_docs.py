"""Documents that list what the code has."""

from __future__ import annotations

import pathlib
import re

from plumvane import errors
from plumvane.cli.main import EXIT_CODES
from tests.catalogues import table_rows

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def test_interface_lists_each_error_with_its_status() -> None:
    rows = table_rows(DOCS / "API.md", 3)
    listed = {(row[0], row[1]) for row in rows if row[1].isdigit()}
    kinds = [
        kind
        for kind in vars(errors).values()
        if isinstance(kind, type)
        and issubclass(kind, errors.PlumvaneError)
        and kind is not errors.PlumvaneError
    ]
    assert listed == {(kind.code, str(kind.status)) for kind in kinds}


def test_interface_lists_each_call() -> None:
    text = (DOCS / "API.md").read_text(encoding="utf-8")
    listed = set(re.findall(r"`(GET|POST|PUT) (/[^`]*)`", text))
    code = (DOCS.parent / "plumvane" / "entry" / "api.py").read_text(
        encoding="utf-8"
    )
    served = set(re.findall(r'\("(GET|POST|PUT)", "(/[^"]*)"', code))
    plain = {(m, re.sub(r"\{\w+\}", "{}", p)) for m, p in listed}
    assert served
    assert {(m, re.sub(r"\{\w+\}", "{}", p)) for m, p in served} <= plain


def test_operating_lists_each_exit_code() -> None:
    rows = table_rows(DOCS / "OPERATING.md", 2)
    listed = {int(row[0]): row[1] for row in rows if row[0].isdigit()}
    # The cells lose the marks of code at their ends.
    expected = {code: text.strip("`") for code, text in EXIT_CODES.items()}
    assert listed == expected

"""Tests that the documents list the errors, endpoints and exit codes."""

from __future__ import annotations

import pathlib
import re

from plumvane import errors
from plumvane.cli.main import EXIT_CODES
from tests.catalogues import table_rows

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def test_api_doc_lists_every_error_with_its_status() -> None:
    rows = table_rows(DOCS / "API.md", 3)
    documented = {(row[0], row[1]) for row in rows if row[1].isdigit()}
    error_classes = [
        error_class
        for error_class in vars(errors).values()
        if isinstance(error_class, type)
        and issubclass(error_class, errors.PlumvaneError)
        and error_class is not errors.PlumvaneError
    ]
    assert documented == {
        (error_class.code, str(error_class.status))
        for error_class in error_classes
    }


def test_api_doc_lists_the_endpoints_of_entry_api() -> None:
    text = (DOCS / "API.md").read_text(encoding="utf-8")
    documented = set(re.findall(r"`(GET|POST|PUT) (/[^`]*)`", text))
    code = (DOCS.parent / "plumvane" / "entry" / "api.py").read_text(
        encoding="utf-8"
    )
    served = set(re.findall(r'\("(GET|POST|PUT)", "(/[^"]*)"', code))
    normalized = {(m, re.sub(r"\{\w+\}", "{}", p)) for m, p in documented}
    assert served
    assert {(m, re.sub(r"\{\w+\}", "{}", p)) for m, p in served} <= normalized


def test_operating_doc_lists_every_exit_code() -> None:
    rows = table_rows(DOCS / "OPERATING.md", 2)
    documented = {int(row[0]): row[1] for row in rows if row[0].isdigit()}
    # table_rows strips backticks from both ends of a cell.
    expected = {code: text.strip("`") for code, text in EXIT_CODES.items()}
    assert documented == expected

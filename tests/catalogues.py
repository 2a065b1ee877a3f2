"""Tables in the documentation that are generated from the code.

`python -m tests.catalogues` regenerates them.
"""

from __future__ import annotations

import pathlib

from plumvane import events
from plumvane.metrics import Metric

__all__ = ["EVENTS", "METRICS", "event_rows", "metric_rows", "table_rows"]

ROOT = pathlib.Path(__file__).parent.parent
EVENTS = ROOT / "docs" / "EVENTS.md"
METRICS = ROOT / "docs" / "METRICS.md"

Row = tuple[str, ...]


def event_rows() -> list[Row]:
    """Returns the table rows of the catalogue of events."""
    code = "".join(
        path.read_text(encoding="utf-8")
        for path in (ROOT / "plumvane").rglob("*.py")
    )
    return [
        (
            str(event.number),
            event.name.lower(),
            event.description,
            "yes" if f"Event.{event.name}" in code else "not yet",
        )
        for event in sorted(events.Event, key=lambda event: event.number)
    ]


def metric_rows() -> list[Row]:
    """Returns the table rows of the catalogue of metrics."""
    return [
        (m.full_name, m.kind.value, ", ".join(m.labels), m.description)
        for m in Metric
    ]


def table_rows(path: pathlib.Path, columns: int) -> list[Row]:
    """Returns the rows of a document's tables, without header rows.

    Args:
        path: Path of a Markdown document.
        columns: Number of columns; rows with another number are skipped.
    """
    rows: list[Row] = []
    lines = path.read_text(encoding="utf-8").splitlines()
    for number, line in enumerate(lines):
        is_delimiter = line.startswith("|-")
        is_header = number + 1 < len(lines) and lines[number + 1].startswith(
            "|-"
        )
        if line.startswith("|") and not is_delimiter and not is_header:
            cells = line.strip("|").split("|")
            row = tuple(cell.strip().strip("`") for cell in cells)
            if len(row) == columns:
                rows.append(row)
    return rows


def _write(path: pathlib.Path, rows: list[Row], name_column: int) -> None:
    """Replaces the rows of the first table of a document."""
    lines = path.read_text(encoding="utf-8").splitlines()
    delimiter = next(n for n, line in enumerate(lines) if line.startswith("|-"))
    end = delimiter + 1
    while end < len(lines) and lines[end].startswith("|"):
        end += 1
    table_lines = []
    for row in rows:
        cells = list(row)
        cells[name_column] = f"`{cells[name_column]}`"
        table_lines.append("| " + " | ".join(cells) + " |")
    lines[delimiter + 1 : end] = table_lines
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    _write(EVENTS, event_rows(), 1)
    _write(METRICS, metric_rows(), 0)

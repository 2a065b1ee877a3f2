"""Output of the command: JSON, or text with tables and progress bars."""

from __future__ import annotations

import datetime
import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

__all__ = ["Output", "progress_bar", "table", "time_text"]

BAR_CHARACTERS = 30


class Output:
    """Writes results to standard output, all else to standard error."""

    def __init__(self, *, as_json: bool) -> None:
        """Creates the output.

        Args:
            as_json: Whether results are one JSON value.
        """
        self.as_json = as_json
        self._bar_shown = False

    def result(self, value: Any, text: str) -> None:
        """Writes a result.

        Args:
            value: The result for JSON.
            text: The result for a reader.
        """
        print(json.dumps(value) if self.as_json else text)

    def raw(self, data: bytes) -> None:
        """Writes bytes as they are."""
        sys.stdout.buffer.write(data)

    def note(self, text: str) -> None:
        """Writes a remark to standard error."""
        self.end_progress()
        print(text, file=sys.stderr)

    def progress(self, done: int, total: int, label: str) -> None:
        """Shows progress, if standard error is a terminal."""
        if not sys.stderr.isatty():
            return
        line = progress_bar(done, total, label)
        print(f"\r\x1b[K{line}", end="", file=sys.stderr, flush=True)
        self._bar_shown = True

    def end_progress(self) -> None:
        """Ends the line of a progress bar."""
        if self._bar_shown:
            print(file=sys.stderr)
            self._bar_shown = False


def progress_bar(done: int, total: int, label: str) -> str:
    """Returns a bar such as `[###...]  50% label`."""
    share = min(1.0, done / total) if total else 1.0
    filled = int(BAR_CHARACTERS * share)
    bar = "#" * filled + "." * (BAR_CHARACTERS - filled)
    return f"[{bar}] {int(100 * share):3}% {label}"


def table(heads: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Returns a table with aligned columns."""
    cells = [list(heads)]
    cells += [["-" if c is None else str(c) for c in row] for row in rows]
    widths = [
        max(len(row[column]) for row in cells) for column in range(len(heads))
    ]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def time_text(seconds: float | None) -> str | None:
    """Returns a time of day in UTC.

    Args:
        seconds: Seconds since the Unix epoch, or None.
    """
    if seconds is None:
        return None
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")

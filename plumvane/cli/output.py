"""Output of the plumvane command: JSON, or text with tables and progress."""

from __future__ import annotations

import datetime
import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

__all__ = ["Output", "format_progress_bar", "format_table", "format_time"]

BAR_WIDTH = 30


class Output:
    """Writes results to standard output, messages to standard error."""

    def __init__(self, *, as_json: bool) -> None:
        """Creates the output.

        Args:
            as_json: Whether to write results as JSON rather than as text.
        """
        self.as_json = as_json
        self._bar_shown = False

    def write_result(self, value: Any, text: str) -> None:
        """Writes a result.

        Args:
            value: The result, written with JSON output.
            text: The result as text, written with text output.
        """
        print(json.dumps(value) if self.as_json else text)

    def write_bytes(self, data: bytes) -> None:
        """Writes bytes to standard output, unmodified."""
        sys.stdout.buffer.write(data)

    def write_message(self, text: str) -> None:
        """Writes a message to standard error."""
        self.finish_progress()
        print(text, file=sys.stderr)

    def show_progress(self, done: int, total: int, label: str) -> None:
        """Draws the progress bar, if standard error is a terminal."""
        if not sys.stderr.isatty():
            return
        line = format_progress_bar(done, total, label)
        print(f"\r\x1b[K{line}", end="", file=sys.stderr, flush=True)
        self._bar_shown = True

    def finish_progress(self) -> None:
        """Ends the line of the progress bar, if one is drawn."""
        if self._bar_shown:
            print(file=sys.stderr)
            self._bar_shown = False


def format_progress_bar(done: int, total: int, label: str) -> str:
    """Returns a progress bar such as `[###...]  50% label`."""
    fraction = min(1.0, done / total) if total else 1.0
    filled = int(BAR_WIDTH * fraction)
    bar = "#" * filled + "." * (BAR_WIDTH - filled)
    return f"[{bar}] {int(100 * fraction):3}% {label}"


def format_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Returns a table with aligned columns; None is shown as `-`."""
    cells = [list(headers)]
    cells += [["-" if c is None else str(c) for c in row] for row in rows]
    widths = [
        max(len(row[column]) for row in cells) for column in range(len(headers))
    ]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def format_time(seconds: float | None) -> str | None:
    """Returns the date and time in UTC, or None if there is no time.

    Args:
        seconds: Seconds since the Unix epoch, or None.
    """
    if seconds is None:
        return None
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")

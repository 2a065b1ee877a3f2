"""Cost of the fleet document, by the number of teams.

For each number of teams, prints the size of the document, the time to parse and
validate it, the memory that it holds, and the time to look up the team of a
token.
"""

from __future__ import annotations

import json
import time
import tracemalloc
from typing import Any

from absl import app, flags

from plumvane.fleet.document import parse, token_digest

__all__ = ["main"]

_TEAMS = flags.DEFINE_list("teams", ["17", "170", "1700"], "Numbers of teams.")

LOOKUPS = 2000
BYTES_PER_KB = 1000.0


def _document(teams: int) -> bytes:
    document = {
        "models": {f"model-{n}": {} for n in range(6)},
        "teams": {
            f"team-{n}": {"token_sha256": [token_digest(f"token-{n}")]}
            for n in range(teams)
        },
    }
    return json.dumps(document).encode()


def measure(teams: int) -> dict[str, Any]:
    """Measures a document with the given number of teams."""
    data = _document(teams)
    started = time.perf_counter()
    document = parse(data)
    parsed_s = time.perf_counter() - started
    tracemalloc.start()
    retained = parse(data)
    held_kb = tracemalloc.get_traced_memory()[0] / BYTES_PER_KB
    tracemalloc.stop()
    started = time.perf_counter()
    for number in range(LOOKUPS):
        retained.team_by_token(f"token-{number % teams}")
    lookup_s = (time.perf_counter() - started) / LOOKUPS
    return {
        "teams": len(document.teams),
        "document_kb": len(data) / BYTES_PER_KB,
        "parse_ms": parsed_s * 1e3,
        "held_kb": held_kb,
        "lookup_us": lookup_s * 1e6,
    }


def main(argv: list[str]) -> None:
    """Prints one line of JSON for each number of teams."""
    del argv
    for teams in map(int, _TEAMS.value):
        print(json.dumps(measure(teams)))


if __name__ == "__main__":
    app.run(main)

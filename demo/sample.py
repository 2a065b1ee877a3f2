"""Generates the sample input file of the demo's batch job."""

from __future__ import annotations

import json
import pathlib

__all__ = ["SAMPLE", "main"]

SAMPLE = pathlib.Path(__file__).parent / "teardown-plans.jsonl"
ITEM_COUNT = 1000


def main() -> None:
    """Writes the sample file."""
    kinds = ("spring", "foam", "latex", "hybrid")
    with open(SAMPLE, "w", encoding="utf-8") as file:
        for number in range(ITEM_COUNT):
            kind = kinds[number % len(kinds)]
            item = {
                "custom_id": f"plan-{number:04}",
                "method": "POST",
                "url": "/v1/completions",
                "body": {
                    "model": "sorter-lm",
                    "prompt": f"Teardown plan for {kind} mattress {number}.",
                    "max_tokens": 8,
                },
            }
            file.write(json.dumps(item) + "\n")


if __name__ == "__main__":
    main()

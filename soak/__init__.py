"""Randomized soak: real programs on one machine under faults from outside."""

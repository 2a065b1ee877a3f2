"""Randomized soak test: real processes on one host under injected faults."""

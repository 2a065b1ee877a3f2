"""Benchmarks; each prints its figures and writes them as JSON."""

"""Benchmarks that print their figures, most of them as JSON."""

"""Experiments under load, on real processes."""

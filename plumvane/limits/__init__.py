"""Limits on what callers may send."""

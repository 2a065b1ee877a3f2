"""Immutable, content-addressed bulk data."""

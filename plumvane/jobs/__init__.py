"""Batch jobs: ranges, claims, items and deadlines."""

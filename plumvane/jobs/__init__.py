"""Batch jobs: state, claims on item ranges and deadline scheduling."""

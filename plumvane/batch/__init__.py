"""Batch jobs in the platform's store."""

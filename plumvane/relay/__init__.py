"""Requests to upstreams: one attempt, and the events of streams."""

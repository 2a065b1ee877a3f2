"""Connections between plumvane's own processes, and their messages."""

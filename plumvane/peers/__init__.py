"""Connections between plumvane processes, and their messages."""

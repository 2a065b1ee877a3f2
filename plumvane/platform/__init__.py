"""Adapter to the users' platform: its names, data formats and store API."""

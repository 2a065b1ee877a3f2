"""The plumvane command."""

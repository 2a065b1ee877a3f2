"""The plumvane-sidecar program."""

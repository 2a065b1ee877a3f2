"""The demo: a fleet on loopback, driven once from end to end."""

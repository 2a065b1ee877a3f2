"""Stand-ins of the second review: platform store, servers and clients."""

"""The plumvane-entry process: HTTP API, partitions and dispatch."""

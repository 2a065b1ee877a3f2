"""The plumvane-bulk program."""

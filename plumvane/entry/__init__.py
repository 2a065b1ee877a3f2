"""The plumvane-entry program."""

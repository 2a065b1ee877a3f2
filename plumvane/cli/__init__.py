"""Command-line interface of plumvane."""

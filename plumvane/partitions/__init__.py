"""Partitions: ownership, epoch, group commit and takeover."""

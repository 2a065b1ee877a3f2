"""Admission control, clients and run tracking for upstreams."""

"""Upstreams: queue, admission, preemption and protocols."""

"""Clients of upstreams: requests, event streams, load reports, health."""

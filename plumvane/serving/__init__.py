"""Serving policy without I/O: routes, upstreams and batch jobs."""

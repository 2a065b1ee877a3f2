"""Stand-ins for the platform and the upstreams, used by tests and the demo."""

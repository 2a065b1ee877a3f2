"""Service discovery: routes, upstreams and peers from the store."""

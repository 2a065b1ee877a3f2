"""Selection of an upstream for each request."""

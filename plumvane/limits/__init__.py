"""Rate limits on callers."""

"""Live and leaving instances, from the platform's list and from peers."""

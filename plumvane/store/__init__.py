"""The platform's store: compare-and-swap, leases and watches."""

"""The program plumvane-gateway: serves callers without sidecars."""

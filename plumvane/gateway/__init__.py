"""The program plumvane-gateway: forwards requests without sidecars."""

"""Demo that runs a fleet on loopback and checks it end to end."""

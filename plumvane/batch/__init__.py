"""Storage of batch jobs in the platform's key-value store."""

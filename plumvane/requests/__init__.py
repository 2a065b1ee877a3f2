"""Request ledger: claims, results and settling of orphaned runs."""

"""What a process believes of the fleet, read from the platform's store."""

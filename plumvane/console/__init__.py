"""The operators' console: forms that make the fleet document."""

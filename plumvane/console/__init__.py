"""Operator console: forms that edit the fleet document."""

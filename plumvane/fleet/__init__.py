"""The fleet document: validation, revisions and audit trail."""

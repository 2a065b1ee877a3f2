"""Instance discovery from the platform's instance list and from reports."""

"""Requests: claims, results and settling."""

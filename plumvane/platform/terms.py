"""Decoding of the names of a deployment's terms."""

from __future__ import annotations

from plumvane.serving.terms import Terms

__all__ = ["decode_terms"]

_SCARCE_PLACES = "pressure"


def decode_terms(names: str) -> Terms:
    """Decodes the terms of a deployment; unknown ones have no effect.

    Args:
        names: Names of the terms in force, separated by commas.
    """
    found = {name.strip() for name in names.split(",")}
    return Terms(has_scarce_places=_SCARCE_PLACES in found)

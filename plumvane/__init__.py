"""Plumvane: serving of online and batch inference on one fleet."""

__all__ = ["__version__"]

__version__ = "0.1.0"

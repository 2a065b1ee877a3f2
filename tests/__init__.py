"""Tests of plumvane."""

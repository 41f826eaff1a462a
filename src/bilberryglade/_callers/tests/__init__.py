"""Tests of the front towards callers."""

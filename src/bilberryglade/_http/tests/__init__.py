"""Tests of what HTTP clients share."""

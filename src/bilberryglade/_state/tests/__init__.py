"""Tests of the folded state."""

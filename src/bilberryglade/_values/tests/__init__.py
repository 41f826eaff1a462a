"""Tests of values."""

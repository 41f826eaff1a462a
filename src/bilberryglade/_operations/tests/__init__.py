"""Tests of the operations."""

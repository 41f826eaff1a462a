"""Tests of the knowledge of the store."""

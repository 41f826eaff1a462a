"""Tests of the decisions on the store's era."""

"""Tests over real processes."""

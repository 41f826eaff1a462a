"""Tests of settings and of the composition."""

"""Tests of the platform's list of members."""

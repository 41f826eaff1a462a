"""Tests of the client of the list of members."""

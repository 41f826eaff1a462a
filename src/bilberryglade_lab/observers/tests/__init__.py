"""Tests of the observers, on made-up histories."""
